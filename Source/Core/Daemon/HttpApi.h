#pragma once

#include "Daemon/ControlRole.h"
#include "Daemon/EntryRole.h"
#include "Daemon/TimelineCollector.h"
#include "Http/Message.h"
#include "Http/Server.h"

#include <atomic>
#include <functional>
#include <vector>

namespace Daemon {

// Dependencies of the HTTP API. Roles that this instance does not run are null.
struct HttpApiDependencies {
    EntryRole* entry { nullptr };
    ControlRole* control { nullptr };
    Entry::ControlClient& controlClient;
    TimelineCollector& timeline;
    Observe::Metrics& metrics;
    const std::atomic<bool>& draining;
    // Returns the peer addresses of all other known processes.
    std::function<std::vector<Common::Address>()> otherProcesses;
};

// Handles one HTTP request of a caller, a backend server, the platform or an operator.
void answer(const HttpApiDependencies&, const Http::Request&, const Http::Responder&);

} // namespace Daemon
