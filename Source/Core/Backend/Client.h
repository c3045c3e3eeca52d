#pragma once

#include "Backend/Messages.h"
#include "Common/Timers.h"
#include "Observe/Metrics.h"

#include <functional>
#include <memory>
#include <vector>

namespace Backend {

// Identity and address of a backend server.
struct Target {
    Common::BackendServerId server;
    Common::Address address;
    Common::GroupName group;
};

using CallId = Common::StrongId<struct CallIdTag, uint64_t>;

// Error reasons: ConnectionFailed, Refused (the server states that it did not execute the request), Overloaded (the
// connection budget is exhausted; nothing was sent), ConnectionLost, DeadlineExceeded, Cancelled, Corrupt.
using SearchDone = std::function<void(Common::Result<SearchAnswer>)>;
using RunDone = std::function<void(Common::Result<RunAnswer>)>;

// Connection pools for all backend servers. Each connection carries one request at a time, and each server has a
// connection budget. Connections that accept requests but never answer are replaced. State is sharded by server.
class Client {
public:
    Client(Common::Timers&, Observe::Metrics&);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Calls done once, on another thread.
    CallId search(const Target&, const SearchRequest&, SearchDone done);
    // Asks the server to cancel the search, and closes its connection if it is not answered soon after. done receives
    // Cancelled if it has not been called.
    void cancelSearch(CallId);
    // Uses a new connection, so that a failure of a reused one cannot cause a resend.
    void run(const Target&, RunRequest, RunDone done);
    // Sends a health check on a new connection. Reports false quickly if the process at the address is gone, true if it
    // is only slow.
    void probe(const Target&, std::function<void(bool alive)> done);

    // Sets this instance's share of the server's connection limit.
    void setConnectionShare(const Target&, Common::Connections);
    // Opens connections in advance, up to the given number.
    void warmUp(const Target&, Common::Connections);
    // Removes a server that is gone and closes its idle connections.
    void forget(const Common::BackendServerId&);
    // Replaces connections that accept requests but do not answer. Call it about every 100 ms.
    void replaceSilentConnections(Common::TimePoint now);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Backend
