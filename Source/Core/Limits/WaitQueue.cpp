#include "Limits/WaitQueue.h"

#include <algorithm>
#include <utility>

using Common::Milliseconds;
using Common::TimePoint;

namespace Limits {

namespace {

    // Estimates are means; an answer needs the slowest of its shards.
    constexpr double estimateMargin = 1.25;

    bool mayUse(const Waiter& waiter, const Common::BackendServerId& server)
    {
        const auto& avoid = waiter.avoidServers;
        return std::find(avoid.begin(), avoid.end(), server) == avoid.end();
    }

    std::optional<Waiter> takeFirst(std::deque<Waiter>& line, const Common::BackendServerId& server)
    {
        auto it = std::find_if(line.begin(), line.end(), [&](const Waiter& w) { return mayUse(w, server); });
        if (it == line.end())
            return std::nullopt;
        std::optional<Waiter> waiter(std::move(*it));
        line.erase(it);
        return waiter;
    }

} // namespace

void push(WaitQueue& queue, Waiter waiter)
{
    auto& line = queue.routes[waiter.route];
    if (line.empty())
        queue.turns.push_back(waiter.route);
    auto it = std::upper_bound(line.begin(), line.end(), waiter.deadline,
        [](TimePoint deadline, const Waiter& w) { return deadline < w.deadline; });
    line.insert(it, std::move(waiter));
}

std::optional<Waiter> pop(WaitQueue& queue, TimePoint now, Milliseconds needed, const Common::BackendServerId& server)
{
    // Each route gets one look; one that has nothing for this server keeps its place behind the others.
    for (size_t n = queue.turns.size(); n > 0; --n) {
        Common::RouteName route = std::move(queue.turns.front());
        queue.turns.pop_front();
        auto it = queue.routes.find(route);
        auto& line = it->second;
        while (!line.empty() && line.front().deadline <= now + needed)
            line.pop_front();
        std::optional<Waiter> next = takeFirst(line, server);
        if (line.empty())
            queue.routes.erase(it);
        else
            queue.turns.push_back(std::move(route));
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
    auto& line = it->second;
    auto waiter = std::find_if(
        line.begin(), line.end(), [&](const Waiter& w) { return w.query == query && w.attempt == attempt; });
    if (waiter == line.end())
        return false;
    line.erase(waiter);
    if (line.empty()) {
        queue.routes.erase(it);
        std::erase(queue.turns, route);
    }
    return true;
}

size_t size(const WaitQueue& queue)
{
    size_t n = 0;
    for (const auto& [route, line] : queue.routes)
        n += line.size();
    return n;
}

size_t waitersAhead(const WaitQueue& queue, const Common::RouteName& route)
{
    auto own = queue.routes.find(route);
    size_t ownLength = own == queue.routes.end() ? 0 : own->second.size();
    size_t n = ownLength;
    // Each other route gets at most one turn for each turn of this one.
    for (const auto& [name, line] : queue.routes)
        if (name != route)
            n += std::min(line.size(), ownLength + 1);
    return n;
}

Milliseconds estimatedTime(const Backlog& backlog)
{
    if (backlog.slotFree)
        return backlog.serviceTime;
    // All slots are taken: those ahead, then this one, leave at the rate of the slots; then it runs.
    double slots = std::max(backlog.slots, 1e-3);
    double before = (static_cast<double>(backlog.waitersAhead) + 1) / slots;
    return backlog.serviceTime * (before + 1);
}

Common::Result<void> admit(const std::vector<Backlog>& backlogs, TimePoint deadline, TimePoint now)
{
    Milliseconds longest;
    for (const Backlog& backlog : backlogs)
        longest = std::max(longest, estimatedTime(backlog));
    if (now + longest * estimateMargin <= deadline)
        return Common::success();
    return Common::makeError(Common::Reason::Overloaded, "admit",
        "an answer would take about " + std::to_string(longest.value()) + " ms, the deadline is in "
            + std::to_string((deadline - now).value()) + " ms");
}

} // namespace Limits
