#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Gather/Answer.h"

#include <variant>
#include <vector>

namespace Gather {

// Why an attempt is made. Retries and hedges are extras: they need the budget.
enum class Purpose {
    First,
    Retry,
    Hedge,
};

// Find a server and a slot, call attemptStarted(), then send; or call attemptNotStarted().
struct StartAttempt {
    Common::AttemptId id; // Unique in its query.
    Common::ShardId shard;
    Common::KeyRange range;
    Purpose purpose { Purpose::First };
    std::vector<Common::BackendServerId> avoidServers; // Not to be used.
    std::vector<Common::FailureDomain> avoidDomains; // Not to be used while there is another.
};

// Cancel a request that was sent, or leave the queue; no report is needed.
struct CancelAttempt {
    Common::AttemptId id;
    Common::BackendServerId server; // Empty if the attempt has not been started.
};

// Call wake() at this time. It replaces the earlier request of the same query; a wake at another time does no harm.
struct WakeAt {
    Common::TimePoint when;
};

// Send the answer to the caller. Exactly one for each query; only CancelAttempt comes after it.
struct Finish {
    Answer answer;
};

using Effect = std::variant<StartAttempt, CancelAttempt, WakeAt, Finish>;
using Effects = std::vector<Effect>;

} // namespace Gather
