#pragma once

#include "Common/ShardedMap.h"
#include "Http/Connection.h"
#include "Limits/ServerNotice.h"
#include "Limits/ServerPace.h"
#include "Limits/ServerRate.h"
#include "Limits/UsualTime.h"
#include "Relay/Load.h"
#include "Roster/ServerView.h"
#include "Routing/Candidates.h"

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace Relay {

using ConnectionPtr = std::shared_ptr<Http::Connection>;

// How this instance may use the rate of a server.
struct RateAccess {
    Limits::RateRole role { Limits::RateRole::Alone };
    Common::Address keeper; // Of an asker.
    size_t instances { 1 };
    std::optional<Limits::ColdRate> cold; // Empty if the server is warm, or its group has no rate for cold servers.
};

// Servers of a group, each with this instance's access to its rate. There are no accesses if no server has a
// rate.
struct Targets {
    std::shared_ptr<const std::vector<Roster::EligibleServer>> servers;
    std::vector<RateAccess> access;
};

enum class PaceChange {
    None,
    Entered,
    Left,
};

// A request that has ended, for the pace of its server.
struct PacedRequest {
    Common::BackendServerId server;
    Common::Incarnation incarnation; // Of the server.
    Common::RouteName route;
    Common::TimePoint sentAt;
    Outcome outcome;
};

// Connections to backend servers and their load, sharded by server, each shard under its own lock.
class ServerPool {
public:
    enum class Pace {
        Unlimited,
        Adaptive, // See Limits::ServerPace.
    };

    explicit ServerPool(Pace pace = Pace::Unlimited)
        : m_pace(pace)
    {
    }

    // The servers as input for Routing::rank(). A server of another failure domain counts as slower, since traffic
    // between domains has a cost.
    std::vector<Routing::Candidate> candidates(const std::vector<Roster::EligibleServer>&, Common::Connections limit,
        const Common::FailureDomain& own, Common::TimePoint now);

    struct Lease {
        ConnectionPtr connection;
        bool isNew { false };
        bool hasEnteredPace { false };
    };
    // Returns a connection for one request if this instance may send the server another one. Takes a token if the
    // server has a rate.
    std::optional<Lease> acquire(const Targets&, size_t index, Common::Connections limit, Common::TimePoint now);
    // Ends a request begun by acquire(). An open connection is kept for reuse.
    void release(
        const Common::BackendServerId&, ConnectionPtr, Common::TimePoint sentAt, const Outcome&, Common::TimePoint now);
    // Adapts the pace of the server to a request that has ended. Call it before release(). `servers` are those of the
    // group: the server is compared with the others.
    PaceChange recordPace(const std::vector<Roster::EligibleServer>& servers, const PacedRequest&,
        Common::Connections limit, Common::TimePoint now);
    // Applies what the server said of itself in an answer. Call it before release(). Returns whether the rate that it
    // names has changed.
    bool record(const Common::BackendServerId&, Common::Incarnation, const Limits::ServerNotice&, bool isServed,
        bool hasRun, Common::TimePoint now);
    std::optional<Common::RequestRate> namedRate(const Common::BackendServerId&, Common::Incarnation);
    // Whether any server has named a rate since the start.
    bool hasNamedRates() const { return m_hasNamedRates; }
    // The question to the keeper of the server's tokens, if one is to be sent now; see Limits::ask().
    std::optional<Limits::RateClaim> ask(const Targets&, size_t index, size_t wanted, Common::TimePoint now);
    void answerAsk(const Common::BackendServerId&, const std::optional<Limits::RateGrant>&, Common::TimePoint now);
    Limits::RateGrant grant(const Limits::RateClaim&, Limits::RateRole, Common::TimePoint now,
        const std::optional<Limits::ColdRate>& cold = {});
    // Whether some server that is not in `avoid` takes requests, as far as it has said.
    bool hasOpenServer(const Targets&, const std::vector<Common::BackendServerId>& avoid, Common::TimePoint now);
    // How long until the first of the servers reopens; empty if none of them says so.
    std::optional<Common::Milliseconds> reopensIn(const Targets&, Common::TimePoint now);
    // How long until the first server that is not in `avoid` and is held back by its pace or as a cold server may get a
    // request. Empty if no server is: then the end of another request, or the keeper's answer, is the next occasion.
    std::optional<Common::Milliseconds> nextSendIn(
        const Targets&, const std::vector<Common::BackendServerId>& avoid, Common::TimePoint now);
    struct Usage {
        size_t connections { 0 }; // In use or kept for reuse.
        size_t slots { 0 }; // Requests in flight that count against the limits of servers.
        size_t paced { 0 }; // Servers.
    };
    Usage usage();
    // Closes the connections of all other servers, unless they have requests in flight.
    void keepOnly(const std::vector<Common::BackendServerId>&);

private:
    struct Server {
        Load load;
        Limits::ServerNotices notices;
        Limits::ServerRate rate;
        Limits::ServerPace pace;
        Limits::UsualTimes usual; // Recorded with an adaptive pace only.
        bool isPaceReported { false };
        std::vector<ConnectionPtr> idle;
    };

    // How long a request of a route usually takes.
    struct UsualTime {
        std::optional<Common::Milliseconds> longTerm; // At the other servers, or without any at the server itself.
        std::optional<Common::Milliseconds> recent; // At the other servers.
    };
    UsualTime usualTimeOf(const std::vector<Roster::EligibleServer>&, const PacedRequest&);

    const Pace m_pace;
    std::atomic<bool> m_hasNamedRates { false };
    Common::ShardedMap<Common::BackendServerId, Server> m_servers;
};

} // namespace Relay
