#include "Relay/EnginePrivate.h"

#include <algorithm>

namespace Relay {

namespace {

    // Of a held call in memory, beside its body and fields.
    constexpr int64_t heldOverheadBytes = 512;

    Common::Bytes sizeOf(const Call& call)
    {
        size_t size = call.target.size() + call.body.size();
        for (auto& [name, value] : call.fields)
            size += name.size() + value.size();
        return Common::Bytes(static_cast<int64_t>(size) + heldOverheadBytes);
    }

} // namespace

// Whether a call to this route should wait until its servers are known, which they are soon after the table.
bool Engine::Private::shouldWaitForServers(const Routes::Route& route, TimePoint now) const
{
    {
        std::lock_guard lock(viewMutex);
        if (!mayWaitForServers({}, tableKnownAt, now))
            return false;
    }
    if (route.fanOut)
        return unservedGroups(*route.fanOut) > allowedMissing(*route.fanOut, route.fanOut->groups.size());
    return std::any_of(route.weightedGroups.begin(), route.weightedGroups.end(),
        [&](const Routes::WeightedGroup& it) { return serversOf(it.group)->empty(); });
}

// Returns false, and leaves `done`, if the call can't be held.
bool Engine::Private::holdCall(
    const CallPtr& call, std::optional<Milliseconds> objective, TimePoint arrived, Done& done)
{
    HeldCallId id;
    {
        std::lock_guard lock(heldMutex);
        auto held = hold(heldCalls, { sizeOf(*call), call->timeLeft, objective }, arrived);
        if (!held)
            return false;
        id = *held;
        waitingCalls.emplace(id, WaitingCall { call, arrived, std::move(done) });
        ++pendingOperations;
        scheduleOverdueCheck();
    }
    if (call->caller) {
        call->caller->onDisconnect([weak = weak_from_this(), id] {
            if (auto self = weak.lock())
                self->dropHeld(id);
        });
    }
    // The table or the servers may have become known since the caller of this function checked.
    reviewHeldCalls();
    return true;
}

// Called with heldMutex held.
Engine::Private::WaitingCall Engine::Private::takeWaiting(HeldCallId id)
{
    auto node = waitingCalls.extract(id);
    --pendingOperations;
    return std::move(node.mapped());
}

void Engine::Private::dropHeld(HeldCallId id)
{
    Done done;
    {
        std::lock_guard lock(heldMutex);
        if (!remove(heldCalls, id))
            return;
        done = takeWaiting(id).done;
    }
    done(CallerGone {});
}

// Called with heldMutex held.
void Engine::Private::scheduleOverdueCheck()
{
    auto next = nextOverdue(heldCalls);
    if (!next || (overdueCheckAt && *overdueCheckAt <= *next))
        return;
    overdueCheckAt = next;
    timers.at(*next, [weak = weak_from_this(), due = *next] {
        auto self = weak.lock();
        if (!self)
            return;
        {
            std::lock_guard lock(self->heldMutex);
            if (self->overdueCheckAt == due)
                self->overdueCheckAt.reset();
        }
        self->reviewHeldCalls();
    });
}

// Admits the held calls whose table and servers are known, and those that may wait no longer. Without a table or
// without servers, the latter are refused.
void Engine::Private::reviewHeldCalls()
{
    std::vector<WaitingCall> ready;
    {
        std::lock_guard lock(heldMutex);
        if (waitingCalls.empty())
            return;
        auto now = Clock::now();
        Routes::TablePtr routes;
        {
            std::lock_guard viewLock(viewMutex);
            routes = table;
        }
        std::vector<HeldCallId> released;
        for (auto& [id, waiting] : waitingCalls) {
            if (isStopping()) {
                released.push_back(id);
                continue;
            }
            if (!routes)
                break;
            const Routes::Route* route = Routes::match(*routes, waiting.call->host, waiting.call->path);
            if (route && shouldWaitForServers(*route, now))
                limitWait(heldCalls, id, route->latencyObjective);
            else
                released.push_back(id);
        }
        for (HeldCallId id : released)
            remove(heldCalls, id);
        auto overdue = takeOverdue(heldCalls, now);
        released.insert(released.end(), overdue.begin(), overdue.end());
        std::sort(released.begin(), released.end());
        for (HeldCallId id : released)
            ready.push_back(takeWaiting(id));
        scheduleOverdueCheck();
    }
    for (WaitingCall& waiting : ready)
        admit(waiting.call, waiting.arrived, false, std::move(waiting.done));
}

} // namespace Relay
