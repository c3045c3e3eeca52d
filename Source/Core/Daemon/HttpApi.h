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

// What the HTTP front end calls. The roles are null if this instance does not have them.
struct HttpApiDependencies {
    EntryRole* entry { nullptr };
    ControlRole* control { nullptr };
    Entry::ControlClient& controlClient;
    TimelineCollector& timeline;
    Observe::Metrics& metrics;
    const std::atomic<bool>& draining;
    std::function<std::vector<Common::Address>()> otherProcesses; // Peer addresses of all others that are known.
};

// Answers one HTTP request of a caller, a backend server, the platform or an operator.
void answer(const HttpApiDependencies&, const Http::Request&, const Http::Responder&);

} // namespace Daemon
