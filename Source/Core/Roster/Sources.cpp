#include "Roster/Sources.h"

#include <algorithm>

namespace Roster {

using Common::InstanceId;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

    // After its start a control instance has heard all servers that still come to it: some times what they leave
    // between two renewals.
    constexpr Milliseconds restartMemory { 4'000 };

    InstanceId voucherOf(const Common::Address& source) { return InstanceId(source.value()); }

    // What it vouched for counts a little longer under another name.
    void startAnew(
        Sources& sources, ServerView& view, const Common::Address& source, Sources::Source& one, TimePoint now)
    {
        InstanceId earlier(source.value() + " " + std::to_string(one.epoch.value()));
        renameSource(view, voucherOf(source), earlier);
        sources.earlier[earlier] = now + restartMemory;
        one = {};
    }

} // namespace

std::vector<SourceVersion> sourceVersions(const Sources& sources)
{
    std::vector<SourceVersion> all;
    for (auto& [address, one] : sources.known)
        all.push_back({ address, one.epoch, one.revisions, one.peersVersion });
    return all;
}

std::vector<StatusChange> applyState(
    Sources& sources, ServerView& view, const SourceState& state, TimePoint now, Milliseconds memory)
{
    if (state.silentFor > memory)
        return {};
    auto [it, isNew] = sources.known.try_emplace(state.source);
    Sources::Source& one = it->second;
    // Only the source itself can say that it started anew under a lower epoch, as after a step of its clock.
    bool isFromItself = state.silentFor == Milliseconds(0);
    if (!isNew && state.epoch < one.epoch && !isFromItself)
        return {};
    if (!isNew && state.epoch != one.epoch)
        startAnew(sources, view, state.source, one, now);
    one.domain = state.domain;
    one.epoch = state.epoch;
    one.lastContact = std::max(one.lastContact, now - state.silentFor);
    one.revisions.resize(std::max(one.revisions.size(), state.shards.size()));
    std::vector<StatusChange> learned;
    for (size_t i = 0; i < state.shards.size(); ++i) {
        // Another instance may have told later news of the same source.
        if (state.shards[i].revision <= one.revisions[i])
            continue;
        one.revisions[i] = state.shards[i].revision;
        // Other shards' servers of this source stay, so it is never view as a whole.
        auto more = merge(view, voucherOf(state.source), { false, {}, state.shards[i].reports }, now);
        std::move(more.begin(), more.end(), std::back_inserter(learned));
    }
    if (state.peersVersion > one.peersVersion) {
        one.peers = state.peers;
        one.peersVersion = state.peersVersion;
    }
    return learned;
}

bool dropSilent(Sources& sources, ServerView& view, TimePoint now, Milliseconds memory)
{
    bool isChanged = false;
    for (auto it = sources.earlier.begin(); it != sources.earlier.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        dropSource(view, it->first);
        it = sources.earlier.erase(it);
        isChanged = true;
    }
    auto isSilent = [&](const auto& pair) { return now - pair.second.lastContact > memory; };
    if (std::all_of(sources.known.begin(), sources.known.end(), isSilent))
        return isChanged;
    for (auto it = sources.known.begin(); it != sources.known.end();) {
        if (!isSilent(*it)) {
            ++it;
            continue;
        }
        dropSource(view, voucherOf(it->first));
        it = sources.known.erase(it);
        isChanged = true;
    }
    return isChanged;
}

std::vector<Peer> peersOf(const Sources& sources)
{
    std::set<Peer> all;
    for (auto& [address, one] : sources.known)
        all.insert(one.peers.begin(), one.peers.end());
    return { all.begin(), all.end() };
}

} // namespace Roster
