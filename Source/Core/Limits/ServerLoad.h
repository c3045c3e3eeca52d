#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>

namespace Limits {

// What one of several entry instances may hold of a backend server's slots.
//
// Instances do not agree on each request, so slots fewer than instances can't be divided into whole ones. Each
// instance may hold `ceiling` requests: its whole part, at least one, and one more, so that a straggler does not block
// all that the instance sends; never more than the slots. What exceeds `fair`, its exact part, is borrowed: it is
// given back when latencies rise or the server sheds. A limit below one is kept in time: one request, then a pause.
// A server of 2 slots under 9 instances sees at most 18 requests, and about 2 once what is borrowed is given back.
// Exact ownership of slots was not taken: a query touches all shards, so almost each sub-request would need a relay.
struct SlotShare {
    Common::Slots ceiling { 1 };
    Common::Ratio fair { 1 }; // Slots; may be above 1.
};

// The part of instance number `index` of `instances`. The fair parts add up to `slots`.
SlotShare slotShare(Common::Slots slots, size_t instances, size_t index);

// How a request to a backend server ended.
enum class Completion {
    Ok,
    Shed, // The server said that it did not run the request.
    Failed,
    Cancelled, // By us; the time taken is a lower bound of the latency.
    TimedOut,
};

// One backend server as seen from this instance. Plain data: the caller keeps it under a lock.
struct ServerLoad {
    SlotShare share;
    double limit { 0 }; // Requests in flight, adapted; below 1 it is a duty cycle. 0 before configure().
    int64_t inFlight { 0 };
    Common::Milliseconds latency; // Moving average, outliers damped; 0 before the first sample.
    Common::Milliseconds usualLatency; // The same over a longer time.
    double slowShare { 0 }; // Of recent requests, those that took much longer than usual.
    int samples { 0 }; // Up to the longer window.
    Common::TimePoint sampledAt;
    bool cold { true }; // Until enough requests succeeded.
    int warmSuccesses { 0 };
    int recentFailures { 0 }; // Sheds and failures, less the successes since.
    Common::TimePoint pausedUntil; // After sheds and failures.
    Common::TimePoint pacedUntil; // Pause of a limit below 1.
};

// Sets or changes the share. Requests in flight above a lowered limit run to their end. The first call marks the
// server cold.
void configure(ServerLoad&, const SlotShare&, Common::TimePoint now);

// Takes a slot, if there is one now.
bool tryAcquire(ServerLoad&, Common::TimePoint now);

// Gives a slot back and learns from how the request went.
void release(ServerLoad&, Completion, Common::Milliseconds took, Common::TimePoint now);

// Whether tryAcquire() would succeed.
bool hasFreeSlot(const ServerLoad&, Common::TimePoint now);

// The end of the pause in force, if any; a waiter need not try before. Not above `now` if only slots are lacking.
Common::TimePoint availableAt(const ServerLoad&);

// The latency estimate; what exceeds the usual one fades with time, so that a server that was slow is tried again.
Common::Milliseconds expectedLatency(const ServerLoad&, Common::TimePoint now);

} // namespace Limits
