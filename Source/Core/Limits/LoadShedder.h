#pragma once

#include "Common/Clock.h"

#include <map>
#include <set>

namespace Limits {

// Adaptive load shedding: the share of calls to admit, adjusted by the share of answers that came late. When servers
// are overloaded, all calls wait in queues and nearly all of them are late; admitting somewhat fewer keeps the admitted
// ones in time. Late answers of any priority lower the share of all calls; which calls are refused depends on their
// priority. Plain data: the caller keeps it under a lock.
struct LoadShedder {
    double lateShare { 0 }; // Of the answers; a moving average.
    double admittedShare { 1 }; // Of the calls, at updatedAt.
    Common::TimePoint updatedAt; // Of the last answer.
    std::map<int, double> calls; // By priority: the number of recent calls, at countedAt.
    Common::TimePoint countedAt;
};

void recordAnswer(LoadShedder&, bool isLate, Common::TimePoint now);
// Counts a call before it is admitted or refused.
void recordCall(LoadShedder&, int priority, Common::TimePoint now);
// The share of the calls of this priority to admit. The shares of all priorities add up to the admitted share of all
// calls; the least urgent ones are refused first, and no share falls below a third of that of all. `priorities` are
// those of the routes over the same groups.
double admittedShareOf(const LoadShedder&, int priority, const std::set<int>& priorities, Common::TimePoint now);
// Whether to admit a call. `chance` is a random number in [0, 1). What answers have shown counts less with time, since
// without calls there are none to correct it.
bool shouldAdmit(
    const LoadShedder&, double chance, Common::TimePoint now, int priority = 0, const std::set<int>& priorities = {});

} // namespace Limits
