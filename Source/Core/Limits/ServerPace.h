#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <optional>

// The pace of requests to a server that has just started or recovered. It is derived from how the server answers, not
// from what it reports of itself. Answers the load of servers that are slow after a start and fail when they get the
// full load at once, and of servers that recover and would be idle too long under a fixed delay. See
// docs/design/pace.md.
namespace Limits {

// How a request to the server ended, for its pace.
enum class PaceSample {
    Usual,
    Between, // Slower than usual, but not slow.
    Slow,
    Refused, // Failed, shed or malformed.
    Unreachable,
    None, // Says nothing, as a cancelled request that did not take long.
};

// Compares the time that a request took with the usual one. Without a usual time the answer counts as usual.
PaceSample sampleOf(Common::Milliseconds took, std::optional<Common::Milliseconds> usual);

// The pace of one server as seen from this instance. Plain data: the caller keeps it under a lock.
struct ServerPace {
    Common::Incarnation incarnation; // Of the server.
    bool isPaced { false };
    bool isCold { false }; // The server was last known as cold.
    double inFlight { 1 }; // Requests in flight that the pace permits; below 1 it is a duty cycle.
    // From here on it rises by one with each round of answers, not with each answer: the server was lost or slow at
    // twice this pace. 0: not yet.
    double slowFrom { 0 };
    size_t usualInARow { 0 };
    size_t refusedInARow { 0 };
    size_t slowInARow { 0 };
    Common::TimePoint slowSince; // When the first of them was sent.
    Common::TimePoint startedAt; // Of the last request.
    Common::TimePoint halvedAt; // Answers to requests that were sent before say nothing about the pace since.
    Common::TimePoint pausedUntil; // Enforces a pace below 1.
};

// Applies what is known of the server before a request is sent. A new incarnation and a new cold phase begin the paced
// state.
void observe(ServerPace&, Common::Incarnation, bool isCold);

// How long until the pace permits another request; empty if it does now. At most the floor interval, however the
// server behaves, so that a group is never without a server for longer.
std::optional<Common::Milliseconds> paceOpensIn(const ServerPace&, size_t inFlight, Common::TimePoint now);

void paceStarted(ServerPace&, Common::TimePoint now);

// A request that has ended, as the pace sees it.
struct PacedEnd {
    Common::Incarnation incarnation; // Of the server that it was sent to.
    PaceSample sample { PaceSample::None }; // Against the long-term time of the group, for a server that is paced.
    bool isSlowNow { false }; // Against what the group's other servers take now. Begins the paced state.
    Common::Milliseconds took;
    Common::TimePoint sentAt;
};

// Adapts the pace. The paced state does not end while the server is cold. limit: requests in flight that this instance
// may have at the server without a pace.
void paceEnded(ServerPace&, const PacedEnd&, Common::Connections limit, Common::TimePoint now);

} // namespace Limits
