#include "Limits/ServerPace.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr double usualRatio = 2; // Of the usual time. A cold server takes 1.6 times as long.
    constexpr double slowRatio = 3;
    // Differences below this come from the processors of this instance, not from the server.
    constexpr Milliseconds smallestSlow { 10 };
    constexpr size_t refusalsToPace = 3;
    constexpr size_t slowToPace = 3;
    // Slow answers begin the paced state only if their requests were sent over a longer time than a server pauses
    // (120 to 150 ms): all requests that are in flight in a pause are slow.
    constexpr Milliseconds slowTime { 250 };
    constexpr Milliseconds floorInterval { 250 };
    // Half of an answer in time is not worth a longer duty cycle than the floor interval.
    constexpr double minimumPace = 1.0 / 64;
    constexpr Milliseconds shortestPause { 4 }; // Counted for answers that come at once, as quick errors do.

    void begin(ServerPace& pace)
    {
        pace.isPaced = true;
        pace.inFlight = 1;
        pace.usualInARow = 0;
        pace.refusedInARow = 0;
        pace.slowInARow = 0;
    }

    void halve(ServerPace& pace, const PacedEnd& end, TimePoint now)
    {
        pace.usualInARow = 0;
        // The requests that were in flight together halve it once.
        if (end.sentAt < pace.halvedAt)
            return;
        pace.halvedAt = now;
        pace.inFlight = std::max(minimumPace, pace.inFlight / 2);
        pace.slowFrom = std::max(1.0, pace.inFlight);
        if (pace.inFlight >= 1)
            return;
        Milliseconds pause = std::max(end.took, shortestPause) * (1 / pace.inFlight - 1);
        pace.pausedUntil = now + std::min(pause, floorInterval);
    }

    void raise(ServerPace& pace, Common::Connections limit)
    {
        // From below 1 to one request at a time, not above: the first usual answer after failures proves little.
        bool isSlowRise = pace.slowFrom > 0 && pace.inFlight >= pace.slowFrom;
        pace.inFlight = pace.inFlight < 1 ? 1 : pace.inFlight + (isSlowRise ? 1 / pace.inFlight : 1);
        ++pace.usualInARow;
        auto most = static_cast<double>(limit.value());
        bool isAtEnd = pace.inFlight >= most || static_cast<double>(pace.usualInARow) >= most;
        pace.inFlight = std::min(pace.inFlight, std::max(most, 1.0));
        // A cold server is easily overloaded until it is warm.
        pace.isPaced = !isAtEnd || pace.isCold;
        if (!pace.isPaced)
            pace.slowFrom = 0;
    }

    void countInARow(ServerPace& pace, const PacedEnd& end)
    {
        bool isRefused = end.sample == PaceSample::Refused;
        bool isSlow = end.isSlowNow;
        pace.refusedInARow = isRefused ? pace.refusedInARow + 1 : 0;
        if (isSlow && !pace.slowInARow)
            pace.slowSince = end.sentAt;
        if (!isRefused)
            pace.slowInARow = isSlow ? pace.slowInARow + 1 : 0;
    }

    bool mustBegin(const ServerPace& pace, const PacedEnd& end)
    {
        return end.sample == PaceSample::Unreachable || pace.refusedInARow >= refusalsToPace
            || (pace.slowInARow >= slowToPace && end.sentAt - pace.slowSince >= slowTime);
    }

} // namespace

PaceSample sampleOf(Milliseconds took, std::optional<Milliseconds> usual)
{
    if (!usual || took <= std::max(*usual * usualRatio, smallestSlow))
        return PaceSample::Usual;
    return took > std::max(*usual * slowRatio, smallestSlow) ? PaceSample::Slow : PaceSample::Between;
}

void observe(ServerPace& pace, Common::Incarnation incarnation, bool isCold)
{
    if (incarnation < pace.incarnation)
        return;
    if (incarnation > pace.incarnation) {
        // A server that was lost at some pace is not brought to it again as fast after its restart.
        double slowFrom = pace.isPaced ? pace.slowFrom : 0;
        pace = {};
        pace.incarnation = incarnation;
        pace.slowFrom = slowFrom;
        begin(pace);
    } else if (isCold && !pace.isCold)
        begin(pace);
    pace.isCold = isCold;
}

std::optional<Milliseconds> paceOpensIn(const ServerPace& pace, size_t inFlight, TimePoint now)
{
    if (!pace.isPaced)
        return std::nullopt;
    bool isBelow = static_cast<double>(inFlight) < std::max(1.0, pace.inFlight);
    Milliseconds floor = pace.startedAt + floorInterval - now;
    Milliseconds wait = isBelow ? std::min(pace.pausedUntil - now, floor) : floor;
    return wait > Milliseconds(0) ? std::optional(wait) : std::nullopt;
}

void paceStarted(ServerPace& pace, TimePoint now) { pace.startedAt = now; }

void paceEnded(ServerPace& pace, const PacedEnd& end, Common::Connections limit, TimePoint now)
{
    if (end.incarnation != pace.incarnation || end.sample == PaceSample::None)
        return;
    countInARow(pace, end);
    if (!pace.isPaced) {
        if (!mustBegin(pace, end))
            return;
        begin(pace);
    }
    switch (end.sample) {
    case PaceSample::Usual:
        raise(pace, limit);
        return;
    case PaceSample::Slow:
    case PaceSample::Refused:
    case PaceSample::Unreachable:
        halve(pace, end, now);
        return;
    case PaceSample::Between:
        pace.usualInARow = 0;
        return;
    case PaceSample::None:
        return;
    }
}

} // namespace Limits
