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

    // The instances of one domain, in an order that a joining or leaving instance does not change for the others.
    std::vector<Roster::Peer> ofDomain(const std::vector<Roster::Peer>& instances, const Common::FailureDomain& domain)
    {
        std::vector<Roster::Peer> found;
        for (const Roster::Peer& peer : instances) {
            if (peer.domain == domain)
                found.push_back(peer);
        }
        std::sort(found.begin(), found.end(), [](const Roster::Peer& a, const Roster::Peer& b) {
            return Common::hash64(a.address.value()) < Common::hash64(b.address.value());
        });
        return found;
    }

} // namespace

Gatherers chooseGatherers(const std::vector<Roster::Peer>& instances,
    const std::map<Common::FailureDomain, size_t>& serversByDomain, size_t maximum)
{
    size_t servers = 0;
    for (auto& [domain, count] : serversByDomain)
        servers += count;
    Gatherers chosen;
    for (auto& [domain, count] : serversByDomain) {
        auto candidates = ofDomain(instances, domain);
        double quota = std::floor(static_cast<double>(maximum * count) / static_cast<double>(servers));
        size_t taken = std::min(candidates.size(), std::max<size_t>(1, static_cast<size_t>(quota)));
        chosen.insert(chosen.end(), candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken));
    }
    return chosen;
}

void pause(GathererPauses& pauses, const Address& address, TimePoint until) { pauses.until[address] = until; }

std::optional<Address> pickGatherer(const Gatherers& gatherers, const Common::FailureDomain& domain,
    const Roster::Peer& self, const GathererPauses& pauses, Common::Random& random, TimePoint now)
{
    std::vector<const Roster::Peer*> found;
    for (const Roster::Peer& peer : gatherers) {
        if (peer.domain != domain)
            continue;
        if (peer.address == self.address)
            return std::nullopt;
        auto it = pauses.until.find(peer.address);
        if (it == pauses.until.end() || it->second <= now)
            found.push_back(&peer);
    }
    if (found.empty())
        return std::nullopt;
    return found[random.below(found.size())]->address;
}

bool isGatherer(const Gatherers& gatherers, const Address& address)
{
    return std::any_of(
        gatherers.begin(), gatherers.end(), [&](const Roster::Peer& peer) { return peer.address == address; });
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
