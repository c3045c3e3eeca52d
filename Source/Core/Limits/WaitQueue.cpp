#include "Limits/WaitQueue.h"

#include <algorithm>
#include <utility>

using Common::Milliseconds;
using Common::TimePoint;

namespace Limits {

namespace {

    // Estimates are means, but an answer waits for the slowest of its shards.
    constexpr double estimateMargin = 1.25;

    // Of the served waiters, one in this many is of a less urgent priority, if any waits.
    constexpr int lessUrgentInterval = 8;
    // Of served waiters, from which the share of a flow is known.
    constexpr double servedWindow = 64;
    constexpr double minimumServed = 8;

    WaitFlow flowOf(const Common::RouteName& route, const CallerClass& caller)
    {
        return caller.tenant ? WaitFlow { caller.tenant, {} } : WaitFlow { std::nullopt, route };
    }

    bool mayUse(const Waiter& waiter, const Common::BackendServerId& server)
    {
        const auto& avoid = waiter.avoidServers;
        return std::find(avoid.begin(), avoid.end(), server) == avoid.end();
    }

    std::optional<Waiter> takeFirst(std::deque<Waiter>& waiters, const Common::BackendServerId& server)
    {
        auto it = std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& w) { return mayUse(w, server); });
        if (it == waiters.end())
            return std::nullopt;
        std::optional<Waiter> waiter(std::move(*it));
        waiters.erase(it);
        return waiter;
    }

    std::optional<Waiter> popFrom(
        PriorityQueue& queue, TimePoint now, Milliseconds needed, const Common::BackendServerId& server)
    {
        // Each flow is tried once. A flow without a suitable waiter moves to the back as if it had been served.
        for (size_t n = queue.roundRobin.size(); n > 0; --n) {
            WaitFlow flow = std::move(queue.roundRobin.front());
            queue.roundRobin.pop_front();
            auto it = queue.flows.find(flow);
            auto& waiters = it->second.waiters;
            while (!waiters.empty() && waiters.front().deadline <= now + needed)
                waiters.pop_front();
            std::optional<Waiter> next = takeFirst(waiters, server);
            if (waiters.empty())
                queue.flows.erase(it);
            else
                queue.roundRobin.push_back(std::move(flow));
            if (next)
                return next;
        }
        return std::nullopt;
    }

    // The priorities that have waiters, in the order in which they are tried.
    std::vector<int> orderOf(const WaitQueue& queue)
    {
        std::vector<int> order;
        order.reserve(queue.priorities.size());
        for (const auto& [priority, waiters] : queue.priorities)
            order.push_back(priority);
        bool isTurnOfOthers = queue.turns.mostUrgentInRow + 1 >= lessUrgentInterval && order.size() > 1;
        if (!isTurnOfOthers)
            return order;
        // The less urgent ones in turn, then the most urgent one.
        auto next = queue.turns.lastLessUrgent
            ? std::upper_bound(order.begin() + 1, order.end(), *queue.turns.lastLessUrgent)
            : order.begin() + 1;
        std::rotate(order.begin() + 1, next, order.end());
        std::rotate(order.begin(), order.begin() + 1, order.end());
        return order;
    }

    size_t sizeOf(const PriorityQueue& queue)
    {
        size_t n = 0;
        for (const auto& [flow, own] : queue.flows)
            n += own.waiters.size();
        return n;
    }

    // Counts a served waiter, or one that is put back (step -1), for all flows that wait.
    void countServed(WaitQueue& queue, const Waiter& waiter, double step)
    {
        WaitFlow served = flowOf(waiter.route, waiter.caller);
        for (auto& [priority, waiting] : queue.priorities) {
            bool isSamePriority = priority == waiter.caller.priority;
            for (auto& [flow, own] : waiting.flows) {
                if (isSamePriority && flow == served)
                    own.served = std::max(0.0, own.served + step);
                else if (!isSamePriority || flow.tenant || served.tenant)
                    own.passed = std::max(0.0, own.passed + step);
                if (own.served + own.passed > servedWindow) {
                    own.served /= 2;
                    own.passed /= 2;
                }
            }
        }
    }

    // How many waiters are served until one that is last in its flow, as far as the flow's share is known.
    size_t servedUntilLast(const FlowWaiters& own)
    {
        if (own.served < minimumServed)
            return own.waiters.size();
        return static_cast<size_t>(static_cast<double>(own.waiters.size()) * (own.served + own.passed) / own.served);
    }

    size_t aheadWithin(const PriorityQueue& queue, const WaitFlow& own)
    {
        auto it = queue.flows.find(own);
        size_t ownLength = it == queue.flows.end() ? 0 : it->second.waiters.size();
        size_t n = ownLength;
        // Round-robin: each other flow is served at most once for each waiter of this flow.
        for (const auto& [flow, other] : queue.flows)
            if (flow != own)
                n += std::min(other.waiters.size(), ownLength + 1);
        return n;
    }

} // namespace

