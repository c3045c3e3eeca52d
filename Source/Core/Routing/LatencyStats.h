#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>

namespace Routing {

// Decaying histogram of the sub-request latencies of one group: bounds grow by a constant factor, and old samples
// lose weight as new ones come.
struct LatencyStats {
    static constexpr size_t bucketCount = 128;
    static constexpr double smallestBound = 0.02; // Milliseconds.
    static constexpr double boundFactor = 1.15; // The last bound is about 1,000 s.

    std::array<double, bucketCount> weights {};
    double total { 0 };
};

// Counts a latency. A request that was cancelled or timed out counts with the time it ran, which is a lower bound:
// without it the slow ones would be missing, and the delay would be too short.
void record(LatencyStats&, Common::Milliseconds);

// The latency under which this share of the samples lies (upper bound of its bucket); 0 without samples.
Common::Milliseconds quantile(const LatencyStats&, double share);
Common::Milliseconds mean(const LatencyStats&);

// How long to wait for an answer, from the send, before a hedge: a high quantile of what is observed. It stays above
// the body of the distribution, so when all servers are slow the delay grows with them.
Common::Milliseconds hedgeDelay(const LatencyStats&);

} // namespace Routing
