#include "Relay/EnginePrivate.h"

#include <algorithm>
#include <map>

namespace Relay {

namespace {

    // Before the control instances have told how many there are.
    constexpr size_t unknownInstances = 16;
    // Connections of this instance to one server, however many it accepts.
    constexpr int64_t maximumConnections = 8;
    // Of what a server accepts: while its queue is long it accepts fewer, and those that were closed count for a while.
    constexpr double usedConnections = 0.8;
    // The owners of a group and those that stand in for one of them each may hold the same number of connections.
    constexpr size_t standInFactor = 2;
    // Of the minimum of repeats each owner gets such a part that one of them may be replaced within the window.
    constexpr size_t replacedOwners = 1;
    // An instance that does not gather does so only when those that do are lost: its part in the minimum of repeats
    // is that much smaller.
    constexpr size_t fallbackFactor = 5;

} // namespace

std::shared_ptr<const std::vector<Roster::EligibleServer>> Engine::Private::serversOf(const GroupName& group) const
{
    static const auto none = std::make_shared<const std::vector<Roster::EligibleServer>>();
    std::shared_ptr<const ServersByGroup> now;
    {
        std::lock_guard lock(viewMutex);
        now = servers;
    }
    auto it = now->find(group);
    return it == now->end() ? none : std::shared_ptr<const std::vector<Roster::EligibleServer>>(now, &it->second);
}

// Instances that send to the servers of a group.
size_t Engine::Private::sharersOf(const GroupName& group) const
{
    std::lock_guard lock(viewMutex);
    if (instances.empty())
        return unknownInstances;
    bool isGathered = !gatherers.owners.empty() && fanGroups.count(group);
    if (!isGathered)
        return instances.size();
    return isGatherer(gatherers, options.self) ? gatherers.owners.size() * standInFactor
                                               : unknownInstances * fallbackFactor;
}

size_t Engine::Private::repeatSharersOf(const GroupName& group) const
{
    std::lock_guard lock(viewMutex);
    size_t known = std::max(instances.size(), unknownInstances);
    if (gatherers.owners.empty() || !fanGroups.count(group))
        return instances.empty() ? unknownInstances : instances.size();
    return ownGroups.count(group) ? gatherers.owners.size() + replacedOwners : known * fallbackFactor;
}

Connections Engine::Private::connectionsOf(const Routes::Table& routes, const GroupName& name) const
{
    const Routes::Group* group = Routes::findGroup(routes, name);
    double limit = group ? static_cast<double>(group->connectionLimit.value()) * usedConnections : 1;
    auto share = static_cast<int64_t>(limit / static_cast<double>(sharersOf(name)));
    return Connections(std::clamp<int64_t>(share, 1, maximumConnections));
}

// Called with viewMutex held, when something that the choice rests on has changed.
void Engine::Private::chooseAgain()
{
    fanGroups.clear();
    ownGroups.clear();
    std::set<Common::FailureDomain> domains;
    size_t lanes = 0;
    auto forEachFan = [&](const auto& fn) {
        for (const Routes::Route& route : table ? table->routes : std::vector<Routes::Route>()) {
            if (route.fan)
                fn(*route.fan);
        }
    };
    forEachFan([&](const Routes::Fan& fan) {
        lanes = std::max(lanes, laneCount(fan.groups.size()));
        for (const GroupName& name : fan.groups) {
            auto it = fanGroups.insert(name).second ? servers->find(name) : servers->end();
            if (it == servers->end())
                continue;
            for (const Roster::EligibleServer& server : it->second)
                domains.insert(server.domain);
        }
    });
    gatherers = chooseGatherers(instances, domains, lanes);
    forEachFan([&](const Routes::Fan& fan) {
        size_t count = laneCount(fan.groups.size());
        for (size_t i = 0; i < fan.groups.size(); ++i) {
            if (ownsLane(gatherers, options.self, laneOf(i, count)))
                ownGroups.insert(fan.groups[i]);
        }
    });
}

// The groups of each bundle, by whom to ask for them.
std::vector<AskedBundle> Engine::Private::askedBundlesOf(const Routes::Fan& fan, TimePoint now)
{
    size_t lanes = laneCount(fan.groups.size());
    std::vector<AskedBundle> asked;
    for (const Bundle& bundle : bundlesOf(fan)) {
        std::map<std::optional<Common::Address>, std::vector<size_t>> byGatherer;
        {
            std::lock_guard lock(viewMutex);
            for (size_t place : bundle.groups) {
                byGatherer[pickGatherer(gatherers, bundle.domain, laneOf(place, lanes), options.self, health, now)]
                    .push_back(place);
            }
        }
        for (auto& [gatherer, places] : byGatherer)
            asked.push_back({ nextBundle++, std::move(places), gatherer });
    }
    return asked;
}

std::vector<Bundle> Engine::Private::bundlesOf(const Routes::Fan& fan)
{
    std::shared_ptr<const ServersByGroup> view;
    std::set<Common::FailureDomain> served;
    {
        std::lock_guard lock(viewMutex);
        view = servers;
        for (auto& [domain, owners] : gatherers.owners)
            served.insert(domain);
    }
    std::vector<std::vector<Common::FailureDomain>> domains(fan.groups.size());
    for (size_t i = 0; i < fan.groups.size(); ++i) {
        auto it = view->find(fan.groups[i]);
        for (const Roster::EligibleServer& server :
            it == view->end() ? std::vector<Roster::EligibleServer>() : it->second) {
            if (served.count(server.domain))
                domains[i].push_back(server.domain);
        }
    }
    return planBundles(domains, options.self.domain, nextQuery++);
}

size_t Engine::Private::unservedGroups(const Routes::Fan& fan) const
{
    std::lock_guard lock(viewMutex);
    return static_cast<size_t>(std::count_if(
        fan.groups.begin(), fan.groups.end(), [this](const GroupName& name) { return !servers->count(name); }));
}

} // namespace Relay
