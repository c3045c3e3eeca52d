#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Limits {

// An attempt that waits for a free slot on one of the servers of its shard.
struct Waiter {
    Common::QueryId query;
    Common::AttemptId attempt;
    Common::ShardId shard;
    Common::RouteName route;
    Common::TimePoint deadline; // By which the answer is needed.
    std::vector<Common::BackendServerId> avoidServers; // Excluded: earlier attempts went there.
};

// Waiters for the slots of one set of replicas. Routes are served round-robin; within a route the earliest deadline is
// first, and equal deadlines are first in, first out. A retry therefore goes before first sends: its query is older.
struct WaitQueue {
    std::map<Common::RouteName, std::deque<Waiter>> routes; // Routes that have waiters.
    std::deque<Common::RouteName> roundRobin; // The same routes, the next one first.
};

void push(WaitQueue&, Waiter);
// The next waiter that may use the server with the free slot and whose deadline is more than `needed` away. Waiters at
// the head of a route that can't meet their deadline are dropped. An empty server id suits all waiters.
std::optional<Waiter> pop(
    WaitQueue&, Common::TimePoint now, Common::Milliseconds needed = {}, const Common::BackendServerId& server = {});
// Returns whether the attempt was in the queue.
bool remove(WaitQueue&, Common::QueryId, Common::AttemptId, const Common::RouteName&);
size_t size(const WaitQueue&);
// The number of waiters that would be served before a new one of this route.
size_t waitersAhead(const WaitQueue&, const Common::RouteName&);

// The load ahead of a new request at one set of replicas.
struct Backlog {
    size_t waitersAhead { 0 };
    bool slotFree { false };
    double slots { 1 }; // Concurrent requests that the replicas' current limits allow.
    Common::Milliseconds serviceTime; // Observed mean per request.
};

// The estimated time until the answer: the waiters ahead and the request itself, at the observed rate.
Common::Milliseconds estimatedTime(const Backlog&);

// Admission control: refuses with Overloaded if the slowest backlog of a query's shards can't meet the deadline. A
// query is admitted or refused as a whole before anything is sent: refusing single shards would make every answer
// partial.
Common::Result<void> admit(const std::vector<Backlog>&, Common::TimePoint deadline, Common::TimePoint now);

} // namespace Limits
