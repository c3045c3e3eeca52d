#pragma once

#include "Relay/Query.h"

#include <deque>
#include <optional>

namespace Relay {

// The effects of one query, in the order in which they were decided. They are performed by one thread at a time. What
// is decided meanwhile, also in a callback of the effect that is being performed, waits for its turn. Plain data: the
// caller keeps it under the lock of the query.
struct EffectQueue {
    std::deque<Effect> waiting;
    bool isPerforming { false };
};

// Returns whether the caller has to perform the effects, with next(). Otherwise somebody else does.
bool push(EffectQueue&, Effects);

// Returns the next effect to perform; empty if the caller has performed all.
std::optional<Effect> next(EffectQueue&);

} // namespace Relay
