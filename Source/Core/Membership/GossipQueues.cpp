#include "Membership/GossipQueues.h"

#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

    constexpr Common::Milliseconds digestLifetime { 1'000 };

    // Enough rounds to reach all but a few of n instances with 20 % message loss. Digests deliver to the rest.
    size_t roundsFor(size_t n) { return 2 + static_cast<size_t>(std::ceil(std::log10(static_cast<double>(n + 1)))); }

    size_t pushLimit(const GossipState& state)
    {
        return state.settings.fanOut * roundsFor(state.directory.instances.size());
    }

    std::optional<Change> applyToSelf(GossipState& state, const InstanceRecord& record, Common::TimePoint now)
    {
        if (!supersedes(record, state.self))
            return std::nullopt;
        bool isFinal = record.liveness == Liveness::Gone || record.state != state.self.state;
        if (record.incarnation > state.self.incarnation || isFinal)
            state.self.incarnation = record.incarnation + Common::Incarnation(1);
        else
            state.self.sequence = record.sequence + 1;
        return merge(state.directory, state.self, now);
    }

} // namespace

void queuePush(GossipState& state, const Change& change)
{
    state.pushes[summarize(change.record).key] = { change.record, 0 };
}

void countDuplicate(GossipState& state, const Record& record)
{
    Summary summary = summarize(record);
    auto it = state.pushes.find(summary.key);
    if (it == state.pushes.end() || summarize(it->second.record).version != summary.version)
        return;
    ++it->second.sends;
    if (it->second.sends >= pushLimit(state))
        state.pushes.erase(it);
}

std::vector<Record> takePushes(GossipState& state, size_t recipients)
{
    size_t limit = pushLimit(state);
    std::vector<std::pair<size_t, uint64_t>> order;
    order.reserve(state.pushes.size());
    for (const auto& [key, push] : state.pushes)
        order.emplace_back(push.sends, key);
    size_t n = std::min(order.size(), state.settings.maximumPushed);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    std::vector<Record> records;
    records.reserve(n);
    for (size_t i = 0; i < n; ++i) {
        auto it = state.pushes.find(order[i].second);
        records.push_back(it->second.record);
        it->second.sends += recipients;
        if (it->second.sends >= limit)
            state.pushes.erase(it);
    }
    return records;
}

void queueRenewal(GossipState& state, const Common::InstanceId& owner, const Renewal& renewal)
{
    auto& renewals = state.renewals[owner];
    auto it = std::find_if(
        renewals.begin(), renewals.end(), [&](const Renewal& known) { return known.server == renewal.server; });
    if (it != renewals.end())
        *it = renewal;
    else
        renewals.push_back(renewal);
}

std::optional<Change> applyRecord(GossipState& state, const Record& record, Common::TimePoint now)
{
    if (const auto* server = std::get_if<ServerRecord>(&record))
        return merge(state.directory, *server, now);
    if (const auto* fingerprint = std::get_if<FingerprintRecord>(&record))
        return merge(state.quarantine, *fingerprint, now);
    const auto& instance = std::get<InstanceRecord>(record);
    if (instance.id == state.self.id)
        return applyToSelf(state, instance, now);
    return merge(state.directory, instance, now);
}

const Digest& currentDigest(GossipState& state, Common::TimePoint now)
{
    const Digest& digest = state.digest;
    bool isCurrent = digest.directoryGeneration == state.directory.generation
        && digest.quarantineGeneration == state.quarantine.generation && now - digest.madeAt < digestLifetime;
    if (!isCurrent)
        state.digest = makeDigest(state.directory, state.quarantine, state.settings.directory, now);
    return state.digest;
}

std::optional<Common::Address> addressOf(const GossipState& state, const Common::InstanceId& id)
{
    auto it = state.directory.instances.find(id);
    if (it == state.directory.instances.end())
        return std::nullopt;
    return it->second.record.address;
}

std::vector<Common::InstanceId> peersOf(const GossipState& state)
{
    std::vector<Common::InstanceId> peers;
    peers.reserve(state.directory.instances.size());
    for (const auto& [id, entry] : state.directory.instances) {
        if (id != state.self.id && entry.record.liveness != Liveness::Gone)
            peers.push_back(id);
    }
    std::sort(peers.begin(), peers.end());
    return peers;
}

bool hasRecentContact(const GossipState& state, Common::TimePoint now)
{
    if (state.directory.instances.size() == 1)
        return true;
    return state.lastReceived && now - *state.lastReceived < state.settings.isolatedAfter;
}

void resetSilenceAndProbes(GossipState& state, Common::TimePoint now)
{
    resetSilence(state.directory, now);
    state.probes.clear();
}

bool isInMajority(const GossipState& state)
{
    size_t present = 0;
    size_t lost = 0;
    for (const auto& [id, entry] : state.directory.instances) {
        if (entry.record.liveness != Liveness::Gone)
            ++present;
        else if (entry.record.state != InstanceState::Leaving)
            ++lost;
    }
    return present > lost;
}

} // namespace Membership