void push(WaitQueue& queue, Waiter waiter)
{
    auto& [flows, roundRobin] = queue.priorities[waiter.caller.priority];
    WaitFlow flow = flowOf(waiter.route, waiter.caller);
    auto& waiters = flows[flow].waiters;
    if (waiters.empty())
        roundRobin.push_back(std::move(flow));
    auto it = std::upper_bound(waiters.begin(), waiters.end(), waiter.deadline,
        [](TimePoint deadline, const Waiter& w) { return deadline < w.deadline; });
    waiters.insert(it, std::move(waiter));
}

std::optional<Waiter> pop(WaitQueue& queue, TimePoint now, Milliseconds needed, const Common::BackendServerId& server)
{
    queue.turnsBeforePop = queue.turns;
    std::vector<int> order = orderOf(queue);
    bool othersWait = order.size() > 1;
    int mostUrgent = order.empty() ? 0 : *std::min_element(order.begin(), order.end());
    for (int priority : order) {
        auto it = queue.priorities.find(priority);
        std::optional<Waiter> next = popFrom(it->second, now, needed, server);
        if (it->second.flows.empty())
            queue.priorities.erase(it);
        if (!next)
            continue;
        bool isMostUrgent = priority == mostUrgent;
        if (!isMostUrgent)
            queue.turns.lastLessUrgent = priority;
        queue.turns.mostUrgentInRow
            = isMostUrgent && othersWait ? std::min(queue.turns.mostUrgentInRow + 1, lessUrgentInterval) : 0;
        countServed(queue, *next, 1);
        return next;
    }
    return std::nullopt;
}

void putBack(WaitQueue& queue, Waiter waiter)
{
    queue.turns = queue.turnsBeforePop;
    countServed(queue, waiter, -1);
    auto& [flows, roundRobin] = queue.priorities[waiter.caller.priority];
    WaitFlow flow = flowOf(waiter.route, waiter.caller);
    auto& waiters = flows[flow].waiters;
    std::erase(roundRobin, flow);
    roundRobin.push_front(std::move(flow));
    auto it = std::lower_bound(waiters.begin(), waiters.end(), waiter.deadline,
        [](const Waiter& w, TimePoint deadline) { return w.deadline < deadline; });
    waiters.insert(it, std::move(waiter));
}

std::vector<Waiter> takeLate(WaitQueue& queue, TimePoint now, Milliseconds needed)
{
    std::vector<Waiter> late;
    for (auto& [priority, waiting] : queue.priorities) {
        for (auto& [flow, own] : waiting.flows) {
            auto& waiters = own.waiters;
            while (!waiters.empty() && waiters.front().deadline <= now + needed) {
                late.push_back(std::move(waiters.front()));
                waiters.pop_front();
            }
            if (waiters.empty())
                std::erase(waiting.roundRobin, flow);
        }
        std::erase_if(waiting.flows, [](const auto& pair) { return pair.second.waiters.empty(); });
    }
    std::erase_if(queue.priorities, [](const auto& pair) { return pair.second.flows.empty(); });
    return late;
}

