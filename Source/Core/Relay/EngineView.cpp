#include "Relay/EnginePrivate.h"

#include <algorithm>

namespace Relay {

namespace {

    // Before the control instances have told how many there are.
    constexpr size_t unknownInstances = 16;
    // Connections of this instance to one server, however many it accepts.
    constexpr int64_t maximumConnections = 8;
    // Of what a server accepts: while its queue is long it accepts fewer, and those that were closed count for a while.
    constexpr double usedConnections = 0.8;
    // Gatherers are so few that each may hold that many connections to every server.
    constexpr int64_t connectionsOfAGatherer = 4;
    // An instance that does not gather does so only when those that do are lost: its part in the minimum of repeats
    // is that much smaller.
    constexpr size_t fallbackFactor = 5;

} // namespace

std::vector<Roster::Usable> Engine::Private::serversOf(const GroupName& group) const
{
    std::shared_ptr<const ServersByGroup> now;
    {
        std::lock_guard lock(viewMutex);
        now = servers;
    }
    auto it = now->find(group);
    return it == now->end() ? std::vector<Roster::Usable>() : it->second;
}

// Instances that send to the servers of a group.
size_t Engine::Private::sharersOf(const GroupName& group) const
{
    std::lock_guard lock(viewMutex);
    if (instances.empty())
        return unknownInstances;
    bool isGathered = !gatherers.empty() && fanGroups.count(group);
    if (!isGathered)
        return instances.size();
    return isGatherer(gatherers, options.self.address) ? gatherers.size() : unknownInstances * fallbackFactor;
}

size_t Engine::Private::repeatSharersOf(const GroupName& group) const
{
    size_t sharers = sharersOf(group);
    std::lock_guard lock(viewMutex);
    bool isOther = !gatherers.empty() && fanGroups.count(group) && !isGatherer(gatherers, options.self.address);
    return isOther ? std::max(sharers, instances.size() * fallbackFactor) : sharers;
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
    std::map<Common::FailureDomain, size_t> domains;
    int64_t limit = INT64_MAX;
    for (const Routes::Route& route : table ? table->routes : std::vector<Routes::Route>()) {
        for (const GroupName& name : route.fan ? route.fan->groups : std::vector<GroupName>()) {
            if (!fanGroups.insert(name).second)
                continue;
            if (const Routes::Group* group = Routes::findGroup(*table, name))
                limit = std::min(limit, group->connectionLimit.value());
            auto it = servers->find(name);
            for (const Roster::Usable& server : it == servers->end() ? std::vector<Roster::Usable>() : it->second)
                ++domains[server.domain];
        }
    }
    size_t maximum = static_cast<size_t>(std::max<int64_t>(2, limit / connectionsOfAGatherer));
    gatherers = domains.empty() ? Gatherers() : chooseGatherers(instances, domains, maximum);
}

std::optional<Common::Address> Engine::Private::gathererFor(const Common::FailureDomain& domain, TimePoint now)
{
    std::lock_guard lock(viewMutex);
    return pickGatherer(gatherers, domain, options.self, pauses, localRandom(), now);
}

std::vector<Bundle> Engine::Private::bundlesOf(const Routes::Fan& fan)
{
    std::shared_ptr<const ServersByGroup> view;
    std::set<Common::FailureDomain> served;
    {
        std::lock_guard lock(viewMutex);
        view = servers;
        for (const Roster::Peer& peer : gatherers)
            served.insert(peer.domain);
    }
    std::vector<std::vector<Common::FailureDomain>> domains(fan.groups.size());
    for (size_t i = 0; i < fan.groups.size(); ++i) {
        auto it = view->find(fan.groups[i]);
        for (const Roster::Usable& server : it == view->end() ? std::vector<Roster::Usable>() : it->second) {
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
