#pragma once

#include "Common/ShardedMap.h"
#include "Http/Connection.h"
#include "Relay/Load.h"
#include "Roster/ServerView.h"
#include "Routing/Candidates.h"

#include <memory>
#include <optional>
#include <vector>

namespace Relay {

using ConnectionPtr = std::shared_ptr<Http::Connection>;

// Connections to backend servers and what they bear, in shards by server, each under its own lock.
class ServerPool {
public:
    // As the ranking sees the servers now. A request in another failure domain counts as that much slower.
    std::vector<Routing::Candidate> candidates(const std::vector<Roster::EligibleServer>&, Common::Connections limit,
        const Common::FailureDomain& own, Common::TimePoint now);

    struct Lease {
        ConnectionPtr connection;
        bool isNew { false };
    };
    // A connection for one request, if the server bears another one of this instance.
    std::optional<Lease> take(const Roster::EligibleServer&, Common::Connections limit, Common::TimePoint now);
    // Ends what take() began. The connection is kept if it is open.
    void giveBack(
        const Common::BackendServerId&, ConnectionPtr, Common::TimePoint sentAt, const Outcome&, Common::TimePoint now);
    // Closes the connections of servers that are not among these.
    void keepOnly(const std::vector<Common::BackendServerId>&);

private:
    struct Server {
        Load load;
        std::vector<ConnectionPtr> idle;
    };

    Common::ShardedMap<Common::BackendServerId, Server> m_servers;
};

} // namespace Relay
