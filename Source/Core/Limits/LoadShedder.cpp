#include "Limits/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <vector>

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
    // Callers require that each kind and tenant is served at least a quarter as often as all. Other refusals come on
    // top.
    constexpr double minimumShareOfAll = 1.0 / 3;
    // A tenant with fewer recent calls is forgotten, about three minutes after its last one.
    constexpr double forgottenCalls = 0.02;

    double weightAfter(Common::Milliseconds time, Common::Milliseconds half = halfLife)
    {
        return std::exp2(-std::max(time.value(), 0.0) / half.value());
    }

    double admittedShareAt(const LoadShedder& shedder, Common::TimePoint now)
    {
        return 1 - (1 - shedder.admittedShare) * weightAfter(now - shedder.updatedAt);
    }

    double sumOf(const LoadShedder::CallsByTenant& calls)
    {
        double sum = 0;
        for (const auto& [tenant, count] : calls)
            sum += count;
        return sum;
    }

    // The share of a priority, if the most urgent priorities get what is left above the minimum of each.
    double shareOfPriority(const std::map<int, double>& calls, int priority, double all, double minimum)
    {
        double total = 0;
        for (const auto& [other, count] : calls)
            total += count;
        double left = (all - minimum) * total;
        for (const auto& [other, count] : calls) {
            double share = std::min(1.0, minimum + (count > 0 ? left / count : 1));
            if (other == priority)
                return share;
            left = std::max(0.0, left - (share - minimum) * count);
        }
        return minimum;
    }

    // The share of a tenant, if all tenants get the same number of calls above the minimum of each, as far as they
    // have so many.
    double shareOfTenant(const LoadShedder::CallsByTenant& calls, const std::optional<Common::TenantName>& tenant,
        double share, double minimum)
    {
        std::vector<double> counts;
        counts.reserve(calls.size());
        for (const auto& [other, count] : calls)
            counts.push_back(count);
        std::sort(counts.begin(), counts.end());
        double left = (share - minimum) * sumOf(calls);
        double each = 0;
        for (size_t i = 0; i < counts.size(); ++i) {
            each = left / static_cast<double>(counts.size() - i);
            if (counts[i] * (1 - minimum) > each)
                break;
            left -= counts[i] * (1 - minimum);
        }
        auto own = calls.find(tenant);
        if (own == calls.end() || own->second <= 0)
            return 1;
        return std::min(1.0, minimum + each / own->second);
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

void recordCall(LoadShedder& shedder, const CallerClass& caller, Common::TimePoint now)
{
    double weight = weightAfter(now - shedder.countedAt, mixHalfLife);
    shedder.countedAt = now;
    for (auto& [priority, calls] : shedder.calls) {
        for (auto& [tenant, count] : calls)
            count *= weight;
        std::erase_if(calls, [](const auto& pair) { return pair.second < forgottenCalls; });
    }
    std::erase_if(shedder.calls, [](const auto& pair) { return pair.second.empty(); });
    shedder.calls[caller.priority][caller.tenant] += 1;
}

double admittedShareOf(
    const LoadShedder& shedder, const CallerClass& caller, const std::set<int>& priorities, Common::TimePoint now)
{
    double all = admittedShareAt(shedder, now);
    std::map<int, double> calls;
    for (const auto& [priority, byTenant] : shedder.calls)
        calls[priority] = sumOf(byTenant);
    calls.try_emplace(caller.priority, 0);
    for (int priority : priorities)
        calls[priority] += assumedCalls;
    double minimum = all * minimumShareOfAll;
    double share = calls.size() > 1 ? shareOfPriority(calls, caller.priority, all, minimum) : all;
    auto own = shedder.calls.find(caller.priority);
    if (own == shedder.calls.end() || own->second.size() < 2)
        return share;
    return shareOfTenant(own->second, caller.tenant, share, minimum);
}

bool shouldAdmit(const LoadShedder& shedder, double chance, Common::TimePoint now, const CallerClass& caller,
    const std::set<int>& priorities)
{
    return chance < admittedShareOf(shedder, caller, priorities, now);
}

} // namespace Limits
