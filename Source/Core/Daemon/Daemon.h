#pragma once

#include "Common/Error.h"
#include "Settings/Settings.h"

namespace Daemon {

// Runs the roles that the settings name until SIGTERM or SIGINT, then stops gracefully. Returns when nothing of it is
// left. Errors: an address or folder that can't be used, or storage that failed while running.
Common::Result<void> run(const Settings::Daemon&);

} // namespace Daemon
