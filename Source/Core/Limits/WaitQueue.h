#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Limits/CallerClass.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
    CallerClass caller;
};

// Waiters that take one turn together: those of one tenant, or those of one route without a tenant.
struct WaitFlow {
    std::optional<Common::TenantName> tenant;
    Common::RouteName route; // Empty if there is a tenant.

    friend auto operator<=>(const WaitFlow&, const WaitFlow&) = default;
};

// The waiters of one flow, and how fast they are served beside those of other priorities and tenants, which may come
// later and still go first.
struct FlowWaiters {
    std::deque<Waiter> waiters;
    double served { 0 }; // Recent waiters of this flow.
    double passed { 0 }; // Recent waiters of other priorities and tenants, served while this flow waited.
};

// The waiters of one priority.
struct PriorityQueue {
    std::map<WaitFlow, FlowWaiters> flows; // Flows that have waiters.
    std::deque<WaitFlow> roundRobin; // The same flows, the next one first.
};

// Which priority is served next.
struct PriorityTurns {
    int mostUrgentInRow { 0 }; // Waiters of the most urgent priority served while less urgent ones waited.
    std::optional<int> lastLessUrgent;
};

// Waiters for the slots of one set of replicas. The most urgent priority is served first, but one in eight waiters is
// taken from the less urgent priorities in turn. Within a priority, flows are served round-robin; within a flow the
// earliest deadline is first, and equal deadlines are first in, first out. A retry therefore goes before first sends:
// its query is older.
struct WaitQueue {
    std::map<int, PriorityQueue> priorities; // Those that have waiters.
    PriorityTurns turns;
    PriorityTurns turnsBeforePop; // The turns before the last pop().
};

void push(WaitQueue&, Waiter);
// The next waiter that may use the server with the free slot and whose deadline is more than `needed` away. Waiters at
// the head of a flow that can't meet their deadline are dropped. An empty server id suits all waiters.
std::optional<Waiter> pop(
    WaitQueue&, Common::TimePoint now, Common::Milliseconds needed = {}, const Common::BackendServerId& server = {});
// Returns a waiter that could not be sent after pop(): it is the first of its priority again, and was not served.
void putBack(WaitQueue&, Waiter);
// Removes all waiters whose deadline is at most `needed` away.
std::vector<Waiter> takeLate(WaitQueue&, Common::TimePoint now, Common::Milliseconds needed = {});
// Moves the waiters' deadlines to the time that fn returns, if that is earlier. Returns the times that it returned.
std::set<Common::TimePoint> limitDeadlines(WaitQueue&, const std::function<Common::TimePoint(const Waiter&)>& fn);
// Returns whether the attempt was in the queue.
bool remove(WaitQueue&, Common::QueryId, Common::AttemptId, const Common::RouteName&, const CallerClass& = {});
size_t size(const WaitQueue&);
// The number of waiters that would be served before a new one of this route and class, including those that are
// expected to come later, as far as they are of other priorities or tenants.
size_t waitersAhead(const WaitQueue&, const Common::RouteName&, const CallerClass& = {});

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
