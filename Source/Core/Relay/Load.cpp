#include "Relay/Load.h"

#include <algorithm>
#include <cmath>

namespace Relay {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr double averageWindow = 12; // Samples.
    // Samples. More than a slow spell of some seconds brings, so that the usual outlasts it.
    constexpr double usualWindow = 400;
    constexpr double outlierRatio = 4; // A sample counts as at most this many times the average.
    constexpr Milliseconds unknownLatency { 10 };
    // A request that takes longer than usual by this factor, and than this time, shows a server that stands still.
    constexpr double stallRatio = 2.5;
    constexpr Milliseconds stallFloor { 25 };
    constexpr int maximumDoublings = 8;
    constexpr double troubleWindow = 15; // Requests.
    // The excess over the usual of an unused server counts half after that time: slow spells last seconds.
    constexpr Milliseconds fadeHalfLife { 2'000 };
    // What a request that has to be sent again is taken to cost: repeats are scarcer than time.
    constexpr Milliseconds troubleCost { 250 };

    // How long a server is left alone, as long as there is another, after the first trouble; doubled after each
    // further one in a row.
    struct Backoff {
        Milliseconds first;
        Milliseconds longest;
    };
    constexpr Backoff shed { Milliseconds(15), Milliseconds(500) };
    constexpr Backoff failed { Milliseconds(40), Milliseconds(2'000) };
    constexpr Backoff unreachable { Milliseconds(100), Milliseconds(3'000) };
    constexpr Backoff misdirected { Milliseconds(5'000), Milliseconds(5'000) };

    void pause(Load& load, const Backoff& backoff, TimePoint now)
    {
        double factor = std::exp2(std::min(load.troubles, maximumDoublings));
        ++load.troubles;
        load.pausedUntil = std::max(load.pausedUntil, now + std::min(backoff.longest, backoff.first * factor));
    }

    void sample(Load& load, Milliseconds took)
    {
        if (load.latency.value() <= 0) {
            load.latency = took;
            load.usualLatency = took;
            return;
        }
        Milliseconds bounded = std::min(took, load.latency * outlierRatio);
        load.latency += (bounded - load.latency) / averageWindow;
        load.usualLatency += (bounded - load.usualLatency) / usualWindow;
    }

} // namespace

void begin(Load& load, TimePoint now) { load.live.push_back(now); }

void end(Load& load, TimePoint sentAt, const Outcome& outcome, TimePoint now)
{
    auto it = std::find(load.live.begin(), load.live.end(), sentAt);
    if (it != load.live.end())
        load.live.erase(it);
    load.heardAt = now;
    if (outcome.kind != Outcome::Kind::GivenUp) {
        double trouble = outcome.kind == Outcome::Kind::Answered ? 0 : 1;
        load.troubleShare += (trouble - load.troubleShare) / troubleWindow;
    }
    switch (outcome.kind) {
    case Outcome::Kind::Answered:
        load.troubles = 0;
        load.pausedUntil = now;
        sample(load, outcome.took);
        return;
    case Outcome::Kind::GivenUp:
        sample(load, std::max(outcome.took, load.latency));
        return;
    case Outcome::Kind::Shed:
        pause(load, shed, now);
        return;
    case Outcome::Kind::Failed:
        pause(load, failed, now);
        return;
    case Outcome::Kind::Unreachable:
        pause(load, unreachable, now);
        return;
    case Outcome::Kind::Misdirected:
        pause(load, misdirected, now);
        return;
    }
}

Milliseconds expectedLatency(const Load& load, TimePoint now)
{
    Milliseconds expected = load.latency.value() > 0 ? load.latency : unknownLatency;
    expected += troubleCost * load.troubleShare;
    Milliseconds usual = load.usualLatency.value() > 0 ? load.usualLatency : unknownLatency;
    Milliseconds unused = now - load.heardAt;
    if (expected > usual && unused > Milliseconds(0))
        expected = usual + (expected - usual) * std::exp2(-unused.value() / fadeHalfLife.value());
    if (load.live.empty())
        return expected;
    Milliseconds oldest = now - *std::min_element(load.live.begin(), load.live.end());
    if (oldest > std::max(expected * stallRatio, stallFloor))
        expected += oldest;
    return expected;
}

} // namespace Relay
