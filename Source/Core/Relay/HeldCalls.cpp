#include "Relay/HeldCalls.h"

#include <algorithm>

namespace Relay {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // Callers honour a Retry-After of up to a third of their remaining time, so enough is left for another attempt.
    constexpr double timeLeftShare = 1.0 / 3;
    // A refusal within this share of the objective costs the caller least.
    constexpr double objectiveShare = 1.0 / 4;

} // namespace

std::optional<HeldCallId> hold(HeldCalls& held, const HoldRequest& request, TimePoint arrived)
{
    const HoldLimits& limits = held.limits;
    if (held.calls.size() >= limits.calls || held.bytes + request.bytes > limits.bytes)
        return std::nullopt;
    Milliseconds wait = std::min(limits.longest, request.timeLeft.value_or(limits.assumedTimeLeft) * timeLeftShare);
    if (request.objective)
        wait = std::min(wait, *request.objective * objectiveShare);
    if (wait <= Milliseconds(0))
        return std::nullopt;
    HeldCallId id(held.nextId++);
    held.calls.emplace(id, HeldCall { request.bytes, arrived, arrived + wait });
    held.bytes += request.bytes;
    return id;
}

void limitWait(HeldCalls& held, HeldCallId id, Milliseconds objective)
{
    auto it = held.calls.find(id);
    if (it != held.calls.end())
        it->second.until = std::min(it->second.until, it->second.arrived + objective * objectiveShare);
}

std::vector<HeldCallId> takeOverdue(HeldCalls& held, TimePoint now)
{
    std::vector<HeldCallId> overdue;
    for (auto& [id, call] : held.calls) {
        if (call.until <= now)
            overdue.push_back(id);
    }
    for (HeldCallId id : overdue)
        remove(held, id);
    return overdue;
}

bool remove(HeldCalls& held, HeldCallId id)
{
    auto it = held.calls.find(id);
    if (it == held.calls.end())
        return false;
    held.bytes -= it->second.bytes;
    held.calls.erase(it);
    return true;
}

std::optional<TimePoint> nextOverdue(const HeldCalls& held)
{
    std::optional<TimePoint> next;
    for (auto& [id, call] : held.calls)
        next = next ? std::min(*next, call.until) : call.until;
    return next;
}

bool mayWaitForServers(const HoldLimits& limits, std::optional<TimePoint> tableKnownAt, TimePoint now)
{
    return tableKnownAt && now - *tableKnownAt < limits.rosterTime;
}

} // namespace Relay
