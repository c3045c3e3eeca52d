#pragma once

#include "Once/Commands.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Once {

// Bounds on the state of one log shard. They are part of the replicated state: all replicas use the same.
//
// Memory: a record takes some 500 bytes and its names, a forgotten id tombstoneBytes, or nothing if it is a UUID of
// version 7 (see idTime). Kept bodies come to maximumKeptBytes at most, and those of claims that ran meanwhile.
struct Settings {
    uint64_t retentionMs { 86'400'000 }; // How long a settled record is kept whole.
    uint64_t maximumRecords { 200'000 };
    uint64_t maximumTombstones { 8'000'000 };
    uint64_t maximumBodyBytes { 16'384 }; // A longer body is answered once and not kept.
    uint64_t maximumKeptBytes { 67'108'864 }; // Of all bodies together; then new ids are refused.

    friend bool operator==(const Settings&, const Settings&) = default;
};

inline constexpr uint64_t tombstoneBytes = 8;

enum class RecordState {
    Released, // No attempt holds the claim.
    Running,
    Unknown,
    Done,
};

struct Record {
    Common::RouteName route;
    Common::Fingerprint body;
    AttemptRef by; // Who holds or held the claim.
    RecordState state { RecordState::Running };
    bool claimed { true }; // False while only a NotRun has been heard of: then route and body are not known yet.
    bool reportedUnknown { false }; // The owner itself said Unknown, so it cannot prove later that it did not run.
    LogTime settledAt; // Log time when it left Running.
    std::optional<Done> done;
    std::vector<AttemptRef> ended; // The latest attempts that gave up; they may not claim again.

    friend bool operator==(const Record&, const Record&) = default;
};

// The claims of one log shard. Change it by apply() only.
struct Claims {
    Settings settings;
    LogTime logTime;
    std::unordered_map<Common::RequestId, Record> records;
    std::unordered_map<Common::InstanceId, Common::Incarnation> orphaned; // The highest orphaned incarnation.
    std::vector<uint64_t> tombstones; // Sorted hashes of ids that were forgotten.

    // Derived from the records by rebuildIndexes().
    std::unordered_map<Common::InstanceId, std::unordered_set<Common::RequestId>> runningByOwner;
    struct Settled {
        LogTime at;
        Common::RequestId id;
    };
    uint64_t keptBytes { 0 }; // Of all bodies.
    std::deque<Settled> settled; // In order of log time; entries of records that changed since are skipped.
};

// An id belongs to one route and one body: with another of either it is refused, never run.
//
// Retention: a settled record older than the retention is dropped. Its id is still never run again: an id that is a
// UUID of version 7 carries its time, and one whose time is before the horizon (log time less the retention) is
// refused as Expired without any state; all other ids leave a tombstone. When there is no room for tombstones,
// records stay; when there is no room for records or bodies, new ids are refused as Full. Running claims do not expire.
// One Expire drops some 20,000 records at most, the oldest first; the next ones drop the rest.
ClaimOutcome apply(Claims&, const Claim&);
RecordResult apply(Claims&, const Outcome&);
void apply(Claims&, const Orphan&);
void apply(Claims&, const Expire&);

// Each owner with running claims, with the highest incarnation of them.
std::vector<Orphan> runningOwners(const Claims&);

// Makes the derived members again after the others were filled from a snapshot.
void rebuildIndexes(Claims&);

// The time within a UUID of version 7; nothing for ids of another form.
std::optional<LogTime> idTime(const Common::RequestId&);

// Which of logShards log shards holds the claims of an id, from 1; logShards is above 0. Shard 0 holds the
// configuration.
Common::LogShardId logShardOf(const Common::RequestId&, uint32_t logShards);

} // namespace Once
