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

    // A bundle costs both instances and the network about as much as so many sub-requests cost a gatherer. The work of
    // a call is done best by as many bundles as the root of the groups over that, rounded down.
    constexpr double subRequestsOfABundle = 5.5;
    // Of the calls that reach an instance after it was heard, those that it loses by standing still are as many as
    // come in this time. A probe before the bundle costs a few milliseconds where calls are rarer.
    constexpr Common::Milliseconds lately { 150 };

    // The instance whose hash with the lane is the greatest, of those that own no earlier lane.
    const Roster::Peer* ownerOf(
        size_t lane, const std::vector<const Roster::Peer*>& candidates, const std::set<Address>& taken)
    {
        const Roster::Peer* best = nullptr;
        uint64_t most = 0;
        for (const Roster::Peer* peer : candidates) {
            uint64_t hash = Common::hash64(peer->address.value(), lane);
            if (taken.count(peer->address) || (best && hash <= most))
                continue;
            best = peer;
            most = hash;
        }
        return best;
    }

} // namespace

size_t laneCount(size_t groups)
{
    return std::max<size_t>(1, static_cast<size_t>(std::sqrt(static_cast<double>(groups) / subRequestsOfABundle)));
}

size_t laneOf(size_t place, size_t lanes) { return place % std::max<size_t>(lanes, 1); }

Gatherers chooseGatherers(
    const std::vector<Roster::Peer>& instances, const std::set<Common::FailureDomain>& domains, size_t lanes)
{
    Gatherers chosen;
    for (const Common::FailureDomain& domain : domains) {
        std::vector<const Roster::Peer*> candidates;
        for (const Roster::Peer& peer : instances) {
            if (peer.domain == domain)
                candidates.push_back(&peer);
        }
        std::set<Address> taken;
        for (size_t lane = 0; lane < std::min(lanes, candidates.size()); ++lane) {
            const Roster::Peer* owner = ownerOf(lane, candidates, taken);
            taken.insert(owner->address);
            chosen.owners[domain].push_back(*owner);
        }
    }
    return chosen;
}

void pause(GathererHealth& health, const Address& address, TimePoint until)
{
    health.known[address].pausedUntil = until;
}

void noteHeard(GathererHealth& health, const Address& address, TimePoint now) { health.known[address].heardAt = now; }

bool isHeardLately(const GathererHealth& health, const Address& address, TimePoint now)
{
    auto it = health.known.find(address);
    return it != health.known.end() && it->second.heardAt + lately > now;
}

std::optional<Address> pickGatherer(const Gatherers& gatherers, const Common::FailureDomain& domain, size_t lane,
    const Roster::Peer& self, const GathererHealth& health, TimePoint now)
{
    auto found = gatherers.owners.find(domain);
    if (found == gatherers.owners.end())
        return std::nullopt;
    const std::vector<Roster::Peer>& owners = found->second;
    for (size_t i = 0; i < owners.size(); ++i) {
        const Roster::Peer& owner = owners[(lane + i) % owners.size()];
        if (owner.address == self.address)
            return std::nullopt;
        auto it = health.known.find(owner.address);
        if (it == health.known.end() || it->second.pausedUntil <= now)
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

bool ownsLane(const Gatherers& gatherers, const Roster::Peer& peer, size_t lane)
{
    auto it = gatherers.owners.find(peer.domain);
    return it != gatherers.owners.end() && it->second[lane % it->second.size()].address == peer.address;
}

std::vector<Bundle> planBundles(const std::vector<std::vector<Common::FailureDomain>>& domainsOfGroups,
    const Common::FailureDomain& own, uint64_t turn)
{
    std::vector<size_t> left(domainsOfGroups.size());
    std::iota(left.begin(), left.end(), size_t { 0 });
    std::vector<Bundle> bundles;
    while (!left.empty()) {
        std::map<Common::FailureDomain, std::vector<size_t>> byDomain;
        for (size_t group : left) {
            // A group may have several servers in one domain.
            std::set<Common::FailureDomain> domains(domainsOfGroups[group].begin(), domainsOfGroups[group].end());
            for (const Common::FailureDomain& domain : domains)
                byDomain[domain].push_back(group);
        }
        if (byDomain.empty()) {
            if (bundles.empty())
                bundles.push_back({ own, {} });
            bundles.front().groups.insert(bundles.front().groups.end(), left.begin(), left.end());
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
        std::erase_if(left, [&](size_t group) { return taken.count(group) > 0; });
    }
    return bundles;
}

} // namespace Relay
