#include "Relay/Gatherers.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace Relay {

using Common::Address;
using Common::TimePoint;

namespace {

    // Processor time on a whole core.
    constexpr Common::Milliseconds subRequestCost { 0.08 };
    constexpr Common::Milliseconds bundleCost { 0.4 };
    // Share of the objective for the instances' processor time. The rest is for the servers and the network.
    constexpr double processorShareOfObjective = 0.25;
    // A gatherer that stalls is noticed soon after a bundle was sent to it, so only one that has been silent for long
    // is probed first.
    constexpr Common::Milliseconds trustWindow { 30'000 };

    // Rendezvous hashing: the instance with the greatest hash for the partition that owns no earlier partition.
    const Roster::Peer* ownerOf(
        size_t partition, const std::vector<const Roster::Peer*>& candidates, const std::set<Address>& taken)
    {
        const Roster::Peer* best = nullptr;
        uint64_t most = 0;
        for (const Roster::Peer* peer : candidates) {
            uint64_t hash = Common::hash64(peer->address.value(), partition);
            if (taken.count(peer->address) || (best && hash <= most))
                continue;
            best = peer;
            most = hash;
        }
        return best;
    }

} // namespace

size_t partitionCount(const WidthInputs& inputs)
{
    auto groups = static_cast<double>(inputs.groups);
    double fastest = std::max(1.0, std::floor(std::sqrt(groups * subRequestCost.value() / bundleCost.value())));
    Common::Milliseconds available = inputs.objective * processorShareOfObjective * inputs.processorShare;
    for (double n = 1; n < fastest; ++n) {
        if (bundleCost * n + subRequestCost * std::ceil(groups / n) <= available)
            return static_cast<size_t>(n);
    }
    return static_cast<size_t>(fastest);
}

std::map<Common::GroupName, size_t> partitionCounts(const Routes::Table& table, double processorShare)
{
    std::map<Common::GroupName, size_t> counts;
    for (const Routes::Route& route : table.routes) {
        if (!route.fanOut)
            continue;
        size_t& count = counts[route.fanOut->groups.front()];
        count
            = std::max(count, partitionCount({ route.fanOut->groups.size(), route.latencyObjective, processorShare }));
    }
    return counts;
}

size_t partitionOf(size_t place, size_t partitions) { return place % std::max<size_t>(partitions, 1); }

Gatherers chooseGatherers(
    const std::vector<Roster::Peer>& instances, const std::set<Common::FailureDomain>& domains, size_t partitions)
{
    Gatherers chosen;
    for (const Common::FailureDomain& domain : domains) {
        std::vector<const Roster::Peer*> candidates;
        for (const Roster::Peer& peer : instances) {
            if (peer.domain == domain)
                candidates.push_back(&peer);
        }
        std::set<Address> taken;
        for (size_t partition = 0; partition < std::min(partitions, candidates.size()); ++partition) {
            const Roster::Peer* owner = ownerOf(partition, candidates, taken);
            taken.insert(owner->address);
            chosen.owners[domain].push_back(*owner);
        }
    }
    return chosen;
}

void pause(GathererHealth& health, const Address& address, TimePoint until) { health.records[address] = { {}, until }; }

void markHeard(GathererHealth& health, const Address& address, TimePoint now) { health.records[address].heardAt = now; }

bool isTrusted(const GathererHealth& health, const Address& address, TimePoint now)
{
    auto it = health.records.find(address);
    bool wasHeard = it != health.records.end() && it->second.heardAt > TimePoint();
    return wasHeard && it->second.heardAt + trustWindow > now;
}

std::optional<Address> pickGatherer(const Gatherers& gatherers, const Common::FailureDomain& domain, size_t partition,
    const Roster::Peer& self, const GathererHealth& health, TimePoint now)
{
    auto found = gatherers.owners.find(domain);
    if (found == gatherers.owners.end())
        return std::nullopt;
    const std::vector<Roster::Peer>& owners = found->second;
    for (size_t i = 0; i < owners.size(); ++i) {
        const Roster::Peer& owner = owners[(partition + i) % owners.size()];
        if (owner.address == self.address)
            return std::nullopt;
        auto it = health.records.find(owner.address);
        if (it == health.records.end() || it->second.pausedUntil <= now)
            return owner.address;
    }
    return std::nullopt;
}

bool isGatherer(const Gatherers& gatherers, const Roster::Peer& peer)
{
    auto it = gatherers.owners.find(peer.domain);
    return it != gatherers.owners.end()
        && std::any_of(it->second.begin(), it->second.end(),
            [&](const Roster::Peer& owner) { return owner.address == peer.address; });
}

bool ownsPartition(const Gatherers& gatherers, const Roster::Peer& peer, size_t partition)
{
    auto it = gatherers.owners.find(peer.domain);
    return it != gatherers.owners.end() && it->second[partition % it->second.size()].address == peer.address;
}

std::optional<Address> keeperOf(const Gatherers& gatherers, const std::vector<Roster::Peer>& instances,
    std::optional<size_t> partition, const Common::BackendServerId& server, const Common::FailureDomain& domain)
{
    auto owners = gatherers.owners.find(domain);
    if (partition && owners != gatherers.owners.end() && !owners->second.empty())
        return owners->second[*partition % owners->second.size()].address;
    bool hasOwn = std::any_of(
        instances.begin(), instances.end(), [&](const Roster::Peer& peer) { return peer.domain == domain; });
    uint64_t seed = Common::hash64(server.value());
    std::optional<Address> best;
    uint64_t most = 0;
    for (const Roster::Peer& peer : instances) {
        uint64_t hash = Common::hash64(peer.address.value(), seed);
        if ((hasOwn && peer.domain != domain) || (best && hash <= most))
            continue;
        best = peer.address;
        most = hash;
    }
    return best;
}

std::vector<Bundle> planBundles(const std::vector<std::vector<Common::FailureDomain>>& domainsOfGroups,
    const Common::FailureDomain& own, uint64_t turn)
{
    std::vector<size_t> remaining(domainsOfGroups.size());
    std::iota(remaining.begin(), remaining.end(), size_t { 0 });
    std::vector<Bundle> bundles;
    while (!remaining.empty()) {
        std::map<Common::FailureDomain, std::vector<size_t>> byDomain;
        for (size_t group : remaining) {
            // A group may have several servers in one domain.
            std::set<Common::FailureDomain> domains(domainsOfGroups[group].begin(), domainsOfGroups[group].end());
            for (const Common::FailureDomain& domain : domains)
                byDomain[domain].push_back(group);
        }
        if (byDomain.empty()) {
            if (bundles.empty())
                bundles.push_back({ own, {} });
            bundles.front().groups.insert(bundles.front().groups.end(), remaining.begin(), remaining.end());
            break;
        }
        auto best = byDomain.find(own);
        if (!bundles.empty() || best == byDomain.end()) {
            size_t most = 0;
            for (auto& [domain, groups] : byDomain)
                most = std::max(most, groups.size());
            std::vector<decltype(best)> ties;
            for (auto it = byDomain.begin(); it != byDomain.end(); ++it) {
                if (it->second.size() == most)
                    ties.push_back(it);
            }
            best = ties[turn % ties.size()];
        }
        std::set<size_t> taken(best->second.begin(), best->second.end());
        bundles.push_back({ best->first, best->second });
        std::erase_if(remaining, [&](size_t group) { return taken.count(group) > 0; });
    }
    return bundles;
}

} // namespace Relay
