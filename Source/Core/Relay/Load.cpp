#include "Relay/Load.h"

#include <algorithm>
#include <cmath>

namespace Relay {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr double averageWindow = 12; // Samples.
    // In samples. A slow period of some seconds has fewer, so it ends before the long-term average adapts to it.
    constexpr double longTermWindow = 400;
    constexpr double outlierRatio = 4; // A sample counts as at most this multiple of the average.
    constexpr Milliseconds unknownLatency { 10 };
    // A server is taken as stalled if a request exceeds both its expected latency by this factor and minimumStall.
    constexpr double stallRatio = 2.5;
    constexpr Milliseconds minimumStall { 25 };
    constexpr int maximumDoublings = 8;
    constexpr double failureRateWindow = 15; // Requests.
    // Half-life of the latency above the long-term average while a server is not used. Slow periods last seconds.
    constexpr Milliseconds excessHalfLife { 2'000 };
    // Expected cost of a request that has to be sent again, more than its latency because the retry budget is small.
    constexpr Milliseconds retryCost { 250 };

    // How long a server is avoided after its first failure, as long as there is another. Doubles with each consecutive
    // failure.
    struct Backoff {
        Milliseconds initial;
        Milliseconds maximum;
    };
    constexpr Backoff shedBackoff { Milliseconds(15), Milliseconds(500) };
    constexpr Backoff failedBackoff { Milliseconds(40), Milliseconds(2'000) };
    constexpr Backoff unreachableBackoff { Milliseconds(100), Milliseconds(3'000) };
    constexpr Backoff misdirectedBackoff { Milliseconds(5'000), Milliseconds(5'000) };

    void pause(Load& load, const Backoff& backoff, TimePoint now)
    {
        double factor = std::exp2(std::min(load.consecutiveFailures, maximumDoublings));
        ++load.consecutiveFailures;
        load.pausedUntil = std::max(load.pausedUntil, now + std::min(backoff.maximum, backoff.initial * factor));
    }

    void sample(Load& load, Milliseconds took)
    {
        if (load.latency.value() <= 0) {
            load.latency = took;
            load.longTermLatency = took;
            return;
        }
        Milliseconds bounded = std::min(took, load.latency * outlierRatio);
        load.latency += (bounded - load.latency) / averageWindow;
        load.longTermLatency += (bounded - load.longTermLatency) / longTermWindow;
    }

} // namespace

void begin(Load& load, TimePoint now) { load.inFlight.push_back(now); }

void end(Load& load, TimePoint sentAt, const Outcome& outcome, TimePoint now)
{
    auto it = std::find(load.inFlight.begin(), load.inFlight.end(), sentAt);
    if (it != load.inFlight.end())
        load.inFlight.erase(it);
    load.lastEndedAt = now;
    if (outcome.kind != Outcome::Kind::Cancelled) {
        double failure = outcome.kind == Outcome::Kind::Answered ? 0 : 1;
        load.failureRate += (failure - load.failureRate) / failureRateWindow;
    }
    switch (outcome.kind) {
    case Outcome::Kind::Answered:
        load.consecutiveFailures = 0;
        load.pausedUntil = now;
        sample(load, outcome.took);
        return;
    case Outcome::Kind::Cancelled:
        sample(load, std::max(outcome.took, load.latency));
        return;
    case Outcome::Kind::Shed:
        pause(load, shedBackoff, now);
        return;
    case Outcome::Kind::Failed:
    case Outcome::Kind::Unusable:
        pause(load, failedBackoff, now);
        return;
    case Outcome::Kind::Unreachable:
        pause(load, unreachableBackoff, now);
        return;
    case Outcome::Kind::Misdirected:
        pause(load, misdirectedBackoff, now);
        return;
    }
}

Milliseconds expectedLatency(const Load& load, TimePoint now)
{
    Milliseconds expected = load.latency.value() > 0 ? load.latency : unknownLatency;
    expected += retryCost * load.failureRate;
    Milliseconds baseline = load.longTermLatency.value() > 0 ? load.longTermLatency : unknownLatency;
    Milliseconds idleTime = now - load.lastEndedAt;
    if (expected > baseline && idleTime > Milliseconds(0))
        expected = baseline + (expected - baseline) * std::exp2(-idleTime.value() / excessHalfLife.value());
    if (load.inFlight.empty())
        return expected;
    Milliseconds oldest = now - *std::min_element(load.inFlight.begin(), load.inFlight.end());
    if (oldest > std::max(expected * stallRatio, minimumStall))
        expected += oldest;
    return expected;
}

} // namespace Relay
