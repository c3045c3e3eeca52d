#include "Roster/Sources.h"

#include <algorithm>

namespace Roster {

using Common::InstanceId;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

    // Within this time after its start a control instance has received a heartbeat from each server that still sends to
    // it: a multiple of the heartbeat interval.
    constexpr Milliseconds restartGracePeriod { 4'000 };

    // Watch requests time out after this time, so a reply that says how long its source was silent is no older.
    constexpr Milliseconds maximumReplyAge { 2'500 };

    InstanceId sourceId(const Common::Address& source) { return InstanceId(source.value()); }

    // The source has restarted: its earlier reports count under another id for a grace period.
    void startNewEpoch(
        Sources& sources, ServerView& view, const Common::Address& source, Sources::Source& entry, TimePoint now)
    {
        InstanceId earlier(source.value() + " " + std::to_string(entry.epoch.value()));
        renameSource(view, sourceId(source), earlier);
        sources.earlierEpochs[earlier] = now + restartGracePeriod;
        entry = {};
    }

} // namespace

std::vector<SourceVersion> sourceVersions(const Sources& sources)
{
    std::vector<SourceVersion> all;
    for (auto& [address, entry] : sources.known)
        all.push_back({ address, entry.epoch, entry.revisions, entry.peersVersion });
    return all;
}

// The epochs give the order of two starts unless the clock of the source stepped back between them. Then the source
// itself reports the lower epoch, or nobody has been in contact with the higher one for a while.
bool isFromEarlierEpoch(const Sources& sources, const SourceState& state, TimePoint now)
{
    auto it = sources.known.find(state.source);
    if (it == sources.known.end() || it->second.epoch == state.epoch)
        return false;
    Milliseconds later = now - state.silentFor - it->second.lastContact;
    if (later > maximumReplyAge)
        return false;
    bool isFromItself = state.silentFor == Milliseconds(0);
    return later < Milliseconds(0) - maximumReplyAge || (state.epoch < it->second.epoch && !isFromItself);
}

std::vector<StatusChange> applyState(
    Sources& sources, ServerView& view, const SourceState& state, TimePoint now, Milliseconds retention)
{
    if (state.silentFor > retention || isFromEarlierEpoch(sources, state, now))
        return {};
    auto [it, isNew] = sources.known.try_emplace(state.source);
    Sources::Source& entry = it->second;
    if (!isNew && state.epoch != entry.epoch)
        startNewEpoch(sources, view, state.source, entry, now);
    entry.domain = state.domain;
    entry.epoch = state.epoch;
    entry.lastContact = std::max(entry.lastContact, now - state.silentFor);
    entry.revisions.resize(std::max(entry.revisions.size(), state.shards.size()));
    std::vector<StatusChange> statusChanges;
    for (size_t i = 0; i < state.shards.size(); ++i) {
        // Another instance may have forwarded a later revision of this source.
        if (state.shards[i].revision <= entry.revisions[i])
            continue;
        entry.revisions[i] = state.shards[i].revision;
        // A whole copy of one shard must not remove the servers of the other shards, so it is merged as a change.
        auto more = merge(view, sourceId(state.source), { false, {}, state.shards[i].reports }, now);
        std::move(more.begin(), more.end(), std::back_inserter(statusChanges));
    }
    if (state.peersVersion > entry.peersVersion) {
        entry.peers = state.peers;
        entry.peersVersion = state.peersVersion;
    }
    return statusChanges;
}

bool dropSilent(Sources& sources, ServerView& view, TimePoint now, Milliseconds retention)
{
    bool isChanged = false;
    for (auto it = sources.earlierEpochs.begin(); it != sources.earlierEpochs.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        dropSource(view, it->first);
        it = sources.earlierEpochs.erase(it);
        isChanged = true;
    }
    auto isSilent = [&](const auto& pair) { return now - pair.second.lastContact > retention; };
    if (std::all_of(sources.known.begin(), sources.known.end(), isSilent))
        return isChanged;
    for (auto it = sources.known.begin(); it != sources.known.end();) {
        if (!isSilent(*it)) {
            ++it;
            continue;
        }
        dropSource(view, sourceId(it->first));
        it = sources.known.erase(it);
        isChanged = true;
    }
    return isChanged;
}

std::vector<Peer> peersOf(const Sources& sources)
{
    std::set<Peer> all;
    for (auto& [address, entry] : sources.known)
        all.insert(entry.peers.begin(), entry.peers.end());
    return { all.begin(), all.end() };
}

} // namespace Roster
