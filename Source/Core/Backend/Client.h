#pragma once

#include "Backend/Messages.h"
#include "Common/Timers.h"
#include "Observe/Metrics.h"

#include <functional>
#include <memory>
#include <vector>

namespace Backend {

// A backend server as reached from here.
struct Target {
    Common::BackendServerId server;
    Common::Address address;
    Common::GroupName group;
};

using CallId = Common::StrongId<struct CallIdTag, uint64_t>;

// Reasons of errors: ConnectionFailed, Refused (the server says that it did not run it), Overloaded (no connection
// left in the budget; nothing was sent), ConnectionLost, DeadlineExceeded, Cancelled, Corrupt.
using SearchDone = std::function<void(Common::Result<SearchAnswer>)>;
using RunDone = std::function<void(Common::Result<RunAnswer>)>;

// Connections to all backend servers: each carries one request at a time, and their number stays within the budget of
// its server. Connections that take bytes and answer nothing are replaced. State is in shards by server.
class Client {
public:
    Client(Common::Timers&, Observe::Metrics&);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // done is called once, on another thread.
    CallId search(const Target&, const SearchRequest&, SearchDone done);
    // Tells the server and closes the connection; done gets Cancelled if it has not been called.
    void cancelSearch(CallId);
    // On a fresh connection, so that the library can't send it twice.
    void run(const Target&, RunRequest, RunDone done);
    // Whether a new connection is taken; answers false fast if the process behind the address is gone.
    void probe(const Target&, std::function<void(bool alive)> done);

    // The part of the server's connection limit that this instance may use.
    void setConnectionShare(const Target&, Common::Connections);
    // Opens connections up to the number given, ahead of use.
    void warmUp(const Target&, Common::Connections);
    // Closes idle connections to a server that is gone.
    void forget(const Common::BackendServerId&);
    // Looks for silent connections; to be called every 100 ms or so.
    void replaceSilentConnections(Common::TimePoint now);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Backend
