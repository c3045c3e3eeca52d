#include "Routing/Candidates.h"

#include <algorithm>

namespace Routing {

namespace {

    constexpr double jitter = 0.5; // Random share added to each cost, so that servers of similar cost share the load.
    constexpr double coldCostFactor = 2;
    constexpr double defaultLatency = 1; // Milliseconds.
    constexpr double minimumLimit = 0.05;

    struct Score {
        int tier { 0 };
        double cost { 0 };
        size_t index { 0 };
    };

    template <typename T> bool contains(const std::vector<T>& values, const T& value)
    {
        return std::find(values.begin(), values.end(), value) != values.end();
    }

    int tierOf(const Candidate& candidate, const Exclusions& exclusions)
    {
        bool full = static_cast<double>(candidate.inFlight) >= std::max(1.0, candidate.limit);
        int tier = candidate.paused || full ? 2 : 0;
        return tier + (contains(exclusions.domains, candidate.domain) ? 1 : 0);
    }

    double costOf(const Candidate& candidate, Common::Random& random)
    {
        double latency = candidate.latency.value() > 0 ? candidate.latency.value() : defaultLatency;
        double load = static_cast<double>(candidate.inFlight + 1) / std::max(candidate.limit, minimumLimit);
        return latency * load * (candidate.cold ? coldCostFactor : 1) * (1 + jitter * random.unit());
    }

} // namespace

std::vector<size_t> rank(const std::vector<Candidate>& candidates, const Exclusions& exclusions, Common::Random& random)
{
    std::vector<Score> scores;
    scores.reserve(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i)
        if (!contains(exclusions.servers, candidates[i].server))
            scores.push_back({ tierOf(candidates[i], exclusions), costOf(candidates[i], random), i });
    std::sort(scores.begin(), scores.end(),
        [](const Score& a, const Score& b) { return a.tier != b.tier ? a.tier < b.tier : a.cost < b.cost; });
    std::vector<size_t> order;
    order.reserve(scores.size());
    for (const Score& score : scores)
        order.push_back(score.index);
    return order;
}

} // namespace Routing
