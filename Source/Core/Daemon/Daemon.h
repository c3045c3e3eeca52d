#pragma once

#include "Common/Error.h"
#include "Settings/Settings.h"

#include <string>

namespace Daemon {

struct FrontEnd;

// Runs the roles named in the settings until SIGTERM or SIGINT, then stops gracefully and returns once all threads and
// connections are closed. The settings file is read again on SIGHUP and when it changes, unless its name is empty. The
// role relay requires a front end. Errors: an unusable address or folder, or a storage failure while running.
Common::Result<void> run(
    const Settings::Daemon&, const std::string& settingsFile = {}, const FrontEnd* frontEnd = nullptr);

} // namespace Daemon
