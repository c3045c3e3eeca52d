#pragma once

#include "Common/ShardedMap.h"
#include "Http/Connection.h"
#include "Limits/ServerNotice.h"
#include "Relay/Load.h"
#include "Roster/ServerView.h"
#include "Routing/Candidates.h"

#include <memory>
#include <optional>
#include <vector>

namespace Relay {

using ConnectionPtr = std::shared_ptr<Http::Connection>;

// Connections to backend servers and their load, sharded by server, each shard under its own lock.
class ServerPool {
public:
    // The servers as input for Routing::rank(). A server of another failure domain counts as slower, since traffic
    // between domains has a cost.
    std::vector<Routing::Candidate> candidates(const std::vector<Roster::EligibleServer>&, Common::Connections limit,
        const Common::FailureDomain& own, Common::TimePoint now);

    struct Lease {
        ConnectionPtr connection;
        bool isNew { false };
    };
    // Returns a connection for one request if this instance may send the server another one.
    std::optional<Lease> acquire(const Roster::EligibleServer&, Common::Connections limit, Common::TimePoint now);
    // Ends a request begun by acquire(). An open connection is kept for reuse.
    void release(
        const Common::BackendServerId&, ConnectionPtr, Common::TimePoint sentAt, const Outcome&, Common::TimePoint now);
    // Applies what the server said of itself in an answer. Call it before release().
    void record(const Common::BackendServerId&, Common::Incarnation, const Limits::ServerNotice&, bool isServed,
        Common::TimePoint now);
    // Whether some server that is not in `avoid` takes requests, as far as it has said.
    bool hasOpenServer(const std::vector<Roster::EligibleServer>&, const std::vector<Common::BackendServerId>& avoid,
        Common::TimePoint now);
    // How long until the first of the servers reopens; empty if none of them says so.
    std::optional<Common::Milliseconds> reopensIn(const std::vector<Roster::EligibleServer>&, Common::TimePoint now);
    // Closes the connections of all other servers, unless they have requests in flight.
    void keepOnly(const std::vector<Common::BackendServerId>&);

private:
    struct Server {
        Load load;
        Limits::ServerNotices notices;
        std::vector<ConnectionPtr> idle;
    };

    Common::ShardedMap<Common::BackendServerId, Server> m_servers;
};

} // namespace Relay
