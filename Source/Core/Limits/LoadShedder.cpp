#include "Limits/LoadShedder.h"

#include <algorithm>
#include <cmath>

namespace Limits {

namespace {

    constexpr double averageWindow = 7; // Answers.
    constexpr double overloadedLateShare = 0.3; // Above it the admitted share falls.
    constexpr double recoveredLateShare = 0.15; // Below it the admitted share rises.
    constexpr double decreasePerAnswer = 0.03;
    constexpr double increasePerAnswer = 0.04;
    // Answers are also late for other reasons than load, and shedding does not help then.
    constexpr double minimumAdmittedShare = 0.6;
    // Without answers, what is known of the load halves in this time.
    constexpr Common::Milliseconds halfLife { 5'000 };

    // An instance gets about one call in two seconds, so the mix of priorities is counted over a longer time.
    constexpr Common::Milliseconds mixHalfLife { 30'000 };
    // Assumed for each priority that the routes name.
    constexpr double assumedCalls = 1;
    // Callers require that each kind is served at least a quarter as often as all. Other refusals come on top.
    constexpr double minimumShareOfAll = 1.0 / 3;

    double weightAfter(Common::Milliseconds time, Common::Milliseconds half = halfLife)
    {
        return std::exp2(-std::max(time.value(), 0.0) / half.value());
    }

    double admittedShareAt(const LoadShedder& shedder, Common::TimePoint now)
    {
        return 1 - (1 - shedder.admittedShare) * weightAfter(now - shedder.updatedAt);
    }

} // namespace

void recordAnswer(LoadShedder& shedder, bool isLate, Common::TimePoint now)
{
    shedder.admittedShare = admittedShareAt(shedder, now);
    shedder.lateShare *= weightAfter(now - shedder.updatedAt);
    shedder.updatedAt = now;
    shedder.lateShare += ((isLate ? 1 : 0) - shedder.lateShare) / averageWindow;
    if (shedder.lateShare > overloadedLateShare)
        shedder.admittedShare = std::max(minimumAdmittedShare, shedder.admittedShare - decreasePerAnswer);
    else if (shedder.lateShare < recoveredLateShare)
        shedder.admittedShare = std::min(1.0, shedder.admittedShare + increasePerAnswer);
}

void recordCall(LoadShedder& shedder, int priority, Common::TimePoint now)
{
    double weight = weightAfter(now - shedder.countedAt, mixHalfLife);
    for (auto& [other, count] : shedder.calls)
        count *= weight;
    shedder.countedAt = now;
    shedder.calls[priority] += 1;
}

double admittedShareOf(const LoadShedder& shedder, int priority, const std::set<int>& priorities, Common::TimePoint now)
{
    double all = admittedShareAt(shedder, now);
    std::map<int, double> calls = shedder.calls;
    calls.try_emplace(priority, 0);
    for (int named : priorities)
        calls[named] += assumedCalls;
    double total = 0;
    for (const auto& [other, count] : calls)
        total += count;
    if (calls.size() == 1 || total <= 0)
        return all;
    // Each priority has its minimum; what is left goes to the most urgent ones first.
    double minimum = all * minimumShareOfAll;
    double left = (all - minimum) * total;
    for (const auto& [other, count] : calls) {
        double extra = count > 0 ? std::min(1 - minimum, left / count) : left > 0 ? 1 - minimum : 0;
        if (other == priority)
            return minimum + extra;
        left = std::max(0.0, left - extra * count);
    }
    return minimum;
}

bool shouldAdmit(
    const LoadShedder& shedder, double chance, Common::TimePoint now, int priority, const std::set<int>& priorities)
{
    return chance < admittedShareOf(shedder, priority, priorities, now);
}

} // namespace Limits
