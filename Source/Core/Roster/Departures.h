#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Roster/Records.h"

#include <optional>
#include <set>

// How control instances agree on the departure of a backend server before one of them acknowledges it. A departure ends
// one start of a server and all earlier ones. Each instance keeps the latest that it knows of each server in its
// registry; merging is idempotent and does not depend on the order.
namespace Roster {

struct Departure {
    Common::BackendServerId server;
    // The latest start that has ended, as far as the sender knows. If the server named none, all starts up to this
    // time.
    Common::Incarnation incarnation;
    // Whether the incarnation is that of a start. If not, the receiver may know a later one, if clocks differ.
    bool isNamed { false };
    // The wall clock when the server reported it, in the unit of incarnations. 0 if no later start ends as well.
    Common::Incarnation receivedAt;
};

// How the report of a departure reached the control instance.
struct Receipt {
    Common::Incarnation at; // The wall clock, in the unit of incarnations.
    bool isAwaited { true }; // The server still waits for the reply.
};

// Returns the departure that a server reported; nullopt if it is to be ignored, since it names no start and was read
// late, when the server may have returned. `named` is the start that it named, 0 if none. A start whose heartbeats have
// not arrived yet ends too: one that leaves began before its report, and the next one begins a `drainTime` later or
// more. After a start that has reported before that it leaves, the next one may begin at once.
std::optional<Departure> departureFrom(const Common::BackendServerId&, Common::Incarnation named, const KnownStart&,
    const Receipt&, Common::Milliseconds drainTime);

// Returns the latest start that the departure ends, at an instance that knows the start `known` and reads it at `now`.
Common::Incarnation endedIncarnation(
    const Departure&, Common::Incarnation known, Common::Incarnation now, Common::Milliseconds drainTime);

// How many of the `others` must store a departure before it is acknowledged, in addition to one copy, if `tolerated`
// disks may be lost together. An instance that does not know the members yet may know only some of the others.
size_t copiesNeeded(size_t tolerated, bool areMembersKnown, size_t others);

// The state of one departure until enough instances have stored it. Plain data: the caller keeps it under a lock.
struct DepartureRound {
    Departure departure;
    size_t needed { 0 }; // Instances that must store it.
    std::set<Common::Address> holders; // Those that have.
    bool isEnded { false }; // Acknowledged or given up.
};

enum class RoundStep {
    Wait,
    AskAgain, // The instance did not take it over.
    AskAll, // The instance knew a later start, which ends too: all must take that over.
    Acknowledge,
};

// Asks nobody yet. Returns Acknowledge if no other instance is needed.
RoundStep begin(DepartureRound&);

// Records that the instance, asked about the start `asked`, holds the end of the start `held`; 0 if it did not reply.
RoundStep recordReply(DepartureRound&, const Common::Address&, Common::Incarnation asked, Common::Incarnation held);

// Ends the round when its time is up. Returns false if it had ended before.
bool giveUp(DepartureRound&);

} // namespace Roster
