#include "Limits/UsualTime.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;

namespace {

    constexpr size_t maximumRoutes = 16;
    constexpr double recentWindow = 12; // Answers.
    constexpr double longTermWindow = 400;
    // A sample counts as at most this multiple of the average.
    constexpr double recentBound = 4;
    // Lower, so that a second of overload does not make slow answers usual.
    constexpr double longTermBound = 1.5;
    constexpr size_t minimumAnswers = 3;

    void average(Milliseconds& value, Milliseconds sample, double bound, double window)
    {
        value += (std::min(sample, value * bound) - value) / window;
    }

    const UsualTimes::Entry* find(const UsualTimes& times, const Common::RouteName& route)
    {
        auto it = std::find_if(times.entries.begin(), times.entries.end(),
            [&](const UsualTimes::Entry& entry) { return entry.route == route; });
        return it == times.entries.end() || it->answers < minimumAnswers ? nullptr : &*it;
    }

} // namespace

void recordAnswer(UsualTimes& times, const Common::RouteName& route, Milliseconds took)
{
    auto it = std::find_if(times.entries.begin(), times.entries.end(),
        [&](const UsualTimes::Entry& entry) { return entry.route == route; });
    if (it == times.entries.end()) {
        if (times.entries.size() >= maximumRoutes)
            times.entries.erase(times.entries.begin());
        times.entries.push_back({ route, took, took, 1 });
        return;
    }
    ++it->answers;
    average(it->recent, took, recentBound, recentWindow);
    average(it->longTerm, took, longTermBound, std::min(static_cast<double>(it->answers), longTermWindow));
}

std::optional<Milliseconds> recentTime(const UsualTimes& times, const Common::RouteName& route)
{
    auto entry = find(times, route);
    return entry ? std::optional(entry->recent) : std::nullopt;
}

std::optional<Milliseconds> longTermTime(const UsualTimes& times, const Common::RouteName& route)
{
    auto entry = find(times, route);
    return entry ? std::optional(entry->longTerm) : std::nullopt;
}

std::optional<Milliseconds> medianTime(std::vector<Milliseconds> times)
{
    if (times.empty())
        return std::nullopt;
    auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

} // namespace Limits
