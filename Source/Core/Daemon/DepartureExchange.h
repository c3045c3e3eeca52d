#pragma once

#include "Common/Timers.h"
#include "Observe/Metrics.h"
#include "Peer/Client.h"
#include "Roster/Departures.h"

#include <functional>
#include <memory>
#include <vector>

namespace Daemon {

struct DepartureExchangeDependencies {
    Peer::Client& peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Common::Address self;
    // Holds the end of a later start, which another instance knew. Called on network threads.
    std::function<void(const Common::BackendServerId&, Common::Incarnation)> hold;
    // Writes a departure to the disk of this instance, and then calls the function on any thread.
    std::function<void(const Roster::Departure&, std::function<void(bool isDurable)>)> record;
};

// Asks this and the other control instances to store a departure on their disks, until enough of them have or the
// server no longer waits. Each departure in progress has its own state, under its own lock.
class DepartureExchange {
public:
    using Done = std::function<void(bool isHeld)>;

    explicit DepartureExchange(DepartureExchangeDependencies);
    ~DepartureExchange();
    DepartureExchange(const DepartureExchange&) = delete;
    DepartureExchange& operator=(const DepartureExchange&) = delete;

    // Calls done once, possibly before this returns, when `needed` instances have stored it or the time is up. This
    // instance counts like the others.
    void ask(const Roster::Departure&, const std::vector<Common::Address>& others, size_t needed, Done done);
    // Asks no more; departures in progress get no further answer.
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
