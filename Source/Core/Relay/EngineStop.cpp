#include "Relay/EnginePrivate.h"

#include <algorithm>

// Ends the calls of an instance that stops.
namespace Relay {

namespace {

    // Bundles that end at the stop are delivered by several threads. Their calls must not be ended before them.
    constexpr Milliseconds bundleEndTime { 50 };

} // namespace

// Refuses a call that can't be answered before the stop. Another instance can serve it.
bool Engine::Private::refuseIfStopping(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route* route, const Done& done)
{
    if (!isStopping())
        return false;
    Milliseconds needed = route ? serviceTimeOf(route->name) : Milliseconds(0);
    if (route && Clock::now() + needed < stopAt.load())
        return false;
    refuse(call, routes, Reason::Unavailable, stoppingText, refusedRetryAfter, done);
    return true;
}

void Engine::Private::stopBy(TimePoint when)
{
    stopAt = when;
    reviewHeldCalls();
    std::vector<std::pair<QueryId, ActiveCallPtr>> open;
    queries.forEach([&](const QueryId& id, ActiveCallPtr& active) { open.emplace_back(id, active); });
    for (auto& [id, active] : open)
        step(active, id, [&](Query& query) { return Relay::stopBy(query, when, Clock::now()); });
    limitWaiters(when);
    timers.at(when, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->endOpenQueries();
    });
    timers.at(when + bundleEndTime, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->endOpenGatherings();
    });
}

// Lets the queued requests wait only as long as they can still be answered.
void Engine::Private::limitWaiters(TimePoint when)
{
    std::vector<std::pair<GroupName, TimePoint>> checks;
    groups.forEach([&](const GroupName& group, GroupState& state) {
        auto times = Limits::limitDeadlines(
            state.waiting, [&](const Limits::Waiter& waiter) { return when - serviceTimeOf(waiter.route); });
        for (TimePoint time : times)
            checks.emplace_back(group, time);
    });
    for (auto& [group, time] : checks) {
        timers.at(time, [weak = weak_from_this(), group = group] {
            if (auto self = weak.lock())
                self->refuseLateWaiters(group);
        });
    }
}

// Ends the bundles that are gathered here, which answer the calls that they belong to.
void Engine::Private::endOpenQueries()
{
    std::vector<std::pair<QueryId, ActiveCallPtr>> open;
    queries.forEach([&](const QueryId& id, ActiveCallPtr& active) { open.emplace_back(id, active); });
    for (auto& [id, active] : open)
        step(active, id, [](Query& query) { return wake(query, Clock::now()); });
    for (const GatheringPtr& gathering : openGatherings()) {
        AssemblyStep step;
        {
            std::lock_guard lock(gathering->mutex);
            step = objectivePassed(gathering->assembly);
        }
        if (step.answer)
            countStopped(*step.answer);
        take(gathering, std::move(step));
    }
}

void Engine::Private::endOpenGatherings()
{
    for (const GatheringPtr& gathering : openGatherings()) {
        Answer answer
            = Refusal { Common::makeError(Reason::Unavailable, "gather", stoppingText), false, Milliseconds(0) };
        countStopped(answer);
        endGathering(gathering, std::move(answer));
    }
}

std::vector<GatheringPtr> Engine::Private::openGatherings()
{
    std::vector<GatheringPtr> open;
    gatherings.forEach([&](const GatheringId&, std::weak_ptr<Gathering>& weak) {
        if (auto gathering = weak.lock())
            open.push_back(std::move(gathering));
    });
    return open;
}

void Engine::Private::countStopped(const Answer& answer)
{
    auto refusal = std::get_if<Refusal>(&answer);
    metrics.count(Counter::StoppedCalls, !refusal ? "answered" : refusal->hasNotRun ? "not-run" : "unknown");
}

void Engine::stopBy(TimePoint when) { m_private->stopBy(when); }

} // namespace Relay
