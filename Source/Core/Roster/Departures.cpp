#include "Roster/Departures.h"

#include <algorithm>
#include <utility>

namespace Roster {

using Common::Incarnation;

namespace {

    // Half of the time from a departure to the next start of the server, so that clocks may differ by as much in either
    // direction.
    Incarnation clockMargin(Common::Milliseconds drainTime)
    {
        return Incarnation(static_cast<uint64_t>((drainTime / 2).value()));
    }

    RoundStep acknowledgeIfHeld(DepartureRound& round, RoundStep otherwise)
    {
        round.isEnded = round.holders.size() >= round.needed;
        return round.isEnded ? RoundStep::Acknowledge : otherwise;
    }

} // namespace

std::optional<Departure> departureFrom(const Common::BackendServerId& server, Incarnation named,
    const KnownStart& known, const Receipt& receipt, Common::Milliseconds drainTime)
{
    if (named != Incarnation(0))
        return Departure { server, named, true, receipt.at };
    if (!receipt.isAwaited)
        return std::nullopt;
    if (known.isLeaving)
        return Departure { server, std::max(receipt.at, known.latest), false, Incarnation(0) };
    return Departure { server, std::max(receipt.at + clockMargin(drainTime), known.latest), false, receipt.at };
}

Incarnation endedIncarnation(
    const Departure& departure, Incarnation known, Incarnation now, Common::Milliseconds drainTime)
{
    // Read late, by a process that was suspended: the known start may be one that has returned since.
    bool isLate = now > departure.receivedAt + clockMargin(drainTime);
    return departure.isNamed || isLate ? departure.incarnation : std::max(departure.incarnation, known);
}

size_t copiesNeeded(size_t tolerated, bool areMembersKnown, size_t others)
{
    return areMembersKnown ? std::min(tolerated, others) : tolerated;
}

RoundStep begin(DepartureRound& round) { return acknowledgeIfHeld(round, RoundStep::AskAll); }

RoundStep recordReply(DepartureRound& round, const Common::Address& from, Incarnation asked, Incarnation held)
{
    if (round.isEnded)
        return RoundStep::Wait;
    Incarnation& current = round.departure.incarnation;
    if (held < current)
        return asked == current ? RoundStep::AskAgain : RoundStep::Wait;
    if (held == current) {
        round.holders.insert(from);
        return acknowledgeIfHeld(round, RoundStep::Wait);
    }
    current = held;
    round.holders = { from };
    return acknowledgeIfHeld(round, RoundStep::AskAll);
}

bool giveUp(DepartureRound& round) { return !std::exchange(round.isEnded, true); }

} // namespace Roster
