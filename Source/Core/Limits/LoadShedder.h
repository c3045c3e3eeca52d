#pragma once

#include "Common/Clock.h"
#include "Limits/CallerClass.h"

#include <map>
#include <optional>
#include <set>

namespace Limits {

// Adaptive load shedding: the share of calls to admit, adjusted by the share of answers that came late. When servers
// are overloaded, all calls wait in queues and nearly all of them are late; admitting somewhat fewer keeps the admitted
// ones in time. Late answers of any caller lower the share of all calls; which calls are refused depends on their
// priority, and within a priority on the tenant. Plain data: the caller keeps it under a lock.
struct LoadShedder {
    using CallsByTenant = std::map<std::optional<Common::TenantName>, double>;

    double lateShare { 0 }; // Of the answers; a moving average.
    double admittedShare { 1 }; // Of the calls, at updatedAt.
    Common::TimePoint updatedAt; // Of the last answer.
    std::map<int, CallsByTenant> calls; // Recent calls by priority, at countedAt. Older ones count less.
    Common::TimePoint countedAt;
};

void recordAnswer(LoadShedder&, bool isLate, Common::TimePoint now);
// Counts a call before it is admitted or refused.
void recordCall(LoadShedder&, const CallerClass&, Common::TimePoint now);
// The share of the calls of this class to admit. The shares of all priorities add up to the admitted share of all
// calls, and the least urgent ones are refused first. Within a priority, the tenants with most calls are refused first.
// No share falls below a third of that of all. `priorities` are those of the routes over the same groups.
double admittedShareOf(const LoadShedder&, const CallerClass&, const std::set<int>& priorities, Common::TimePoint now);
// Whether to admit a call. `chance` is a random number in [0, 1). What answers have shown counts less with time, since
// without calls there are none to correct it.
bool shouldAdmit(const LoadShedder&, double chance, Common::TimePoint now, const CallerClass& = {},
    const std::set<int>& priorities = {});

} // namespace Limits
