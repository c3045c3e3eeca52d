#pragma once

#include "Membership/Records.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

struct DirectorySettings {
    // Time without a renewal. Servers renew every two seconds, and some renewals may be lost.
    Common::Milliseconds suspectAfter { 10'000 };
    Common::Milliseconds removeAfter { 20'000 };
    Common::Milliseconds advertiseTombstones { 60'000 }; // Later they are kept but no longer sent to others.
    Common::Milliseconds keepTombstones { 600'000 }; // How long a delayed announcement is still recognised as outdated.
};

struct ServerEntry {
    ServerRecord record;
    uint64_t latestSequence { 0 }; // The highest in any announcement or renewal received here.
    Common::TimePoint renewedAt; // When this instance last received a renewal, or became responsible for the server.
    Common::TimePoint changedAt;
    Summary summary;
};

struct InstanceEntry {
    InstanceRecord record;
    Common::TimePoint changedAt;
    Summary summary;
};

// The backend servers and instances known to one instance. Merging is commutative and idempotent, so the order and
// repetition of records do not matter.
struct Directory {
    std::unordered_map<Common::BackendServerId, ServerEntry> servers;
    std::unordered_map<Common::InstanceId, InstanceEntry> instances;
    uint64_t generation { 0 }; // Incremented on each change, so that derived data can be cached.
};

// Stores the record if it supersedes the known one.
std::optional<Change> merge(Directory&, const ServerRecord&, Common::TimePoint now);
std::optional<Change> merge(Directory&, const InstanceRecord&, Common::TimePoint now);

enum class AnnounceStatus {
    Accepted,
    Stale, // Older than the known record; nothing changed.
    RaiseIncarnation, // This incarnation was removed; the server must announce itself with a higher one.
};

struct AnnounceResult {
    AnnounceStatus status { AnnounceStatus::Accepted };
    std::optional<Change> change; // Absent if the announcement only renews.
    // The owner of the server, if it is another instance. The renewal must be forwarded to it.
    std::optional<Common::InstanceId> forwardRenewalTo;
};

// Applies an announcement that self received from the server.
AnnounceResult announce(Directory&, const Announcement&, const Common::InstanceId& self, Common::TimePoint now);

// A heartbeat of a backend server, forwarded to the owner by the instance that received it.
struct Renewal {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 };

    friend bool operator==(const Renewal&, const Renewal&) = default;
};

std::optional<Change> renew(Directory&, const Renewal&, const Common::InstanceId& self, Common::TimePoint now);

// Whether the instance can own servers and receive their renewals.
bool isUp(const Directory&, const Common::InstanceId&);

// Suspects and, if mayRemove, removes servers without recent renewals for which self is responsible: those that it owns
// and its share of those whose owner was lost. Drops old tombstones.
std::vector<Change> expire(
    Directory&, const DirectorySettings&, const Common::InstanceId& self, bool mayRemove, Common::TimePoint now);
// Restarts the timeouts of all servers and suspects, for an instance that could not receive messages for a while.
void resetSilence(Directory&, Common::TimePoint now);

struct Candidate {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    Common::Address address;
    Common::FailureDomain domain;
    ServerState state { ServerState::Ready };
    bool isSuspect { false };
    std::vector<Common::ShardId> shards; // Of the requested version, sorted.

    friend bool operator==(const Candidate&, const Candidate&) = default;
};

// The servers of the group that hold shards of the version, sorted by id, without those that are leaving or gone.
// Scans the whole directory, so callers should cache the result until the generation changes.
std::vector<Candidate> candidates(const Directory&, const Common::GroupName&, Common::IndexVersion);
// The same for a group without an index: all servers that are neither leaving nor gone.
std::vector<Candidate> candidates(const Directory&, const Common::GroupName&);

} // namespace Membership
