#include "Membership/Directory.h"

#include "Common/Hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Membership {

namespace {

    bool isPresent(const ServerRecord& record)
    {
        return record.liveness != Liveness::Gone && record.announcement.state != ServerState::Leaving;
    }

    bool isSameAnnouncement(Announcement a, const Announcement& b)
    {
        a.sequence = b.sequence;
        return a == b;
    }

    // Stores a record that supersedes the current one.
    Change put(Directory& directory, ServerEntry& entry, const ServerRecord& record, Common::TimePoint now)
    {
        const Announcement& update = record.announcement;
        const Announcement& current = entry.record.announcement;
        bool isLater = update.incarnation > current.incarnation || update.sequence > entry.latestSequence;
        if (isLater || entry.summary == Summary {}) {
            entry.latestSequence = update.sequence;
            entry.renewedAt = now;
        }
        entry.record = record;
        entry.changedAt = now;
        entry.summary = summarize(record);
        ++directory.generation;
        return { record };
    }

    // Whether self is responsible for a server whose owner was lost. Rendezvous hashing makes all instances choose the
    // same successor.
    bool isSuccessor(const Directory& directory, const Common::BackendServerId& server, const Common::InstanceId& self)
    {
        auto weight = [&](const Common::InstanceId& id) {
            return std::make_pair(Common::hash64(server.value(), Common::hash64(id.value())), id);
        };
        auto own = weight(self);
        return std::none_of(directory.instances.begin(), directory.instances.end(),
            [&](const auto& pair) { return isUp(directory, pair.first) && weight(pair.first) > own; });
    }

    bool isResponsibleFor(const Directory& directory, const ServerRecord& record, const Common::InstanceId& self)
    {
        if (record.owner == self)
            return true;
        return !isUp(directory, record.owner) && isSuccessor(directory, record.announcement.server, self);
    }

    // Restarts the timeouts of the servers of a lost owner, because its renewals were not sent to the successors.
    void resetSilenceOfOwned(Directory& directory, const Common::InstanceId& owner, Common::TimePoint now)
    {
        for (auto& [id, entry] : directory.servers) {
            if (entry.record.owner == owner)
                entry.renewedAt = now;
        }
    }

    std::optional<Change> expireIfSilent(Directory& directory, ServerEntry& entry, const DirectorySettings& settings,
        bool mayRemove, Common::TimePoint now)
    {
        Common::Milliseconds silence = now - entry.renewedAt;
        ServerRecord record = entry.record;
        record.announcement.sequence = std::max(record.announcement.sequence, entry.latestSequence);
        if (silence >= settings.removeAfter && mayRemove)
            record.liveness = Liveness::Gone;
        else if (silence >= settings.suspectAfter && record.liveness == Liveness::Alive)
            record.liveness = Liveness::Suspect;
        else
            return std::nullopt;
        return put(directory, entry, record, now);
    }

    template <typename Entries>
    void dropOldTombstones(Entries& entries, const DirectorySettings& settings, Common::TimePoint now)
    {
        std::erase_if(entries, [&](const auto& pair) {
            const auto& entry = pair.second;
            return entry.record.liveness == Liveness::Gone && now - entry.changedAt >= settings.keepTombstones;
        });
    }

    Candidate makeCandidate(const ServerRecord& record)
    {
        const Announcement& announcement = record.announcement;
        return { announcement.server, announcement.incarnation, announcement.address, announcement.domain,
            announcement.state, record.liveness == Liveness::Suspect, {} };
    }

    void sortById(std::vector<Candidate>& candidates)
    {
        std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.server < b.server; });
    }

} // namespace

std::optional<Change> merge(Directory& directory, const ServerRecord& record, Common::TimePoint now)
{
    auto [it, isNew] = directory.servers.try_emplace(record.announcement.server);
    if (!isNew && !supersedes(record, it->second.record))
        return std::nullopt;
    return put(directory, it->second, record, now);
}

std::optional<Change> merge(Directory& directory, const InstanceRecord& record, Common::TimePoint now)
{
    auto [it, isNew] = directory.instances.try_emplace(record.id);
    InstanceEntry& entry = it->second;
    if (!isNew && !supersedes(record, entry.record))
        return std::nullopt;
    bool wasUp = isUp(directory, record.id);
    entry.record = record;
    entry.changedAt = now;
    entry.summary = summarize(record);
    ++directory.generation;
    if (wasUp && !isUp(directory, record.id))
        resetSilenceOfOwned(directory, record.id, now);
    return Change { record };
}

