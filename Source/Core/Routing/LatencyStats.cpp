#include "Routing/LatencyStats.h"

#include <algorithm>
#include <cmath>

using Common::Milliseconds;

namespace Routing {

namespace {

    constexpr double samplesBeforeHalving = 4000;
    constexpr double minimumSamples = 32; // With fewer, a high quantile cannot be estimated.
    // Hedging at this quantile adds 3% to the sends, which leaves the rest of the 5% limit on extra load to retries.
    constexpr double hedgeQuantile = 0.97;
    constexpr Milliseconds initialHedgeDelay { 50 };
    constexpr Milliseconds minimumHedgeDelay { 1 };

    size_t bucketOf(Milliseconds latency)
    {
        double steps = std::log(latency.value() / LatencyStats::smallestBound) / std::log(LatencyStats::boundFactor);
        if (!(steps > 0))
            return 0;
        return std::min(LatencyStats::bucketCount - 1, static_cast<size_t>(std::ceil(steps)));
    }

    Milliseconds upperBound(size_t bucket)
    {
        return Milliseconds(
            LatencyStats::smallestBound * std::pow(LatencyStats::boundFactor, static_cast<double>(bucket)));
    }

} // namespace

void record(LatencyStats& stats, Milliseconds latency)
{
    stats.weights[bucketOf(latency)] += 1;
    stats.total += 1;
    if (stats.total < samplesBeforeHalving)
        return;
    for (double& weight : stats.weights)
        weight /= 2;
    stats.total /= 2;
}

Milliseconds quantile(const LatencyStats& stats, double share)
{
    if (stats.total <= 0)
        return {};
    double below = 0;
    for (size_t i = 0; i < LatencyStats::bucketCount; ++i) {
        below += stats.weights[i];
        if (below >= share * stats.total)
            return upperBound(i);
    }
    return upperBound(LatencyStats::bucketCount - 1);
}

Milliseconds mean(const LatencyStats& stats)
{
    if (stats.total <= 0)
        return {};
    double sum = 0;
    for (size_t i = 0; i < LatencyStats::bucketCount; ++i)
        sum += stats.weights[i] * upperBound(i).value();
    // The geometric centre of the bucket.
    return Milliseconds(sum / stats.total / std::sqrt(LatencyStats::boundFactor));
}

Milliseconds hedgeDelay(const LatencyStats& stats)
{
    if (stats.total < minimumSamples)
        return initialHedgeDelay;
    return std::max(minimumHedgeDelay, quantile(stats, hedgeQuantile));
}

} // namespace Routing
