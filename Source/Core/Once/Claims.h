#pragma once

#include "Once/Commands.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Once {

// Limits on the state of one log shard. They are part of the replicated state, so all replicas use the same values.
//
// Memory: a record takes about 500 bytes plus its names. The tombstone of a dropped id takes tombstoneBytes, or nothing
// if the id is a UUID of version 7 (see idTime). Kept bodies take at most maximumKeptBytes, plus the bodies of claims
// that were already running when that limit was reached.
struct Settings {
    uint64_t retentionMs { 86'400'000 }; // How long a settled record is kept with its body.
    uint64_t maximumRecords { 200'000 };
    uint64_t maximumTombstones { 8'000'000 };
    uint64_t maximumBodyBytes { 16'384 }; // A longer body is returned once and not stored.
    uint64_t maximumKeptBytes { 67'108'864 }; // Of all stored bodies; above it new ids are refused.

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
    bool claimed { true }; // False if a NotRun created the record: route and body are not known yet.
    bool reportedUnknown { false }; // The owner reported Unknown, so a later NotRun of it is not accepted.
    LogTime settledAt; // Log time when it left Running.
    std::optional<Done> done;
    std::vector<AttemptRef> ended; // The latest abandoned attempts; they may not claim again.

    friend bool operator==(const Record&, const Record&) = default;
};

// The claims of one log shard. Modified only through apply().
struct Claims {
    Settings settings;
    LogTime logTime;
    std::unordered_map<Common::RequestId, Record> records;
    std::unordered_map<Common::InstanceId, Common::Incarnation> orphaned; // The highest orphaned incarnation.
    std::vector<uint64_t> tombstones; // Sorted hashes of the ids of dropped records.

    // Derived from the records by rebuildIndexes().
    std::unordered_map<Common::InstanceId, std::unordered_set<Common::RequestId>> runningByOwner;
    struct Settled {
        LogTime at;
        Common::RequestId id;
    };
    uint64_t keptBytes { 0 }; // Of all bodies.
    std::deque<Settled> settled; // In order of log time; entries whose record changed later are skipped.
};

// An id belongs to one route and one body. A claim of the id with another route or body is refused and never run.
//
// Retention: a settled record older than the retention is dropped, but its id is never run again. A UUID of version 7
// carries its creation time: if that time is before the expiry horizon (log time minus the retention), the id is
// refused as Expired without any state. Every other id leaves a tombstone. When the tombstone limit is reached, records
// are kept; when the limit on records or bodies is reached, new ids are refused as Full. Running claims do not expire.
// One Expire drops about 20,000 records at most, the oldest first; later ones drop the rest.
ClaimOutcome apply(Claims&, const Claim&);
RecordResult apply(Claims&, const Outcome&);
void apply(Claims&, const Orphan&);
void apply(Claims&, const Expire&);

// Each owner of running claims, with the highest incarnation among these claims.
std::vector<Orphan> runningOwners(const Claims&);

// Rebuilds the derived members after the others were loaded from a snapshot.
void rebuildIndexes(Claims&);

// The timestamp of a UUID of version 7; empty for ids of another form.
std::optional<LogTime> idTime(const Common::RequestId&);

// The log shard that holds the claims of an id, from 1 to logShards, which must be above 0. Shard 0 holds the
// configuration.
Common::LogShardId logShardOf(const Common::RequestId&, uint32_t logShards);

} // namespace Once
