#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Common/Units.h"
#include "Gather/Effects.h"
#include "Model/Resources.h"

#include <cstdint>
#include <vector>

// Scatter/gather of one query over all shards, from admission to the answer, as a state machine without I/O: it takes
// events and times and returns effects. The caller serialises the calls for one query and carries out the effects.
namespace Gather {

// The snapshot to which a query is pinned at admission.
struct Plan {
    Common::IndexVersion version;
    std::vector<Model::Shard> shards;
};

struct QueryOptions {
    Common::TimePoint deadline; // By which the caller needs the answer.
    Common::Milliseconds returnMargin { 5 }; // For the return path: sub-answers count until the deadline less this.
    Common::Ratio minimumCoverage { 0 }; // Below it the query is refused.
    int maximumAttempts { 3 }; // Requests that may run for one shard, hedges included; at least 1.
    bool mayRetry { true }; // False forbids retries and hedges, for a request that may have crashed a server.
};

// An attempt that was requested or sent and has not ended.
struct Attempt {
    Common::AttemptId id;
    Purpose purpose { Purpose::First };
    bool started { false };
    Common::BackendServerId server;
};

// The state of one shard of the plan.
struct Part {
    enum class State {
        Open,
        Merged,
        Missing,
    };

    Model::Shard shard;
    State state { State::Open };
    std::vector<Attempt> attempts; // Those that have not ended.
    std::vector<Common::BackendServerId> usedServers;
    std::vector<Common::FailureDomain> usedDomains; // One for each used server.
    uint8_t requested { 0 }; // Attempts requested; numbers them.
    uint8_t sent { 0 }; // Without those that the server refused to run.
    bool hedged { false }; // A hedge was sent.
    uint8_t retryRequestsLeft { 0 }; // Retries and hedges that may still be requested, whether sent or not.
    uint8_t deniedRetries { 0 }; // Retries and hedges that got no budget or slot.
    Common::Reason reason { Common::Reason::DeadlineExceeded }; // Of the last failure.
    std::string detail;
};

struct Query {
    // When to check whether a part needs a retry or a hedge.
    struct Timer {
        Common::TimePoint when;
        size_t part { 0 };
    };

    Plan plan; // Its shards are moved into parts by start().
    QueryOptions options;

    std::vector<Part> parts;
    size_t openParts { 0 };
    std::vector<Timer> timers; // A heap, the earliest first.
    Common::Milliseconds hedgeDelay;
    Common::TimePoint nextWake;
    Common::KeyRangeSet merged;
    std::vector<Item> results; // In the order of merging; sorted for the answer.
    SendCounts counts;
    bool finished { false };
};

// The deadline of sub-requests: the query's deadline less the margin for the return path.
Common::TimePoint subRequestDeadline(const Query&);

Query makeQuery(Plan, QueryOptions);

// Requests the first attempt for each shard. Finishes at once if the plan is empty or the deadline has passed.
Effects start(Query&, Common::TimePoint now, Common::Milliseconds hedgeDelay);

// A server with a free slot was found; call before sending the request. Returns a CancelAttempt if the attempt is no
// longer needed: then don't send it.
Effects attemptStarted(
    Query&, Common::AttemptId, const Common::BackendServerId&, const Common::FailureDomain&, Common::TimePoint now);

// Nothing was sent. Overloaded means that there is no budget or slot now: a retry or hedge is then requested again a
// few times, with backoff. Any other reason is final for the attempt.
Effects attemptNotStarted(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now);

// A sub-answer and the version, shard and range that it names. If they differ from the request, it counts as a failure.
Effects subAnswer(Query&, Common::AttemptId, Common::IndexVersion, Common::ShardId, Common::KeyRange, std::vector<Item>,
    Common::TimePoint now);

// An attempt that was started has failed. Refused means that the server did not run it: a retry may go there again.
Effects attemptFailed(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now);

// Requests the hedges and retries that are due. Finishes when the deadline has passed.
Effects wake(Query&, Common::TimePoint now);

// Forbids retries and hedges from now on: the request is suspected of crashing servers.
void forbidRetries(Query&);

} // namespace Gather
