#include "Limits/RetryAfter.h"

#include <algorithm>

using Common::Milliseconds;

namespace Limits {

namespace {

    constexpr double usableShare = 1.0 / 3;
    // A queue is not much shorter after less.
    constexpr Milliseconds minimumWait { 5 };

} // namespace

Milliseconds retryAfter(Milliseconds capacityIn, Milliseconds remaining, double chance)
{
    // The spread doubles the wait at most.
    Milliseconds longest = std::max(remaining, Milliseconds(0)) * (usableShare / 2);
    return std::min(std::max(capacityIn, minimumWait), longest) * (1 + chance);
}

} // namespace Limits
