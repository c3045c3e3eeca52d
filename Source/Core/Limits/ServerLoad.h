#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>

namespace Limits {

// The share of a backend server's slots that one of several entry instances may use.
//
// Instances don't coordinate single requests, so a server with fewer slots than instances can't be divided into whole
// slots. `ceiling` is the whole part of the instance's share, at least 1, plus 1 so that a straggler does not block all
// other requests of the instance; it is never above the number of slots. `fair` is the exact share. Requests above it
// are borrowed: the limit falls back to `fair` when latencies rise or the server sheds. A limit below 1 is enforced as
// a duty cycle: one request, then a pause. A server with 2 slots and 9 instances gets at most 18 concurrent requests,
// and about 2 once the borrowed ones are given up. Slots are not owned by single instances, because a query touches all
// shards and nearly every sub-request would have to go through another instance.
struct SlotShare {
    Common::Slots ceiling { 1 };
    Common::Ratio fair { 1 }; // In slots; may be above 1.
};

// The share of instance number `index` out of `instances`. The fair shares add up to `slots`.
SlotShare slotShare(Common::Slots slots, size_t instances, size_t index);

// How a request to a backend server ended.
enum class Completion {
    Ok,
    Shed, // The server refused the request without running it.
    Failed,
    Cancelled, // By this instance; the time taken is a lower bound of the latency.
    TimedOut,
};

// The adaptive concurrency limit and the latency of one backend server, as seen from this instance. Plain data: the
// caller keeps it under a lock.
struct ServerLoad {
    SlotShare share;
    double limit { 0 }; // Adaptive limit on requests in flight; below 1 a duty cycle. 0 before configure().
    int64_t inFlight { 0 };
    Common::Milliseconds latency; // Moving average with outliers bounded; 0 before the first sample.
    Common::Milliseconds usualLatency; // The same over more samples.
    double slowShare { 0 }; // Share of recent requests that took much longer than usual.
    int samples { 0 }; // Counted up to the longer window.
    Common::TimePoint sampledAt;
    bool cold { true }; // Until enough requests have succeeded.
    int warmSuccesses { 0 };
    int recentFailures { 0 }; // Sheds and failures less the successes since; sets the backoff.
    Common::TimePoint pausedUntil; // Backoff after sheds and failures.
    Common::TimePoint pacedUntil; // Pause that enforces a limit below 1.
};

// Sets or changes the share. If the limit falls, requests in flight above it are left to complete. On the first call
// the limit starts low, and the server is cold.
void configure(ServerLoad&, const SlotShare&, Common::TimePoint now);

// Takes a slot. False if none is free now.
bool tryAcquire(ServerLoad&, Common::TimePoint now);

// Returns a slot and adapts the limit and the latency to the outcome of the request.
void release(ServerLoad&, Completion, Common::Milliseconds took, Common::TimePoint now);

// Whether tryAcquire() would succeed.
bool hasFreeSlot(const ServerLoad&, Common::TimePoint now);

// The end of the current pause, before which tryAcquire() fails. Not after `now` if there is no pause.
Common::TimePoint availableAt(const ServerLoad&);

// The latency estimate. The excess over the usual latency decays with time, so that a server that was slow is tried
// again.
Common::Milliseconds expectedLatency(const ServerLoad&, Common::TimePoint now);

} // namespace Limits