std::set<TimePoint> limitDeadlines(WaitQueue& queue, const std::function<TimePoint(const Waiter&)>& fn)
{
    std::set<TimePoint> limits;
    for (auto& [priority, waiting] : queue.priorities) {
        for (auto& [flow, own] : waiting.flows) {
            for (Waiter& waiter : own.waiters) {
                TimePoint limit = fn(waiter);
                limits.insert(limit);
                waiter.deadline = std::min(waiter.deadline, limit);
            }
            std::stable_sort(own.waiters.begin(), own.waiters.end(),
                [](const Waiter& a, const Waiter& b) { return a.deadline < b.deadline; });
        }
    }
    return limits;
}

bool remove(WaitQueue& queue, Common::QueryId query, Common::AttemptId attempt, const Common::RouteName& route,
    const CallerClass& caller)
{
    auto priority = queue.priorities.find(caller.priority);
    if (priority == queue.priorities.end())
        return false;
    auto& [flows, roundRobin] = priority->second;
    WaitFlow flow = flowOf(route, caller);
    auto it = flows.find(flow);
    if (it == flows.end())
        return false;
    auto& waiters = it->second.waiters;
    auto waiter = std::find_if(
        waiters.begin(), waiters.end(), [&](const Waiter& w) { return w.query == query && w.attempt == attempt; });
    if (waiter == waiters.end())
        return false;
    waiters.erase(waiter);
    if (!waiters.empty())
        return true;
    flows.erase(it);
    std::erase(roundRobin, flow);
    if (flows.empty())
        queue.priorities.erase(priority);
    return true;
}

size_t size(const WaitQueue& queue)
{
    size_t n = 0;
    for (const auto& [priority, waiting] : queue.priorities)
        n += sizeOf(waiting);
    return n;
}

size_t waitersAhead(const WaitQueue& queue, const Common::RouteName& route, const CallerClass& caller)
{
    size_t moreUrgent = 0;
    size_t own = 0;
    size_t expected = 0; // From the rate at which the flow has been served.
    size_t lessUrgent = 0;
    size_t otherPriorities = 0; // Except the most urgent one.
    for (const auto& [priority, waiting] : queue.priorities) {
        if (priority == caller.priority) {
            WaitFlow flow = flowOf(route, caller);
            own = aheadWithin(waiting, flow);
            if (auto it = waiting.flows.find(flow); it != waiting.flows.end())
                expected = servedUntilLast(it->second);
            continue;
        }
        (priority < caller.priority ? moreUrgent : lessUrgent) += sizeOf(waiting);
        otherPriorities += priority == queue.priorities.begin()->first ? 0 : 1;
    }
    if (moreUrgent) {
        // At the latest, each waiter of this priority is served in its turn among the less urgent ones.
        size_t turnLength = static_cast<size_t>(lessUrgentInterval) * (otherPriorities + 1);
        size_t before = std::min(moreUrgent + lessUrgent / lessUrgentInterval, (turnLength - 1) * (own + 1));
        return std::max(own + before, expected);
    }
    return std::max(own + std::min(lessUrgent, (own + 1) / (lessUrgentInterval - 1)), expected);
}

Milliseconds estimatedTime(const Backlog& backlog)
{
    if (backlog.slotFree)
        return backlog.serviceTime;
    // All slots are taken: the waiters ahead and this request get a slot at the rate at which slots become free. Then
    // the request runs.
    double slots = std::max(backlog.slots, 1e-3);
    double serviceTimesUntilSlot = (static_cast<double>(backlog.waitersAhead) + 1) / slots;
    return backlog.serviceTime * (serviceTimesUntilSlot + 1);
}

Common::Result<void> admit(const std::vector<Backlog>& backlogs, TimePoint deadline, TimePoint now)
{
    Milliseconds longest;
    for (const Backlog& backlog : backlogs)
        longest = std::max(longest, estimatedTime(backlog));
    if (now + longest * estimateMargin <= deadline)
        return Common::success();
    return Common::makeError(Common::Reason::Overloaded, "admit",
        "the estimated time to answer is " + std::to_string(longest.value()) + " ms, but the deadline is in "
            + std::to_string((deadline - now).value()) + " ms");
}

} // namespace Limits
