#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>

namespace Routing {

// Decaying histogram of sub-request latencies. Bucket bounds grow by a constant factor, and older samples lose weight
// as new ones arrive.
struct LatencyStats {
    static constexpr size_t bucketCount = 128;
    static constexpr double smallestBound = 0.02; // Milliseconds.
    static constexpr double boundFactor = 1.15; // The last bound is about 1,000 s.

    std::array<double, bucketCount> weights {};
    double total { 0 };
};

// Adds a sample. A request that was cancelled or timed out counts with its running time, a lower bound: leaving out the
// slow requests would make the hedge delay too short.
void record(LatencyStats&, Common::Milliseconds);

// The latency below which this share of the samples lies, as the upper bound of its bucket; 0 without samples.
Common::Milliseconds quantile(const LatencyStats&, double share);
Common::Milliseconds mean(const LatencyStats&);

// Delay from the send of a request to its hedge: a high quantile of the observed latencies. It lies above the bulk of
// the distribution, so it grows when all servers become slow.
Common::Milliseconds hedgeDelay(const LatencyStats&);

} // namespace Routing
