#include "Membership/Gossip.h"

#include "Membership/GossipQueues.h"

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

    constexpr Common::Milliseconds expiryInterval { 500 };
    constexpr Common::Milliseconds renewalInterval { 1'000 };

    void shuffle(std::vector<Common::InstanceId>& ids, Common::Random& random)
    {
        for (size_t i = ids.size(); i > 1; --i)
            std::swap(ids[i - 1], ids[random.below(i)]);
    }

    void addChange(GossipState& state, GossipPlan& plan, Change change)
    {
        queuePush(state, change);
        plan.changes.push_back(std::move(change));
    }

    void send(GossipState& state, GossipPlan& plan, const Common::InstanceId& to, GossipMessage message)
    {
        auto address = addressOf(state, to);
        if (!address)
            return;
        message.from = state.self.id;
        plan.messages.push_back({ to, *address, std::move(message) });
    }

    void detectPause(GossipState& state, Common::TimePoint now)
    {
        if (state.lastRun && now - *state.lastRun >= state.settings.isolatedAfter) {
            state.lastReceived.reset();
            resetSilenceAndProbes(state, now);
        }
        state.lastRun = now;
    }

    void suspect(GossipState& state, GossipPlan& plan, const Common::InstanceId& id, Common::TimePoint now)
    {
        auto it = state.directory.instances.find(id);
        if (it == state.directory.instances.end() || it->second.record.liveness != Liveness::Alive)
            return;
        InstanceRecord record = it->second.record;
        record.liveness = Liveness::Suspect;
        if (auto change = merge(state.directory, record, now))
            addChange(state, plan, std::move(*change));
    }

    void removeSuspects(GossipState& state, GossipPlan& plan, Common::TimePoint now)
    {
        std::vector<InstanceRecord> removed;
        for (const auto& [id, entry] : state.directory.instances) {
            bool isDue = now - entry.changedAt >= state.settings.suspicionTimeout;
            if (entry.record.liveness == Liveness::Suspect && isDue)
                removed.push_back(entry.record);
        }
        for (InstanceRecord& record : removed) {
            record.liveness = Liveness::Gone;
            if (auto change = merge(state.directory, record, now))
                addChange(state, plan, std::move(*change));
        }
    }

    void planExpiry(GossipState& state, GossipPlan& plan, Common::TimePoint now)
    {
        if (now < state.nextExpiry)
            return;
        state.nextExpiry = now + expiryInterval;
        expire(state.quarantine, now);
        if (!hasRecentContact(state, now))
            return;
        removeSuspects(state, plan, now);
        bool mayRemove = isInMajority(state);
        for (Change& change : expire(state.directory, state.settings.directory, state.self.id, mayRemove, now))
            addChange(state, plan, std::move(change));
    }

    GossipMessage makeProbe(GossipState& state, Common::TimePoint now)
    {
        GossipMessage message;
        message.from = state.self.id;
        message.digest = currentDigest(state, now).root;
        message.wantsReply = true;
        return message;
    }

    // Removes and returns a peer from the order. Refills the order with all peers, shuffled, once it is empty.
    Common::InstanceId takeNext(
        std::vector<Common::InstanceId>& order, const std::vector<Common::InstanceId>& peers, Common::Random& random)
    {
        std::erase_if(order, [&](const auto& id) { return !std::binary_search(peers.begin(), peers.end(), id); });
        if (order.empty()) {
            order = peers;
            shuffle(order, random);
        }
        Common::InstanceId peer = order.back();
        order.pop_back();
        return peer;
    }

    // Indirect probes distinguish a broken link between two instances from the loss of one of them.
    void requestIndirectProbes(
        GossipState& state, GossipPlan& plan, const Common::InstanceId& target, Common::Random& random)
    {
        auto probers = peersOf(state);
        std::erase(probers, target);
        shuffle(probers, random);
        probers.resize(std::min(probers.size(), state.settings.indirectProbers));
        for (const Common::InstanceId& prober : probers) {
            GossipMessage message;
            message.probe = target;
            send(state, plan, prober, std::move(message));
        }
    }

    void planProbeRetries(GossipState& state, GossipPlan& plan, Common::TimePoint now, Common::Random& random)
    {
        std::vector<Common::InstanceId> lost;
        for (auto& [id, probe] : state.probes) {
            if (now - probe.startedAt >= state.settings.probeTimeout) {
                lost.push_back(id);
                continue;
            }
            if (now - probe.lastSentAt < state.settings.probeRetry)
                continue;
            probe.lastSentAt = now;
            send(state, plan, id, makeProbe(state, now));
            if (probe.isOwn)
                requestIndirectProbes(state, plan, id, random);
        }
        for (const Common::InstanceId& id : lost) {
            bool isOwn = state.probes[id].isOwn;
            state.probes.erase(id);
            if (isOwn && hasRecentContact(state, now))
                suspect(state, plan, id, now);
        }
    }

    // Instances considered gone, and seeds that are not the address of a known instance.
    std::vector<std::pair<Common::InstanceId, Common::Address>> reconnectTargetsOf(const GossipState& state)
    {
        std::vector<std::pair<Common::InstanceId, Common::Address>> targets;
        std::vector<Common::Address> unknownSeeds = state.seeds;
        for (const auto& [id, entry] : state.directory.instances) {
            if (entry.record.liveness != Liveness::Gone)
                std::erase(unknownSeeds, entry.record.address);
            else if (id != state.self.id)
                targets.emplace_back(id, entry.record.address);
        }
        for (const Common::Address& seed : unknownSeeds)
            targets.emplace_back(Common::InstanceId(), seed);
        std::sort(targets.begin(), targets.end());
        return targets;
    }

    // After a partition heals, both sides consider each other gone. They merge again only if one of them sends a
    // message to an instance that it considers gone.
    void planReconnectProbe(GossipState& state, GossipPlan& plan, Common::TimePoint now, Common::Random& random)
    {
        auto targets = reconnectTargetsOf(state);
        if (targets.empty())
            return;
        auto& [id, address] = targets[random.below(targets.size())];
        GossipMessage message = makeProbe(state, now);
        message.records.emplace_back(state.self);
        plan.messages.push_back({ id, address, std::move(message) });
    }

    void planProbe(GossipState& state, GossipPlan& plan, Common::TimePoint now, Common::Random& random)
    {
        if (now < state.nextProbe)
            return;
        state.nextProbe = now + state.settings.probeInterval;
        auto peers = peersOf(state);
        if (state.probesStarted++ % state.settings.probesPerReconnect == 0 || peers.empty())
            planReconnectProbe(state, plan, now, random);
        if (peers.empty())
            return;
        Common::InstanceId peer = takeNext(state.probeOrder, peers, random);
        Probe& probe = state.probes.try_emplace(peer, Probe { now, now }).first->second;
        probe.isOwn = true;
        send(state, plan, peer, makeProbe(state, now));
    }

    void planRenewals(GossipState& state, GossipPlan& plan, Common::TimePoint now)
    {
        if (now < state.nextRenewals || state.renewals.empty())
            return;
        state.nextRenewals = now + renewalInterval;
        for (auto& [owner, renewals] : state.renewals) {
            GossipMessage message;
            message.renewals = std::move(renewals);
            send(state, plan, owner, std::move(message));
        }
        state.renewals.clear();
    }

    void planPushes(GossipState& state, GossipPlan& plan, Common::TimePoint now, Common::Random& random)
    {
        if (now < state.nextPush || state.pushes.empty())
            return;
        auto peers = peersOf(state);
        if (peers.empty())
            return;
        state.nextPush = now + state.settings.pushInterval;
        size_t recipients = std::min(peers.size(), state.settings.fanOut);
        GossipMessage message;
        message.records = takePushes(state, recipients);
        for (size_t i = 0; i < recipients; ++i)
            send(state, plan, takeNext(state.pushOrder, peers, random), message);
    }

    // Each of the four messages of an exchange may be lost. Waiting for the next probe would leave this instance behind
    // for about a second each time. If its own records have changed since, the news has probably arrived by a push.
    void planSyncRetry(GossipState& state, GossipPlan& plan, Common::TimePoint now, Common::Random& random)
    {
        if (!state.pendingSync || now < state.pendingSync->retryAt)
            return;
        const Digest& own = currentDigest(state, now);
        auto peers = peersOf(state);
        bool isOver = own.root != state.pendingSync->ownRoot
            || state.pendingSync->retries >= state.settings.maximumSyncRetries || peers.empty();
        if (isOver) {
            state.pendingSync.reset();
            return;
        }
        ++state.pendingSync->retries;
        state.pendingSync->retryAt = now + state.settings.syncRetry;
        GossipMessage message;
        message.digest = own.root;
        message.wantsReply = true;
        message.buckets.assign(own.buckets.begin(), own.buckets.end());
        send(state, plan, takeNext(state.syncOrder, peers, random), std::move(message));
    }

} // namespace

