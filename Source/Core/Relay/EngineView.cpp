#include "Relay/EnginePrivate.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace Relay {

namespace {

    // Per server, from this instance, whatever the server's own limit is.
    constexpr int64_t maximumConnections = 8;
    // Share of a server's connection limit that is used. A server with a long queue accepts fewer connections, and
    // it still counts closed ones for a while.
    constexpr double usableConnectionShare = 0.8;
    // The owners of a group and the substitutes of each may hold the same number of connections.
    constexpr size_t substituteFactor = 2;
    // Extra owners among which the minimum of the retry budget is divided, so that one owner can be replaced within the
    // budget window.
    constexpr size_t replacementOwners = 1;
    // An instance that is not a gatherer sends only when the gatherers are lost. Its share of the connections and of
    // the minimum of the retry budget is divided by this factor.
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

// The number of instances that send to the servers of a group.
size_t Engine::Private::sendersOf(const GroupName& group) const
{
    std::lock_guard lock(viewMutex);
    if (instances.empty())
        return assumedInstances;
    bool isGathered = !gatherers.owners.empty() && fanOutGroups.count(group);
    if (!isGathered)
        return instances.size();
    return isGatherer(gatherers, options.self) ? gatherers.owners.size() * substituteFactor
                                               : assumedInstances * fallbackFactor;
}

std::optional<size_t> Engine::Private::retrySendersOf(const GroupName& group, TimePoint now) const
{
    std::lock_guard lock(viewMutex);
    auto it = retrySenders.find(group);
    if (it == retrySenders.end())
        return std::nullopt;
    return Limits::mostSenders(it->second, options.retryBudget.window, now);
}

// Called with viewMutex held.
size_t Engine::Private::currentRetrySenders(const GroupName& group) const
{
    size_t known = std::max(instances.size(), assumedInstances);
    if (gatherers.owners.empty() || !fanOutGroups.count(group))
        return instances.empty() ? assumedInstances : instances.size();
    return ownedGroups.count(group) ? gatherers.owners.size() + replacementOwners : known * fallbackFactor;
}

Connections Engine::Private::connectionsOf(const Routes::Table& routes, const GroupName& name) const
{
    const Routes::Group* group = Routes::findGroup(routes, name);
    double limit = group ? static_cast<double>(group->connectionLimit.value()) * usableConnectionShare : 1;
    auto share = static_cast<int64_t>(limit / static_cast<double>(sendersOf(name)));
    return Connections(std::clamp<int64_t>(share, 1, maximumConnections));
}

// Called with viewMutex held. Nobody sent to a group before a table named it, so the history of a new group begins with
// that of this instance.
void Engine::Private::updateRetrySenders(TimePoint now)
{
    if (!table || instances.empty())
        return;
    if (!viewSince)
        viewSince = now;
    std::erase_if(retrySenders, [&](const auto& pair) { return !Routes::findGroup(*table, pair.first); });
    for (const Routes::Group& group : table->groups) {
        auto [it, isNew] = retrySenders.try_emplace(group.name);
        Limits::recordSenders(
            it->second, currentRetrySenders(group.name), options.retryBudget.window, isNew ? *viewSince : now);
    }
}

// Called with viewMutex held, when the table, servers or instances have changed.
void Engine::Private::updateGatherers()
{
    fanOutGroups.clear();
    ownedGroups.clear();
    partitionOfGroup.clear();
    prioritiesOver.clear();
    for (const Routes::Route& route : table ? table->routes : std::vector<Routes::Route>()) {
        if (route.fanOut)
            prioritiesOver[route.fanOut->groups.front()].insert(route.priority);
    }
    std::set<Common::FailureDomain> domains;
    size_t most = 0;
    partitions = table ? partitionCounts(*table, options.processorShare) : std::map<GroupName, size_t>();
    auto forEachFanOut = [&](const auto& fn) {
        for (const Routes::Route& route : table ? table->routes : std::vector<Routes::Route>()) {
            if (route.fanOut)
                fn(*route.fanOut);
        }
    };
    forEachFanOut([&](const Routes::FanOut& fanOut) {
        most = std::max(most, partitionsOf(fanOut));
        for (const GroupName& name : fanOut.groups) {
            auto it = fanOutGroups.insert(name).second ? servers->find(name) : servers->end();
            if (it == servers->end())
                continue;
            for (const Roster::EligibleServer& server : it->second)
                domains.insert(server.domain);
        }
    });
    gatherers = chooseGatherers(instances, domains, most);
    forEachFanOut([&](const Routes::FanOut& fanOut) {
        size_t count = partitionsOf(fanOut);
        for (size_t i = 0; i < fanOut.groups.size(); ++i) {
            partitionOfGroup[fanOut.groups[i]] = partitionOf(i, count);
            if (ownsPartition(gatherers, options.self, partitionOf(i, count)))
                ownedGroups.insert(fanOut.groups[i]);
        }
    });
    updateRetrySenders(Clock::now());
}

// Called with viewMutex held.
size_t Engine::Private::partitionsOf(const Routes::FanOut& fanOut) const
{
    auto it = partitions.find(fanOut.groups.front());
    return it == partitions.end() ? 1 : it->second;
}

// Splits each bundle by the gatherer of its groups.
std::vector<RequestedBundle> Engine::Private::requestedBundlesOf(
    const Relay::Call& call, const Routes::FanOut& fanOut, TimePoint now)
{
    auto verdicts = suspects->verdictsOn(call.keys, now);
    if (Suspects::standingInAllGroups(verdicts) != Suspects::Standing::Clear) {
        // One bundle, so that one trial decides for all groups.
        std::vector<size_t> places(fanOut.groups.size());
        std::iota(places.begin(), places.end(), size_t { 0 });
        return { { { options.incarnation, nextBundle++ }, std::move(places), std::nullopt } };
    }
    size_t count = 1;
    {
        std::lock_guard lock(viewMutex);
        count = partitionsOf(fanOut);
    }
    std::vector<RequestedBundle> requested;
    for (const Bundle& bundle : bundlesOf(fanOut)) {
        std::map<std::optional<Common::Address>, std::vector<size_t>> byGatherer;
        {
            std::lock_guard lock(viewMutex);
            for (size_t place : bundle.groups) {
                byGatherer[pickGatherer(gatherers, bundle.domain, partitionOf(place, count), options.self, health, now)]
                    .push_back(place);
            }
        }
        for (auto& [gatherer, places] : byGatherer)
            requested.push_back({ { options.incarnation, nextBundle++ }, std::move(places), gatherer });
    }
    return requested;
}

std::vector<Bundle> Engine::Private::bundlesOf(const Routes::FanOut& fanOut)
{
    std::shared_ptr<const ServersByGroup> view;
    std::set<Common::FailureDomain> served;
    {
        std::lock_guard lock(viewMutex);
        view = servers;
        for (auto& [domain, owners] : gatherers.owners)
            served.insert(domain);
    }
    std::vector<std::vector<Common::FailureDomain>> domains(fanOut.groups.size());
    for (size_t i = 0; i < fanOut.groups.size(); ++i) {
        auto it = view->find(fanOut.groups[i]);
        for (const Roster::EligibleServer& server :
            it == view->end() ? std::vector<Roster::EligibleServer>() : it->second) {
            if (served.count(server.domain))
                domains[i].push_back(server.domain);
        }
    }
    return planBundles(domains, options.self.domain, nextQuery++);
}

size_t Engine::Private::unservedGroups(const Routes::FanOut& fanOut) const
{
    std::lock_guard lock(viewMutex);
    return static_cast<size_t>(std::count_if(
        fanOut.groups.begin(), fanOut.groups.end(), [this](const GroupName& name) { return !servers->count(name); }));
}

} // namespace Relay
