#pragma once

#include "Common/Clock.h"
#include "Roster/Messages.h"
#include "Routes/Table.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

// Selects the instances that send the sub-requests of a fan-out, for themselves and for others. The groups of a fan-out
// are divided into partitions, and each partition has one owner in every failure domain with servers. So the answers of
// single servers do not cross domains, one instance per domain observes all answers of a server, and the work of one
// call is distributed. Instances with the same view choose the same owners.
namespace Relay {

// Partition owners by domain. Partitions beyond the last owner wrap around to the first; a fan-out with fewer
// partitions uses the first owners.
struct Gatherers {
    std::map<Common::FailureDomain, std::vector<Roster::Peer>> owners;

    friend bool operator==(const Gatherers&, const Gatherers&) = default;
};

// What decides over how many gatherers a call is spread. All instances must see the same values, so that they agree on
// the owners.
struct WidthInputs {
    size_t groups { 0 };
    Common::Milliseconds objective; // The route's latency objective.
    double processorShare { 1 }; // Of a core, of each instance.
};

// The number of partitions. Answers the load of many groups on instances with a small share of a core, where a call's
// time is the processor time of the busiest instance: the fewest gatherers with which that time fits the objective, at
// most those with which it is shortest.
size_t partitionCount(const WidthInputs&);
// The number of partitions of each fan-out, by its first group. Routes over the same groups use the number of the one
// that needs most: with different ones, several owners would send to a server, and none of them would see its load.
std::map<Common::GroupName, size_t> partitionCounts(const Routes::Table&, double processorShare);
// The partition of a group, by its index in the fan-out.
size_t partitionOf(size_t place, size_t partitions);

// Chooses owners among the instances in these domains. When an instance joins or leaves, few other partitions change
// their owner.
Gatherers chooseGatherers(
    const std::vector<Roster::Peer>& instances, const std::set<Common::FailureDomain>& domains, size_t partitions);

// What this instance has observed of the gatherers that it used.
struct GathererHealth {
    struct Record {
        Common::TimePoint heardAt;
        Common::TimePoint pausedUntil; // It did not answer, and is skipped until then.
    };

    std::unordered_map<Common::Address, Record> records;
};

void pause(GathererHealth&, const Common::Address&, Common::TimePoint until);
void markHeard(GathererHealth&, const Common::Address&, Common::TimePoint now);
// Whether it answered the last request, recently enough to receive a bundle without a probe.
bool isTrusted(const GathererHealth&, const Common::Address&, Common::TimePoint now);

// The gatherer for a partition in a domain: its owner, or the owner of the next partition if that one is paused. Empty
// if the gatherer is `self` or no owner is available.
std::optional<Common::Address> pickGatherer(const Gatherers&, const Common::FailureDomain&, size_t partition,
    const Roster::Peer& self, const GathererHealth&, Common::TimePoint now);

bool isGatherer(const Gatherers&, const Roster::Peer&);
bool ownsPartition(const Gatherers&, const Roster::Peer&, size_t partition);

// The instance that gives out the tokens of a server that names a rate: the owner of its partition, which sends most of
// the requests to it, or for groups that are not gathered the one that rendezvous hashing chooses in the server's
// domain. Empty if no instance is known.
std::optional<Common::Address> keeperOf(const Gatherers&, const std::vector<Roster::Peer>& instances,
    std::optional<size_t> partition, const Common::BackendServerId&, const Common::FailureDomain& domain);

// Groups that are gathered in one domain, as indexes in the route's FanOut::groups.
struct Bundle {
    Common::FailureDomain domain;
    std::vector<size_t> groups;
};

// Divides the groups into few bundles, each for a domain that has a server of each of its groups (greedy set cover):
// the own domain first, then the domain that covers most of the remaining groups. `turn` breaks ties. Groups without a
// server in any domain go into the first bundle.
std::vector<Bundle> planBundles(const std::vector<std::vector<Common::FailureDomain>>& domainsOfGroups,
    const Common::FailureDomain& own, uint64_t turn);

} // namespace Relay
