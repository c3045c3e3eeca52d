#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>

// What a backend server says of itself in its answers. It knows first that it leaves or that it has no capacity, so its
// word goes before what others report of it. Answers the load of servers that leave or are full for seconds.
namespace Limits {

// In one answer.
struct ServerNotice {
    bool isLeaving { false };
    std::optional<Common::Milliseconds> closedFor; // With a refusal: it takes no requests for this long.
    std::optional<Common::RequestRate> limit; // That it takes from all instances together.
    bool hasUnusableLimit { false }; // It names a limit that can't be read.
};

// The notices of one server. Plain data: the caller keeps it under a lock.
struct ServerNotices {
    Common::Incarnation incarnation; // Of the server that gave them.
    bool isLeaving { false };
    Common::TimePoint closedUntil;
    bool isReopening { false }; // It was closed and has not answered since.
};

// Applies the notice of an answer of this incarnation. isServed: the server answered without refusing.
void recordNotice(ServerNotices&, Common::Incarnation, const ServerNotice&, bool isServed, Common::TimePoint now);

// Whether the server may get a request with this many in flight. A later incarnation starts afresh. A server that
// reopens gets one request at a time until it has served one, so that the backlog does not close it again.
bool mayReceive(const ServerNotices&, Common::Incarnation, size_t inFlight, Common::TimePoint now);

// How long until the server may take requests; empty if it does not say.
std::optional<Common::Milliseconds> reopensIn(const ServerNotices&, Common::Incarnation, Common::TimePoint now);

// When a caller should return to a group whose servers are all closed: after the first of them reopens, spread over
// half of that time again, so that callers do not return together. chance is in [0, 1).
Common::Milliseconds spreadReturn(Common::Milliseconds reopensIn, double chance);

} // namespace Limits
