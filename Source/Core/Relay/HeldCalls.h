#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Relay {

using HeldCallId = Common::StrongId<struct HeldCallIdTag, uint64_t>;

struct HoldLimits {
    size_t calls { 200 };
    Common::Bytes bytes { 1 << 20 };
    Common::Milliseconds longest { 400 };
    // For a call without a time limit of its caller.
    Common::Milliseconds assumedTimeLeft { 1'000 };
    // How long the list of servers counts as incomplete after the table became known.
    Common::Milliseconds rosterTime { 2'000 };
};

struct HeldCall {
    Common::Bytes bytes;
    Common::TimePoint arrived;
    Common::TimePoint until;
};

// Calls that wait, in the order of their arrival, for a route table or for the servers of their groups: while a process
// starts, a call that is served late is worth more to its caller than one that is refused.
struct HeldCalls {
    HoldLimits limits;
    std::map<HeldCallId, HeldCall> calls; // Ids ascend in the order of arrival.
    Common::Bytes bytes;
    uint64_t nextId { 1 };
};

// What bounds the time for which a call may be held.
struct HoldRequest {
    Common::Bytes bytes;
    std::optional<Common::Milliseconds> timeLeft; // Of the caller, when the call arrived.
    std::optional<Common::Milliseconds> objective; // Of the route, if that is known.
};

// Returns nothing if the call can't be held.
std::optional<HeldCallId> hold(HeldCalls&, const HoldRequest&, Common::TimePoint arrived);
// Shortens the wait of a call whose route has become known.
void limitWait(HeldCalls&, HeldCallId, Common::Milliseconds objective);
// Removes the calls that have waited as long as they may, in the order of their arrival.
std::vector<HeldCallId> takeOverdue(HeldCalls&, Common::TimePoint now);
// Removes a call that is released or whose caller has left. Returns false if it is not held.
bool remove(HeldCalls&, HeldCallId);
// When takeOverdue() is due; empty if no call is held.
std::optional<Common::TimePoint> nextOverdue(const HeldCalls&);
// Whether a call to groups without a known server may be held. False before the table is known.
bool mayWaitForServers(const HoldLimits&, std::optional<Common::TimePoint> tableKnownAt, Common::TimePoint now);

} // namespace Relay
