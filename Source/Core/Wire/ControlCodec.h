#pragma once

#include "Common/Error.h"
#include "Control/Command.h"
#include "Control/Configuration.h"

#include <string>
#include <string_view>

// Bytes of what the logs carry, and of snapshots of the configuration. Decoding never trusts the bytes: bad ones give
// an error with step "decode" and reason Corrupt, and so does a format version that is not known.
namespace Wire {

std::string encode(const Control::Command&);
Common::Result<Control::Command> decodeCommand(std::string_view);

std::string encode(const Control::CommandOutcome&);
Common::Result<Control::CommandOutcome> decodeCommandOutcome(std::string_view);

// The whole replicated state: limits, resources, history, and the remembered change ids with their answers.
std::string encodeSnapshot(const Control::Configuration&);
Common::Result<Control::Configuration> decodeConfiguration(std::string_view);

} // namespace Wire
