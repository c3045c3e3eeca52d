#include "Limits/WaitQueue.h"

#include <algorithm>
#include <utility>

using Common::Milliseconds;
using Common::TimePoint;

namespace Limits {

namespace {

    // Estimates are means, but an answer waits for the slowest of its shards.
    constexpr double estimateMargin = 1.25;

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

} // namespace

void push(WaitQueue& queue, Waiter waiter)
{
    auto& waiters = queue.routes[waiter.route];
    if (waiters.empty())
        queue.roundRobin.push_back(waiter.route);
    auto it = std::upper_bound(waiters.begin(), waiters.end(), waiter.deadline,
        [](TimePoint deadline, const Waiter& w) { return deadline < w.deadline; });
    waiters.insert(it, std::move(waiter));
}

std::optional<Waiter> pop(WaitQueue& queue, TimePoint now, Milliseconds needed, const Common::BackendServerId& server)
{
    // Each route is tried once. A route without a suitable waiter moves to the back as if it had been served.
    for (size_t n = queue.roundRobin.size(); n > 0; --n) {
        Common::RouteName route = std::move(queue.roundRobin.front());
        queue.roundRobin.pop_front();
        auto it = queue.routes.find(route);
        auto& waiters = it->second;
        while (!waiters.empty() && waiters.front().deadline <= now + needed)
            waiters.pop_front();
        std::optional<Waiter> next = takeFirst(waiters, server);
        if (waiters.empty())
            queue.routes.erase(it);
        else
            queue.roundRobin.push_back(std::move(route));
        if (next)
            return next;
    }
    return std::nullopt;
}

bool remove(WaitQueue& queue, Common::QueryId query, Common::AttemptId attempt, const Common::RouteName& route)
{
    auto it = queue.routes.find(route);
    if (it == queue.routes.end())
        return false;
    auto& waiters = it->second;
    auto waiter = std::find_if(
        waiters.begin(), waiters.end(), [&](const Waiter& w) { return w.query == query && w.attempt == attempt; });
    if (waiter == waiters.end())
        return false;
    waiters.erase(waiter);
    if (waiters.empty()) {
        queue.routes.erase(it);
        std::erase(queue.roundRobin, route);
    }
    return true;
}

size_t size(const WaitQueue& queue)
{
    size_t n = 0;
    for (const auto& [route, waiters] : queue.routes)
        n += waiters.size();
    return n;
}

size_t waitersAhead(const WaitQueue& queue, const Common::RouteName& route)
{
    auto own = queue.routes.find(route);
    size_t ownLength = own == queue.routes.end() ? 0 : own->second.size();
    size_t n = ownLength;
    // Round-robin: each other route is served at most once for each waiter of this route.
    for (const auto& [name, waiters] : queue.routes)
        if (name != route)
            n += std::min(waiters.size(), ownLength + 1);
    return n;
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
