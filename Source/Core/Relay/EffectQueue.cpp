#include "Relay/EffectQueue.h"

#include <iterator>
#include <utility>

namespace Relay {

bool push(EffectQueue& queue, Effects effects)
{
    std::move(effects.begin(), effects.end(), std::back_inserter(queue.waiting));
    return !queue.waiting.empty() && !std::exchange(queue.isPerforming, true);
}

std::optional<Effect> next(EffectQueue& queue)
{
    if (queue.waiting.empty()) {
        queue.isPerforming = false;
        return std::nullopt;
    }
    Effect effect = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    return effect;
}

} // namespace Relay
