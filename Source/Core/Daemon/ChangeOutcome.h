#pragma once

#include "Common/Error.h"
#include "Control/Messages.h"

#include <string>

namespace Daemon {

// Whether control committed a proposed change, or had committed it before. Errors of this function carry the step.
Common::Result<void> changeOutcomeOf(const Common::Result<Control::Reply>&, const std::string& step);

} // namespace Daemon
