#pragma once

#include "Control/Change.h"
#include "Control/LeaseHolders.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Control {

// Limits on the size of the state. They are part of the replicated state, so all replicas use the same values.
struct ConfigurationLimits {
    uint64_t rememberedChanges { 4'096 }; // Number of latest change ids whose outcome is kept.
    uint64_t history { 4'096 }; // Revisions that a follower may lag before it gets a full copy.

    friend bool operator==(const ConfigurationLimits&, const ConfigurationLimits&) = default;
};

// An accepted change as sent to followers. An absent resource means that it was deleted.
struct Delta {
    Model::ResourceKey key;
    std::optional<StoredResource> stored;
    Common::Revision revision;
    Common::ChangeId change;

    friend bool operator==(const Delta&, const Delta&) = default;
};

struct RememberedChange {
    Common::ChangeId id;
    Common::Fingerprint body;
    ChangeOutcome outcome;
};

// The replicated configuration. Modified by applyChange() only.
struct Configuration {
    ConfigurationLimits limits;
    Common::Revision revision;
    std::map<Model::ResourceKey, StoredResource> resources;
    std::deque<Delta> history; // The latest revisions without gaps, ending with `revision`.
    std::deque<RememberedChange> remembered; // Oldest first.
    LeaseHolders holders; // Not a resource: a change takes no revision.

    // Derived from `remembered` by rebuildIndexes(): the index of an id, counted from the first change ever remembered.
    std::unordered_map<Common::ChangeId, uint64_t> rememberedIndex;
    uint64_t evictedChanges { 0 };
};

// Applies one change. If several changes are based on the same version, the first in the log wins. A resent change id
// gets the outcome of its first application; the same id with another body is rejected with Conflict.
//
// An id that is no longer remembered is treated as a new change. Versions are never reused, so a replace or delete
// can't apply twice: it gets Conflict or NotFound. A create gets a Conflict with the stored resource, but would create
// the resource again if it was deleted meanwhile. The window of remembered ids must therefore outlast all resends.
//
// A change without a valid id is rejected and not remembered.
ChangeOutcome applyChange(Configuration&, const Change&);

const StoredResource* find(const Configuration&, const Model::ResourceKey&);
std::vector<StoredResource> list(const Configuration&, Model::Kind);

// The evacuated failure domains, sorted, and the revision of the latest change of an evacuation (0: there was none).
struct Evacuations {
    Common::Revision revision;
    std::vector<Common::FailureDomain> domains;

    friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

Evacuations evacuations(const Configuration&);

// An update for a follower. A full copy (`whole`) replaces all of its resources. Otherwise the deltas, at most one per
// key and in order of revision, lead from `from` to `revision`.
struct Changes {
    bool whole { false };
    Common::Revision from;
    Common::Revision revision;
    std::vector<Delta> deltas;

    friend bool operator==(const Changes&, const Changes&) = default;
};

// A follower that is ahead of this replica gets no deltas and a lower revision, which it ignores.
Changes changesSince(const Configuration&, Common::Revision);

// Rebuilds the derived members after the others were restored from a snapshot.
void rebuildIndexes(Configuration&);

} // namespace Control
