#pragma once

#include "Common/Error.h"
#include "Daemon/RelayRole.h"
#include "Daemon/RosterServer.h"
#include "Daemon/RouteTables.h"
#include "Observe/Metrics.h"
#include "Relay/Call.h"
#include "Routes/Table.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Daemon {

// What a front end may use; roles that this process does not have are null.
struct FrontEndDependencies {
    const Settings::Daemon& settings;
    RelayRole* relay;
    RosterServer* roster;
    RouteTables* tables;
    Observe::Metrics& metrics;
};

// A front end that listens.
struct RunningFrontEnd {
    std::function<void()> closeAfterAnswers; // From now on each answer to a caller closes its connection.
    // Takes no new connection and waits for the last answer or the bound; returns how many are missing.
    std::function<size_t(Common::Milliseconds bound)> finish;
    std::function<void(const Routes::CallerLimits&)> setLimits;
    std::function<void()> close;
};

// Translates between one outside and the roles: callers' requests, backend servers' renewals, operators' declarations.
// It decides nothing and keeps nothing.
struct FrontEnd {
    Relay::BackendCodec backendCodec;
    // Reads a declared document whole; InvalidInput names the field that is wrong.
    std::function<Common::Result<Routes::Table>(const std::string& document)> decodeTable;
    std::function<Common::Result<RunningFrontEnd>(const FrontEndDependencies&)> open;
};

} // namespace Daemon
