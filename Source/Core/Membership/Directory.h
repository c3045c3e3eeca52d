#pragma once

#include "Membership/Records.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

struct DirectorySettings {
    // Without a renewal; servers renew every two seconds, and some of the renewals may be lost.
    Common::Milliseconds suspectAfter { 10'000 };
    Common::Milliseconds removeAfter { 20'000 };
    Common::Milliseconds advertiseTombstones { 60'000 }; // Then they are kept, but no longer told to others.
    Common::Milliseconds keepTombstones { 600'000 }; // Bounds how late an old announcement can still be recognised.
};

struct ServerEntry {
    ServerRecord record;
    uint64_t heardSequence { 0 }; // The highest that any announcement or renewal brought here.
    Common::TimePoint renewed; // When this instance last heard of the server, or began to answer for it.
    Common::TimePoint changed;
    Summary summary;
};

struct InstanceEntry {
    InstanceRecord record;
    Common::TimePoint changed;
    Summary summary;
};

// What one instance knows of backend servers and of its fellow instances. Merging is a join: order and repetition of
// records do not matter.
struct Directory {
    std::unordered_map<Common::BackendServerId, ServerEntry> servers;
    std::unordered_map<Common::InstanceId, InstanceEntry> instances;
    uint64_t generation { 0 }; // Rises with each change, so that what was computed from it can be kept until then.
};

// Takes the record in if it supersedes what is known.
std::optional<Change> merge(Directory&, const ServerRecord&, Common::TimePoint now);
std::optional<Change> merge(Directory&, const InstanceRecord&, Common::TimePoint now);

enum class AnnounceStatus {
    Accepted,
    Stale, // Older than what is known; nothing changed.
    RaiseIncarnation, // Its incarnation was removed: the server has to announce itself with a higher one.
};

struct AnnounceResult {
    AnnounceStatus status { AnnounceStatus::Accepted };
    std::optional<Change> change; // Absent if the announcement only renews.
    // Set if another instance vouches for the server: it has to hear of the renewal.
    std::optional<Common::InstanceId> forwardRenewalTo;
};

// Takes in an announcement that self heard from the server.
AnnounceResult announce(Directory&, const Announcement&, const Common::InstanceId& self, Common::TimePoint now);

// The mere fact that the server is still there, passed on to the owner by the instance that heard it.
struct Renewal {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 };

    friend bool operator==(const Renewal&, const Renewal&) = default;
};

std::optional<Change> renew(Directory&, const Renewal&, const Common::InstanceId& self, Common::TimePoint now);

// Whether the instance is there to vouch for servers and to hear of their renewals.
bool isUsable(const Directory&, const Common::InstanceId&);

// Suspects and, if mayRemove, removes servers whose renewals stopped and for which self answers: those that it owns,
// and its part of those whose owner was lost. Forgets old tombstones.
std::vector<Change> expire(
    Directory&, const DirectorySettings&, const Common::InstanceId& self, bool mayRemove, Common::TimePoint now);
// Counts the silence of all servers and suspects from now on: for an instance that could hear nothing for a while.
void restartSilence(Directory&, Common::TimePoint now);

struct Candidate {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    Common::Address address;
    Common::FailureDomain domain;
    ServerState state { ServerState::Ready };
    bool isSuspect { false };
    std::vector<Common::ShardId> shards; // Of the version that was asked for, sorted.

    friend bool operator==(const Candidate&, const Candidate&) = default;
};

// The servers of the group that hold shards of the version, by id, without those that are leaving or gone.
// Looks at the whole directory: keep the result until the generation changes.
std::vector<Candidate> candidates(const Directory&, const Common::GroupName&, Common::IndexVersion);
// The same for a group without an index: all that are neither leaving nor gone.
std::vector<Candidate> candidates(const Directory&, const Common::GroupName&);

} // namespace Membership
