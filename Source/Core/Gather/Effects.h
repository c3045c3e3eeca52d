#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Gather/Answer.h"

#include <variant>
#include <vector>

namespace Gather {

// Why an attempt is made. Retries and hedges are paid from the retry budget.
enum class Purpose {
    First,
    Retry,
    Hedge,
};

// Find a server with a free slot, call attemptStarted() and send the request; otherwise call attemptNotStarted().
struct StartAttempt {
    Common::AttemptId id; // Unique within the query.
    Common::ShardId shard;
    Common::KeyRange range;
    Purpose purpose { Purpose::First };
    std::vector<Common::BackendServerId> avoidServers; // Excluded.
    std::vector<Common::FailureDomain> avoidDomains; // Used only if no other domain is left.
};

// Cancel a request that was sent, or take the attempt out of the queue. No event follows.
struct CancelAttempt {
    Common::AttemptId id;
    Common::BackendServerId server; // Empty if the attempt has not been started.
};

// Call wake() at this time. Replaces the previous WakeAt of the query; calls at other times are harmless.
struct WakeAt {
    Common::TimePoint when;
};

// Send the answer to the caller. Emitted exactly once for each query; only CancelAttempt follows it.
struct Finish {
    Answer answer;
};

using Effect = std::variant<StartAttempt, CancelAttempt, WakeAt, Finish>;
using Effects = std::vector<Effect>;

} // namespace Gather
