#include "Limits/ConnectionBudget.h"

#include "Common/Hash.h"

#include <algorithm>
#include <utility>

namespace Limits {

Common::Connections connectionShare(Common::Connections limit, size_t instances, size_t index)
{
    if (index >= instances)
        return {};
    auto n = static_cast<int64_t>(instances);
    return Common::Connections(limit.value() / n + (static_cast<int64_t>(index) < limit.value() % n ? 1 : 0));
}

std::vector<Common::InstanceId> owners(
    const Common::BackendServerId& server, const std::vector<Common::InstanceId>& instances, size_t k)
{
    uint64_t seed = Common::hash64(server.value());
    std::vector<std::pair<uint64_t, Common::InstanceId>> scores;
    scores.reserve(instances.size());
    for (const auto& instance : instances)
        scores.emplace_back(Common::hash64(instance.value(), seed), instance);
    std::sort(scores.begin(), scores.end(), std::greater<> {});
    scores.resize(std::min(k, scores.size()));
    std::vector<Common::InstanceId> best;
    best.reserve(scores.size());
    for (auto& [score, instance] : scores)
        best.push_back(std::move(instance));
    return best;
}

void setShare(ConnectionBudget& budget, Common::Connections connections, Common::TimePoint now)
{
    auto& shares = budget.shares;
    if (!shares.empty() && shares.back().connections == connections)
        return;
    // Start with a share of 0: an instance that joins waits for the settle time, like an instance whose share
    // increases.
    if (shares.empty())
        shares.push_back({ Common::Connections(0), now });
    shares.push_back({ connections, now });
    // Drop shares that were replaced more than the settle time ago.
    while (shares.size() > 1 && now - shares[1].since >= budget.settleTime)
        shares.erase(shares.begin());
}

Common::Connections allowed(const ConnectionBudget& budget, Common::TimePoint now)
{
    if (budget.shares.empty())
        return {};
    Common::Connections lowest = budget.shares.back().connections;
    for (size_t i = 0; i + 1 < budget.shares.size(); ++i) {
        bool isSettling = now - budget.shares[i + 1].since < budget.settleTime;
        if (isSettling)
            lowest = std::min(lowest, budget.shares[i].connections);
    }
    return lowest;
}

} // namespace Limits
