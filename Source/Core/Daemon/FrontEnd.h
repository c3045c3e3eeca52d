#pragma once

#include "Common/Error.h"
#include "Common/Timers.h"
#include "Daemon/Evacuations.h"
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

// Dependencies of a front end. Roles that this process does not run are null.
struct FrontEndDependencies {
    const Settings::Daemon& settings;
    RelayRole* relay;
    RosterServer* roster;
    RouteTables* tables;
    Evacuations* evacuations;
    Common::Timers& timers;
    Observe::Metrics& metrics;
};

// The callbacks of a front end that accepts connections.
struct RunningFrontEnd {
    std::function<void()> closeAfterAnswers; // Closes each connection after its next answer.
    // Accepts no new connections and waits for the last answer, up to the bound. Returns the number of answers left.
    std::function<size_t(Common::Milliseconds bound)> finish;
    std::function<void()> endRequests; // Starts to answer all open requests with an error.
    // Waits up to the bound until all of these answers have been written. Returns the number of requests left.
    std::function<size_t(Common::Milliseconds bound)> waitUntilClosed;
    std::function<void(const Routes::CallerLimits&)> setLimits;
    std::function<void()> close;
};

// Adapts an external protocol to the roles: callers' requests, backend servers' renewals and operators' declarations.
// A front end only translates: it makes no decisions and holds no state.
struct FrontEnd {
    Relay::BackendCodec backendCodec;
    // Decodes a complete declared document. The error InvalidInput names the invalid field.
    std::function<Common::Result<Routes::Table>(const std::string& document)> decodeTable;
    std::function<Common::Result<RunningFrontEnd>(const FrontEndDependencies&)> open;
};

} // namespace Daemon