GossipState makeGossipState(GossipSettings settings, InstanceRecord self, std::vector<Common::Address> seeds)
{
    GossipState state;
    state.settings = settings;
    state.self = std::move(self);
    state.seeds = std::move(seeds);
    if (auto change = merge(state.directory, state.self, Common::TimePoint()))
        queuePush(state, *change);
    return state;
}

GossipPlan nextGossip(GossipState& state, Common::TimePoint now, Common::Random& random)
{
    GossipPlan plan;
    detectPause(state, now);
    planExpiry(state, plan, now);
    planProbeRetries(state, plan, now, random);
    planProbe(state, plan, now, random);
    planSyncRetry(state, plan, now, random);
    planRenewals(state, plan, now);
    planPushes(state, plan, now, random);
    return plan;
}

AnnounceResult receiveAnnouncement(GossipState& state, const Announcement& announcement, Common::TimePoint now)
{
    AnnounceResult outcome = announce(state.directory, announcement, state.self.id, now);
    if (outcome.change)
        queuePush(state, *outcome.change);
    if (outcome.forwardRenewalTo)
        queueRenewal(
            state, *outcome.forwardRenewalTo, { announcement.server, announcement.incarnation, announcement.sequence });
    return outcome;
}

std::optional<Change> receiveRecord(GossipState& state, const Record& record, Common::TimePoint now)
{
    auto change = applyRecord(state, record, now);
    if (change)
        queuePush(state, *change);
    return change;
}

Change leave(GossipState& state, Common::TimePoint now)
{
    state.self.state = InstanceState::Leaving;
    ++state.self.sequence;
    merge(state.directory, state.self, now);
    Change change { state.self };
    queuePush(state, change);
    return change;
}

std::vector<Change> reportLoss(
    GossipState& state, const Loss& loss, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now)
{
    auto changes = recordLoss(state.quarantine, loss, inFlight, now);
    for (const Change& change : changes)
        queuePush(state, change);
    return changes;
}

std::optional<Change> reportCompletion(GossipState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    auto change = recordCompletion(state.quarantine, fingerprint, now);
    if (change)
        queuePush(state, *change);
    return change;
}

} // namespace Membership
