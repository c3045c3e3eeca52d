#include "Limits/ServerLoad.h"

#include "Common/Assert.h"

#include <algorithm>
#include <cmath>

using Common::Milliseconds;
using Common::TimePoint;

namespace Limits {

namespace {

    constexpr double minimumLimit = 0.05;
    constexpr double coldLimit = 0.25;
    constexpr double coldRaise = 0.25; // A success.
    constexpr double warmRaise = 0.02; // A success.
    constexpr double borrowedFactor = 0.5; // A shed or failure, down to the fair part.
    constexpr double ownFactor = 0.7; // Below it.
    constexpr double slowFactor = 0.95; // A success that shows a raised latency.
    constexpr double slowRatio = 2; // Latency over the usual one that counts as slow.
    constexpr double raisedShare = 0.3; // Of slow requests; a share, since single stragglers are no sign of load.
    constexpr int successesUntilWarm = 8;
    constexpr int shortWindow = 10; // Samples.
    constexpr int longWindow = 200; // Samples.
    constexpr double outlierRatio = 4; // A sample counts as at most this many times the average.
    constexpr int maximumRecentFailures = 10;
    // How long a server is left alone after a trouble, and how much longer after each further one.
    struct Backoff {
        Milliseconds first;
        double factor;
        Milliseconds longest;
    };
    constexpr Backoff shedBackoff { Milliseconds(10), 2, Milliseconds(1000) };
    // Steeper, since each try of a lost server costs a retry. A server that returns announces itself anew.
    constexpr Backoff failureBackoff { Milliseconds(50), 8, Milliseconds(5000) };
    constexpr Milliseconds maximumPacing { 1000 };
    constexpr Milliseconds excessHalfLife { 1000 };

    int64_t wholeLimit(const ServerLoad& load)
    {
        // A cold server, or one that is in trouble, gets one request at a time.
        if (load.cold || load.recentFailures > 0)
            return 1;
        return std::max<int64_t>(1, static_cast<int64_t>(load.limit + 1e-9));
    }

    Milliseconds average(Milliseconds old, Milliseconds sample, int window)
    {
        return old + (sample - old) / static_cast<double>(window);
    }

    void sampleLatency(ServerLoad& load, Milliseconds took, TimePoint now)
    {
        load.sampledAt = now;
        if (load.latency.value() <= 0) {
            load.latency = load.usualLatency = took;
            return;
        }
        double slow = took > load.usualLatency * slowRatio ? 1 : 0;
        load.slowShare += (slow - load.slowShare) / shortWindow;
        // Stragglers are routine: one of them says little about the server.
        Milliseconds sample = std::min(took, load.latency * outlierRatio);
        load.latency = average(load.latency, sample, shortWindow);
        load.usualLatency = average(load.usualLatency, sample, std::clamp(load.samples, shortWindow, longWindow));
        load.samples = std::min(load.samples + 1, longWindow);
    }

    void raiseLimit(ServerLoad& load)
    {
        double ceiling = static_cast<double>(load.share.ceiling.value());
        bool raised = load.slowShare > raisedShare;
        if (raised && load.limit > load.share.fair.value()) {
            load.limit = std::max(load.share.fair.value(), load.limit * slowFactor);
            return;
        }
        if (!raised || load.limit < load.share.fair.value())
            load.limit = std::min(ceiling, load.limit + (load.cold ? coldRaise : warmRaise));
    }

    void succeed(ServerLoad& load)
    {
        load.recentFailures = std::max(0, load.recentFailures - 1);
        raiseLimit(load);
        if (load.cold && ++load.warmSuccesses >= successesUntilWarm)
            load.cold = false;
    }

    void backOff(ServerLoad& load, const Backoff& backoff, TimePoint now)
    {
        // Requests that were in flight together tell of one trouble, not of several.
        if (now < load.pausedUntil)
            return;
        load.recentFailures = std::min(load.recentFailures + 1, maximumRecentFailures);
        double fair = load.share.fair.value();
        load.limit = load.limit > fair ? std::max(fair, load.limit * borrowedFactor)
                                       : std::max(minimumLimit, load.limit * ownFactor);
        load.pausedUntil
            = now + std::min(backoff.longest, backoff.first * std::pow(backoff.factor, load.recentFailures - 1));
    }

    void pace(ServerLoad& load, TimePoint now)
    {
        if (load.limit < 1)
            load.pacedUntil = now + std::min(maximumPacing, load.latency * (1 / load.limit - 1));
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
        load.limit = std::min(coldLimit, share.fair.value());
        load.sampledAt = now;
    }
    load.limit = std::min(load.limit, static_cast<double>(share.ceiling.value()));
}

bool hasFreeSlot(const ServerLoad& load, TimePoint now)
{
    return load.limit > 0 && now >= load.pausedUntil && now >= load.pacedUntil && load.inFlight < wholeLimit(load);
}

bool tryAcquire(ServerLoad& load, TimePoint now)
{
    if (!hasFreeSlot(load, now))
        return false;
    ++load.inFlight;
    CORIANDERLOCK_INVARIANT(load.inFlight <= load.share.ceiling.value(), "in flight above the slots");
    return true;
}

void release(ServerLoad& load, Completion completion, Milliseconds took, TimePoint now)
{
    CORIANDERLOCK_INVARIANT(load.inFlight > 0, "a slot given back that was not taken");
    --load.inFlight;
    switch (completion) {
    case Completion::Ok:
        sampleLatency(load, took, now);
        succeed(load);
        break;
    case Completion::Shed:
        backOff(load, shedBackoff, now);
        break;
    case Completion::Failed:
        backOff(load, failureBackoff, now);
        break;
    case Completion::Cancelled:
    case Completion::TimedOut:
        // No pause: when all servers are slow, pauses would take away what they still do.
        if (took > load.latency)
            sampleLatency(load, took, now);
        break;
    }
    pace(load, now);
}

TimePoint availableAt(const ServerLoad& load) { return std::max(load.pausedUntil, load.pacedUntil); }

Milliseconds expectedLatency(const ServerLoad& load, TimePoint now)
{
    if (load.latency <= load.usualLatency)
        return load.latency;
    double kept = std::exp2(-std::max(0.0, (now - load.sampledAt).value()) / excessHalfLife.value());
    return load.usualLatency + (load.latency - load.usualLatency) * kept;
}

} // namespace Limits
