#include "Roster/Mirror.h"

#include <algorithm>

namespace Roster {

using Common::Address;
using Common::Revision;
using Common::TimePoint;

SourceVersion sourceVersion(const Mirror& mirror, const Address& source)
{
    SourceVersion version { source, mirror.epoch, {}, mirror.peersVersion };
    for (const Registry& shard : mirror.shards)
        version.revisions.push_back(shard.revision);
    return version;
}

bool applyState(Mirror& mirror, const SourceState& state, TimePoint now)
{
    mirror.lastContact = now;
    mirror.domain = state.domain;
    bool hasChanged = state.table > mirror.table;
    mirror.table = state.table;
    if (state.epoch != mirror.epoch) {
        mirror.epoch = state.epoch;
        mirror.shards.clear();
        mirror.peers.clear();
        mirror.peersVersion = 0;
        hasChanged = true;
    }
    mirror.shards.resize(std::max(mirror.shards.size(), state.shards.size()));
    for (size_t i = 0; i < state.shards.size(); ++i) {
        Revision before = mirror.shards[i].revision;
        copyChanges(mirror.shards[i], state.shards[i], now);
        hasChanged = hasChanged || mirror.shards[i].revision != before;
    }
    if (state.peersVersion != mirror.peersVersion) {
        mirror.peers = state.peers;
        mirror.peersVersion = state.peersVersion;
        hasChanged = true;
    }
    return hasChanged;
}

KnownStart knownStart(const Mirror& mirror, const Common::BackendServerId& server)
{
    KnownStart known;
    for (const Registry& shard : mirror.shards)
        known = later(known, knownStart(shard, server));
    return known;
}

std::vector<Report> departuresIn(const SourceState& state)
{
    std::vector<Report> departures;
    for (const Changes& changes : state.shards) {
        std::copy_if(
            changes.reports.begin(), changes.reports.end(), std::back_inserter(departures), [](const Report& report) {
                return report.status == ServerStatus::Leaving && report.incarnation != Common::Incarnation(0);
            });
    }
    return departures;
}

SourceState stateFor(const Mirror& mirror, const Address& source, const SourceVersion* known, TimePoint now)
{
    SourceState state { source, mirror.domain, mirror.epoch, {}, {}, {}, mirror.peersVersion, mirror.table };
    if (mirror.lastContact)
        state.silentFor = now - *mirror.lastContact;
    if (known && known->epoch > mirror.epoch)
        return state;
    bool isSameEpoch = known && known->epoch == mirror.epoch && known->revisions.size() == mirror.shards.size();
    for (size_t i = 0; i < mirror.shards.size(); ++i) {
        const Registry& shard = mirror.shards[i];
        // A follower that followed another instance before may have a later revision.
        if (isSameEpoch && known->revisions[i] >= shard.revision)
            state.shards.push_back({ false, shard.revision, {} });
        else
            state.shards.push_back(changesSince(shard, isSameEpoch ? known->revisions[i] : Revision(0)));
    }
    if (!isSameEpoch || known->peersVersion < mirror.peersVersion)
        state.peers = mirror.peers;
    return state;
}

bool hasChanges(const SourceState& state, const SourceVersion* known)
{
    if (!known || known->epoch != state.epoch)
        return !known || known->epoch < state.epoch;
    for (size_t i = 0; i < state.shards.size(); ++i) {
        if (i >= known->revisions.size() || state.shards[i].revision > known->revisions[i])
            return true;
    }
    return state.peersVersion > known->peersVersion;
}

const SourceVersion* findVersion(const std::vector<SourceVersion>& all, const Address& source)
{
    auto it = std::find_if(all.begin(), all.end(), [&](const SourceVersion& known) { return known.source == source; });
    return it == all.end() ? nullptr : &*it;
}

void forgetBefore(Mirror& mirror, TimePoint time)
{
    for (Registry& shard : mirror.shards) {
        std::erase_if(shard.entries, [&](const auto& pair) {
            return pair.second.report.status != ServerStatus::Serving && pair.second.receivedAt < time;
        });
    }
}

} // namespace Roster
