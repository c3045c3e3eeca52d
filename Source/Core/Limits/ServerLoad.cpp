#include "Limits/ServerLoad.h"

#include "Common/Assert.h"

#include <algorithm>
#include <cmath>

using Common::Milliseconds;
using Common::TimePoint;

namespace Limits {

namespace {

    constexpr double minimumLimit = 0.05;
    constexpr double initialLimit = 0.25;
    constexpr double coldIncrease = 0.25; // Per success.
    constexpr double warmIncrease = 0.02; // Per success.
    constexpr double borrowedDecrease = 0.5; // Factor per shed or failure, down to the fair share.
    constexpr double fairDecrease = 0.7; // Factor per shed or failure, below the fair share.
    constexpr double slowDecrease = 0.95; // Factor per success while latencies are raised.
    constexpr double slowRatio = 2; // A request is slow if it takes this many times the usual latency.
    constexpr double raisedSlowShare = 0.3; // Latencies are raised above it; single slow requests are no sign of load.
    constexpr int successesUntilWarm = 8;
    constexpr int shortWindow = 10; // Samples.
    constexpr int longWindow = 200; // Samples.
    constexpr double outlierRatio = 4; // A sample counts as at most this multiple of the average.
    constexpr int maximumRecentFailures = 10;
    // Exponential backoff after sheds and failures.
    struct Backoff {
        Milliseconds initial;
        double factor;
        Milliseconds maximum;
    };
    constexpr Backoff shedBackoff { Milliseconds(10), 2, Milliseconds(1000) };
    // Steeper, because each request to a lost server costs a retry. A server that comes back announces itself again.
    constexpr Backoff failureBackoff { Milliseconds(50), 8, Milliseconds(5000) };
    constexpr Milliseconds maximumPacingPause { 1000 };
    constexpr Milliseconds excessHalfLife { 1000 };

    int64_t concurrencyLimit(const ServerLoad& load)
    {
        // A cold server, or one that failed recently, gets one request at a time.
        if (load.cold || load.recentFailures > 0)
            return 1;
        return std::max<int64_t>(1, static_cast<int64_t>(load.limit + 1e-9));
    }

    Milliseconds average(Milliseconds old, Milliseconds sample, int window)
    {
        return old + (sample - old) / static_cast<double>(window);
    }

    void recordLatency(ServerLoad& load, Milliseconds took, TimePoint now)
    {
        load.sampledAt = now;
        if (load.latency.value() <= 0) {
            load.latency = load.usualLatency = took;
            return;
        }
        double slow = took > load.usualLatency * slowRatio ? 1 : 0;
        load.slowShare += (slow - load.slowShare) / shortWindow;
        // Stragglers are common: a single one says little about the server.
        Milliseconds sample = std::min(took, load.latency * outlierRatio);
        load.latency = average(load.latency, sample, shortWindow);
        load.usualLatency = average(load.usualLatency, sample, std::clamp(load.samples, shortWindow, longWindow));
        load.samples = std::min(load.samples + 1, longWindow);
    }

    // Raises the limit after a success, or lowers a borrowed part of it while latencies are raised.
    void adaptLimit(ServerLoad& load)
    {
        double ceiling = static_cast<double>(load.share.ceiling.value());
        bool isSlow = load.slowShare > raisedSlowShare;
        if (isSlow && load.limit > load.share.fair.value()) {
            load.limit = std::max(load.share.fair.value(), load.limit * slowDecrease);
            return;
        }
        if (!isSlow || load.limit < load.share.fair.value())
            load.limit = std::min(ceiling, load.limit + (load.cold ? coldIncrease : warmIncrease));
    }

    void recordSuccess(ServerLoad& load)
    {
        load.recentFailures = std::max(0, load.recentFailures - 1);
        adaptLimit(load);
        if (load.cold && ++load.warmSuccesses >= successesUntilWarm)
            load.cold = false;
    }

    void recordFailure(ServerLoad& load, const Backoff& backoff, TimePoint now)
    {
        // Requests that were in flight together count as one failure.
        if (now < load.pausedUntil)
            return;
        load.recentFailures = std::min(load.recentFailures + 1, maximumRecentFailures);
        double fair = load.share.fair.value();
        load.limit = load.limit > fair ? std::max(fair, load.limit * borrowedDecrease)
                                       : std::max(minimumLimit, load.limit * fairDecrease);
        load.pausedUntil
            = now + std::min(backoff.maximum, backoff.initial * std::pow(backoff.factor, load.recentFailures - 1));
    }

    void pace(ServerLoad& load, TimePoint now)
    {
        if (load.limit < 1)
            load.pacedUntil = now + std::min(maximumPacingPause, load.latency * (1 / load.limit - 1));
    }

} // namespace

SlotShare slotShare(Common::Slots slots, size_t instances, size_t index)
{
    auto n = static_cast<int64_t>(std::max<size_t>(1, instances));
    int64_t whole = slots.value() / n + (static_cast<int64_t>(index) < slots.value() % n ? 1 : 0);
    double fair = static_cast<double>(slots.value()) / static_cast<double>(n);
    int64_t ceiling = std::min(slots.value(), std::max<int64_t>(1, whole) + 1);
    return { Common::Slots(ceiling), Common::Ratio(std::min(fair, static_cast<double>(ceiling))) };
}

void configure(ServerLoad& load, const SlotShare& share, TimePoint now)
{
    load.share = share;
    if (load.limit <= 0) {
        load.limit = std::min(initialLimit, share.fair.value());
        load.sampledAt = now;
    }
    load.limit = std::min(load.limit, static_cast<double>(share.ceiling.value()));
}

bool hasFreeSlot(const ServerLoad& load, TimePoint now)
{
    return load.limit > 0 && now >= load.pausedUntil && now >= load.pacedUntil
        && load.inFlight < concurrencyLimit(load);
}

bool tryAcquire(ServerLoad& load, TimePoint now)
{
    if (!hasFreeSlot(load, now))
        return false;
    ++load.inFlight;
    CORIANDERLOCK_INVARIANT(load.inFlight <= load.share.ceiling.value(), "requests in flight above the ceiling");
    return true;
}

void release(ServerLoad& load, Completion completion, Milliseconds took, TimePoint now)
{
    CORIANDERLOCK_INVARIANT(load.inFlight > 0, "a slot was returned that was not taken");
    --load.inFlight;
    switch (completion) {
    case Completion::Ok:
        recordLatency(load, took, now);
        recordSuccess(load);
        break;
    case Completion::Shed:
        recordFailure(load, shedBackoff, now);
        break;
    case Completion::Failed:
        recordFailure(load, failureBackoff, now);
        break;
    case Completion::Cancelled:
    case Completion::TimedOut:
        // No backoff: when all servers are slow, pauses would reduce their remaining throughput.
        if (took > load.latency)
            recordLatency(load, took, now);
        break;
    }
    pace(load, now);
}

TimePoint availableAt(const ServerLoad& load) { return std::max(load.pausedUntil, load.pacedUntil); }

Milliseconds expectedLatency(const ServerLoad& load, TimePoint now)
{
    if (load.latency <= load.usualLatency)
        return load.latency;
    double remaining = std::exp2(-std::max(0.0, (now - load.sampledAt).value()) / excessHalfLife.value());
    return load.usualLatency + (load.latency - load.usualLatency) * remaining;
}

} // namespace Limits