bool isUp(const Directory& directory, const Common::InstanceId& id)
{
    auto it = directory.instances.find(id);
    if (it == directory.instances.end())
        return false;
    const InstanceRecord& record = it->second.record;
    return record.liveness != Liveness::Gone && record.state == InstanceState::Up;
}

AnnounceResult announce(
    Directory& directory, const Announcement& announcement, const Common::InstanceId& self, Common::TimePoint now)
{
    ServerRecord update { announcement, self, Liveness::Alive };
    auto it = directory.servers.find(announcement.server);
    if (it == directory.servers.end() || it->second.record.announcement.incarnation < announcement.incarnation)
        return { AnnounceStatus::Accepted, merge(directory, update, now), std::nullopt };

    ServerEntry& entry = it->second;
    const Announcement& current = entry.record.announcement;
    if (current.incarnation > announcement.incarnation)
        return { AnnounceStatus::Stale };
    if (entry.record.liveness == Liveness::Gone)
        return { AnnounceStatus::RaiseIncarnation };
    bool isLeaving = announcement.state == ServerState::Leaving && current.state != ServerState::Leaving;
    if (announcement.sequence <= entry.latestSequence && !isLeaving)
        return { AnnounceStatus::Stale };
    if (current.state == ServerState::Leaving)
        update.announcement.state = ServerState::Leaving;

    entry.latestSequence = std::max(entry.latestSequence, announcement.sequence);
    entry.renewedAt = now;
    bool hasOwner = entry.record.owner == self || isUp(directory, entry.record.owner);
    if (hasOwner && entry.record.liveness == Liveness::Alive && isSameAnnouncement(update.announcement, current)) {
        if (entry.record.owner == self)
            return {};
        return { AnnounceStatus::Accepted, std::nullopt, entry.record.owner };
    }
    return { AnnounceStatus::Accepted, merge(directory, update, now), std::nullopt };
}

std::optional<Change> renew(
    Directory& directory, const Renewal& renewal, const Common::InstanceId& self, Common::TimePoint now)
{
    auto it = directory.servers.find(renewal.server);
    if (it == directory.servers.end())
        return std::nullopt;
    ServerEntry& entry = it->second;
    if (entry.record.announcement.incarnation != renewal.incarnation || renewal.sequence <= entry.latestSequence)
        return std::nullopt;
    entry.latestSequence = renewal.sequence;
    entry.renewedAt = now;
    if (entry.record.liveness != Liveness::Suspect)
        return std::nullopt;
    ServerRecord refuted = entry.record;
    refuted.announcement.sequence = renewal.sequence;
    refuted.owner = self;
    refuted.liveness = Liveness::Alive;
    return merge(directory, refuted, now);
}

std::vector<Change> expire(Directory& directory, const DirectorySettings& settings, const Common::InstanceId& self,
    bool mayRemove, Common::TimePoint now)
{
    std::vector<Change> changes;
    for (auto& [id, entry] : directory.servers) {
        if (entry.record.liveness == Liveness::Gone || now - entry.renewedAt < settings.suspectAfter)
            continue;
        if (!isResponsibleFor(directory, entry.record, self))
            continue;
        if (auto change = expireIfSilent(directory, entry, settings, mayRemove, now))
            changes.push_back(std::move(*change));
    }
    dropOldTombstones(directory.servers, settings, now);
    dropOldTombstones(directory.instances, settings, now);
    return changes;
}

void resetSilence(Directory& directory, Common::TimePoint now)
{
    for (auto& [id, entry] : directory.servers)
        entry.renewedAt = now;
    for (auto& [id, entry] : directory.instances) {
        if (entry.record.liveness == Liveness::Suspect)
            entry.changedAt = now;
    }
}

std::vector<Candidate> candidates(
    const Directory& directory, const Common::GroupName& group, Common::IndexVersion version)
{
    std::vector<Candidate> found;
    for (const auto& [id, entry] : directory.servers) {
        if (entry.record.announcement.group != group || !isPresent(entry.record))
            continue;
        Candidate candidate = makeCandidate(entry.record);
        for (const Replica& replica : entry.record.announcement.replicas) {
            if (replica.version == version)
                candidate.shards.push_back(replica.shard);
        }
        if (candidate.shards.empty())
            continue;
        std::sort(candidate.shards.begin(), candidate.shards.end());
        found.push_back(std::move(candidate));
    }
    sortById(found);
    return found;
}

std::vector<Candidate> candidates(const Directory& directory, const Common::GroupName& group)
{
    std::vector<Candidate> found;
    for (const auto& [id, entry] : directory.servers) {
        if (entry.record.announcement.group == group && isPresent(entry.record))
            found.push_back(makeCandidate(entry.record));
    }
    sortById(found);
    return found;
}

} // namespace Membership
