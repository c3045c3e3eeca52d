#pragma once

#include "Control/Change.h"
#include "Control/Holders.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Control {

// Bounds on the state. They are part of the replicated state: all replicas use the same.
struct ConfigurationLimits {
    uint64_t rememberedChanges { 4'096 }; // Change ids whose first answer is kept, the latest ones.
    uint64_t history { 4'096 }; // Revisions that a follower may be behind before it gets a whole copy.

    friend bool operator==(const ConfigurationLimits&, const ConfigurationLimits&) = default;
};

// One accepted change as followers see it: no resource means deleted.
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

// The replicated configuration. Change it by applyChange() only.
struct Configuration {
    ConfigurationLimits limits;
    Common::Revision revision;
    std::map<Model::ResourceKey, StoredResource> resources;
    std::deque<Delta> history; // The latest revisions, without gaps; the last one is `revision`.
    std::deque<RememberedChange> remembered; // Oldest first.
    Holders holders; // Of leases on the configuration. Not a resource: they take no revision.

    // Derived from `remembered` by rebuildIndexes(): the place of an id, counted from the first change ever remembered.
    std::unordered_map<Common::ChangeId, uint64_t> rememberedAt;
    uint64_t forgotten { 0 };
};

// Decides one change. Of changes made from equal versions the first in the log wins. A resent change id gets its first
// answer, whatever it was; the same id with another body is refused as a Conflict.
//
// An id older than the remembered ones is judged as a new change. Versions never come back, so its replace or delete
// can't apply twice: it gets a Conflict or NotFound. Its create gets a Conflict that shows the resource, unless that
// was deleted since: then it would create it again. So the window must outlast resends.
//
// A change without a valid id is refused and not remembered.
ChangeOutcome applyChange(Configuration&, const Change&);

const StoredResource* find(const Configuration&, const Model::ResourceKey&);
std::vector<StoredResource> list(const Configuration&, Model::Kind);

// What a follower lacks. A whole copy replaces all that the follower has; otherwise the deltas, at most one a key and
// in order of revision, lead from `from` to `revision`.
struct Changes {
    bool whole { false };
    Common::Revision from;
    Common::Revision revision;
    std::vector<Delta> deltas;

    friend bool operator==(const Changes&, const Changes&) = default;
};

// A follower that is further on than this replica gets no deltas and a lower revision, which it ignores.
Changes changesSince(const Configuration&, Common::Revision);

// Makes the derived members again after the others were filled from a snapshot.
void rebuildIndexes(Configuration&);

} // namespace Control
