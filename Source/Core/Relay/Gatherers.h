#pragma once

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Roster/Messages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

// Which instances ask the servers of a fan, for themselves and for the others: those in the servers' own failure
// domains, so that single answers do not cross between domains, and so few that each may hold some connections to every
// server. All instances that know the same choose the same.
namespace Relay {

using Gatherers = std::vector<Roster::Peer>;

// At most `maximum` of the instances, spread over the domains as the servers are.
Gatherers chooseGatherers(const std::vector<Roster::Peer>& instances,
    const std::map<Common::FailureDomain, size_t>& serversByDomain, size_t maximum);

// Gatherers that did not answer are left alone for a while.
struct GathererPauses {
    std::unordered_map<Common::Address, Common::TimePoint> until;
};

void pause(GathererPauses&, const Common::Address&, Common::TimePoint until);

// Which gatherer of a domain to ask; nobody if `self` is one of them, or none can be asked.
std::optional<Common::Address> pickGatherer(const Gatherers&, const Common::FailureDomain&, const Roster::Peer& self,
    const GathererPauses&, Common::Random&, Common::TimePoint now);

bool isGatherer(const Gatherers&, const Common::Address&);

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
