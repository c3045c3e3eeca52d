#pragma once

#include "Common/Error.h"
#include "Settings/Settings.h"

#include <string>

namespace Daemon {

struct FrontEnd;

// Runs the roles that the settings name until SIGTERM or SIGINT, then stops gracefully. Returns when nothing of it is
// left. The file is looked at again on SIGHUP and when it changes; empty: never. A front end is what the role relay
// needs. Errors: an address or folder that can't be used, or storage that failed while running.
Common::Result<void> run(
    const Settings::Daemon&, const std::string& settingsFile = {}, const FrontEnd* frontEnd = nullptr);

} // namespace Daemon
