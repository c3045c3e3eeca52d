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

// An attempt that waits for a slot of one of the servers of its shard.
struct Waiter {
    Common::QueryId query;
    Common::AttemptId attempt;
    Common::ShardId shard;
    Common::RouteName route;
    Common::TimePoint deadline; // By which the answer is needed.
    std::vector<Common::BackendServerId> avoidServers; // Not to be used: an earlier attempt was there.
};

// Waiters for the slots of one set of replicas: one route after the other; inside a route the earliest deadline first,
// and first come first served where deadlines are equal. So a retry, whose query is older, goes before first sends.
struct WaitQueue {
    std::map<Common::RouteName, std::deque<Waiter>> routes; // Routes that have waiters.
    std::deque<Common::RouteName> turns; // The same routes, next one first.
};

void push(WaitQueue&, Waiter);
// The next waiter that may use the server that has a slot and whose deadline is more than `needed` away. Waiters that
// can't make it are dropped. An empty server suits all.
std::optional<Waiter> pop(
    WaitQueue&, Common::TimePoint now, Common::Milliseconds needed = {}, const Common::BackendServerId& server = {});
// Whether the attempt was there.
bool remove(WaitQueue&, Common::QueryId, Common::AttemptId, const Common::RouteName&);
size_t size(const WaitQueue&);
// How many waiters would be served before a new one of this route.
size_t waitersAhead(const WaitQueue&, const Common::RouteName&);

// What stands before a request at one set of replicas.
struct Backlog {
    size_t waitersAhead { 0 };
    bool slotFree { false };
    double slots { 1 }; // Requests that the replicas may run at a time, as limits are now.
    Common::Milliseconds serviceTime; // Observed mean of one request.
};

// Time until the answer, estimated: waiters ahead and the request itself, at the observed rate.
Common::Milliseconds estimatedTime(const Backlog&);

// Refuses with Overloaded when the slowest backlog of a query's shards can't meet the deadline. Whole queries are
// admitted or refused, before anything is sent: refusing single shards would leave every query with gaps.
Common::Result<void> admit(const std::vector<Backlog>&, Common::TimePoint deadline, Common::TimePoint now);

} // namespace Limits
