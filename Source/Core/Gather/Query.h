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

// One caller's query over all shards, from admission to its answer. Pure decisions: events and times come in, effects
// come out. The caller serialises the calls for one query and carries the effects out.
namespace Gather {

// The snapshot that a query is pinned to at admission.
struct Plan {
    Common::IndexVersion version;
    std::vector<Model::Shard> shards;
};

struct QueryOptions {
    Common::TimePoint deadline; // When the caller needs the answer.
    Common::Milliseconds returnMargin { 5 }; // The way back to the caller; sub-answers count until deadline less this.
    Common::Ratio minimumCoverage { 0 }; // Below it the caller gets a refusal.
    int maximumAttempts { 3 }; // Requests that may run for one shard, all purposes; at least 1.
    bool mayRetry { true }; // False bars retries and hedges, for a request that may have crashed a server.
};

// An attempt that was asked for or sent, and has not ended.
struct Attempt {
    Common::AttemptId id;
    Purpose purpose { Purpose::First };
    bool started { false };
    Common::BackendServerId server;
};

// One shard of the plan.
struct Part {
    enum class State {
        Open,
        Merged,
        Missing,
    };

    Model::Shard shard;
    State state { State::Open };
    std::vector<Attempt> attempts; // Live ones.
    std::vector<Common::BackendServerId> usedServers;
    std::vector<Common::FailureDomain> usedDomains; // One for each used server.
    uint8_t asked { 0 }; // Attempts asked for, to number them.
    uint8_t sent { 0 }; // Less those that the server did not run.
    bool hedged { false }; // A hedge was sent.
    uint8_t asksLeft { 0 }; // For extras, sent or not.
    uint8_t refusals { 0 }; // Extras that found no budget or slot.
    Common::Reason reason { Common::Reason::DeadlineExceeded }; // Of the last failure.
    std::string detail;
};

struct Query {
    // When to look whether a part needs an extra.
    struct Timer {
        Common::TimePoint when;
        size_t part { 0 };
    };

    Plan plan; // Its shards are moved into parts by start().
    QueryOptions options;

    std::vector<Part> parts;
    size_t openParts { 0 };
    std::vector<Timer> timers; // A heap with the earliest first.
    Common::Milliseconds hedgeDelay;
    Common::TimePoint nextWake;
    Common::KeyRangeSet merged;
    std::vector<Item> results; // As merged; sorted when finished.
    SendCounts counts;
    bool finished { false };
};

// Deadline less the way back: what sub-requests get as their deadline.
Common::TimePoint subRequestDeadline(const Query&);

Query makeQuery(Plan, QueryOptions);

// Asks for the first attempt at each shard; finishes at once if the plan is empty or the time is over.
Effects start(Query&, Common::TimePoint now, Common::Milliseconds hedgeDelay);

// A server and a slot were found; call before the request is sent. Returns a CancelAttempt for an attempt that is no
// longer wanted: do not send it then.
Effects attemptStarted(
    Query&, Common::AttemptId, const Common::BackendServerId&, const Common::FailureDomain&, Common::TimePoint now);

// Nothing was sent. Overloaded says that an extra found no budget or slot now: it is asked for again a few times. Any
// other reason is final for this attempt.
Effects attemptNotStarted(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now);

// A sub-answer with what it says of itself. Another version, shard or range than asked for counts as a failure.
Effects subAnswer(Query&, Common::AttemptId, Common::IndexVersion, Common::ShardId, Common::KeyRange, std::vector<Item>,
    Common::TimePoint now);

// An attempt that was started failed. Refused says that the server did not run it: a retry may go there again.
Effects attemptFailed(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now);

// Hedges what is due; finishes when the time is over.
Effects wake(Query&, Common::TimePoint now);

// Bars retries and hedges from now on: the request is suspected to crash servers.
void forbidRetries(Query&);

} // namespace Gather
