#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

using Common::RequestRate;

namespace {

    // An instance that has heard of no control instance for this long does not know who keeps a server's tokens. Longer
    // than it takes to follow another control instance.
    constexpr Milliseconds viewLifetime { 3'000 };
    constexpr Milliseconds claimTimeout { 60 };

} // namespace

Targets Engine::Private::targetsOf(const GroupName& group, TimePoint now)
{
    Targets targets { serversOf(group), {} };
    RequestRate coldRate = hasWarmupRates ? warmupRateOf(group) : RequestRate(0);
    auto isLimitedAsCold
        = [&](const Roster::EligibleServer& server) { return coldRate > RequestRate(0) && server.warmAt > now; };
    bool hasCold = std::any_of(targets.servers->begin(), targets.servers->end(), isLimitedAsCold);
    if (!pool.hasNamedRates() && !hasCold)
        return targets;
    targets.access.resize(targets.servers->size());
    for (size_t i = 0; i < targets.access.size(); ++i) {
        const Roster::EligibleServer& server = (*targets.servers)[i];
        if (!isLimitedAsCold(server) && !pool.namedRate(server.server, server.incarnation))
            continue;
        targets.access[i] = rateAccess(group, server, now);
        if (isLimitedAsCold(server))
            targets.access[i].cold = { coldRate, server.warmAt };
    }
    return targets;
}

// 0 if the group's cold servers have no limit.
RequestRate Engine::Private::warmupRateOf(const GroupName& name) const
{
    std::lock_guard lock(viewMutex);
    const Routes::Group* group = table ? Routes::findGroup(*table, name) : nullptr;
    return group ? group->warmupRate : RequestRate(0);
}

RateAccess Engine::Private::rateAccess(
    const GroupName& group, const Roster::EligibleServer& server, TimePoint now) const
{
    std::lock_guard lock(viewMutex);
    RateAccess access { Limits::RateRole::Alone, {}, std::max(instances.size(), assumedInstances), {} };
    if (now - viewConfirmedAt > viewLifetime)
        return access;
    auto it = partitionOfGroup.find(group);
    auto partition = it == partitionOfGroup.end() ? std::nullopt : std::optional(it->second);
    auto keeper = keeperOf(gatherers, instances, partition, server.server, server.domain);
    if (!keeper)
        return access;
    access.keeper = *keeper;
    access.role = *keeper == options.self.address ? Limits::RateRole::Keeper : Limits::RateRole::Asker;
    return access;
}

// Asks for as many tokens as requests wait. The answer wakes them.
void Engine::Private::askKeeper(const Targets& targets, size_t index, const GroupName& group)
{
    size_t wanted = 1 + groups.withValue(group, [](GroupState& state) { return Limits::size(state.waiting); });
    auto claim = pool.ask(targets, index, wanted, Clock::now());
    if (!claim)
        return;
    ++pendingOperations;
    peers.claimRate(targets.access[index].keeper, *claim, claimTimeout,
        [self = shared_from_this(), server = claim->server, group](const Common::Result<Limits::RateGrant>& result) {
            --self->pendingOperations;
            if (!result) {
                Observe::logEvent(Observe::Part::Relay, Observe::Event::KeeperSilent,
                    { { "server", server.value() }, { "why", Common::describe(result.error()) } });
            }
            self->pool.answerAsk(server, result ? std::optional(result.value()) : std::nullopt, Clock::now());
            self->serveWaiters(group);
        });
}

Limits::RateGrant Engine::grant(const Limits::RateClaim& claim)
{
    auto now = Clock::now();
    RateAccess access;
    std::shared_ptr<const ServersByGroup> servers;
    {
        std::lock_guard lock(m_private->viewMutex);
        servers = m_private->servers;
    }
    for (auto& [group, list] : *servers) {
        auto it = std::lower_bound(list.begin(), list.end(), claim.server,
            [](const Roster::EligibleServer& server, const Common::BackendServerId& id) { return server.server < id; });
        if (it == list.end() || it->server != claim.server)
            continue;
        access = m_private->rateAccess(group, *it, now);
        RequestRate coldRate = m_private->hasWarmupRates ? m_private->warmupRateOf(group) : RequestRate(0);
        if (coldRate > RequestRate(0) && it->warmAt > now && it->incarnation == claim.incarnation)
            access.cold = { coldRate, it->warmAt };
    }
    return m_private->pool.grant(claim, access.role, now, access.cold);
}

} // namespace Relay
