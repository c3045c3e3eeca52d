#pragma once

#include "Common/Clock.h"
#include "Roster/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

// Which instances ask the servers of a fan, for themselves and for the others. The groups of a fan are dealt to lanes,
// and each lane has one owner in each failure domain that has servers. So single answers do not cross between domains,
// one instance a domain sees all answers of a server, and the work of one call is spread. All instances that know the
// same choose the same.
namespace Relay {

// Owners of lanes by domain. A lane beyond the last one begins again with the first; a fan of fewer lanes uses the
// first ones.
struct Gatherers {
    std::map<Common::FailureDomain, std::vector<Roster::Peer>> owners;

    friend bool operator==(const Gatherers&, const Gatherers&) = default;
};

// How many lanes a fan of so many groups has.
size_t laneCount(size_t groups);
// Of a group, by its place in the fan.
size_t laneOf(size_t place, size_t lanes);

// Of the instances in these domains. Where one joins or leaves, few other lanes get another owner.
Gatherers chooseGatherers(
    const std::vector<Roster::Peer>& instances, const std::set<Common::FailureDomain>& domains, size_t lanes);

// What this instance knows of the gatherers that it asked.
struct GathererHealth {
    struct One {
        Common::TimePoint heardAt;
        Common::TimePoint pausedUntil; // It did not answer, and is left alone.
    };

    std::unordered_map<Common::Address, One> known;
};

void pause(GathererHealth&, const Common::Address&, Common::TimePoint until);
void noteHeard(GathererHealth&, const Common::Address&, Common::TimePoint now);
// Whether it answered so lately that it need not be probed before it gets a bundle.
bool isHeardLately(const GathererHealth&, const Common::Address&, Common::TimePoint now);

// Whom to ask for a lane in a domain: its owner, or that of the next lane if it is left alone. Nobody if that is `self`
// or no owner can be asked.
std::optional<Common::Address> pickGatherer(const Gatherers&, const Common::FailureDomain&, size_t lane,
    const Roster::Peer& self, const GathererHealth&, Common::TimePoint now);

bool isGatherer(const Gatherers&, const Roster::Peer&);
bool ownsLane(const Gatherers&, const Roster::Peer&, size_t lane);

// Groups, as places in the route's list, that are asked in one domain.
struct Bundle {
    Common::FailureDomain domain;
    std::vector<size_t> groups;
};

// Parts the groups by domains that have a server of each, as few as it takes: the own domain first, then the one that
// has most of what is left, with ties broken by `turn`. Groups without a server in any such domain go to the first.
std::vector<Bundle> planBundles(const std::vector<std::vector<Common::FailureDomain>>& domainsOfGroups,
    const Common::FailureDomain& own, uint64_t turn);

} // namespace Relay
