#pragma once

#include "Common/Clock.h"

namespace Limits {

// When a refused caller should retry: the time until capacity is expected, spread over an additional interval of the
// same length, so that callers don't return together. Callers wait for at most a third of their remaining time, so the
// result stays below that. `chance` is a random number in [0, 1).
Common::Milliseconds retryAfter(Common::Milliseconds capacityIn, Common::Milliseconds remaining, double chance);

} // namespace Limits
