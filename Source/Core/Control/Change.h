#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Model/Resources.h"

#include <optional>
#include <variant>

namespace Control {

enum class Action {
    Create,
    Replace,
    Delete,
    Raise, // Route tables only: replaces the stored table if the new number is higher, otherwise changes nothing.
    // Evacuations only: stores the resource, unless an equal one is stored. Only in the logs of earlier versions.
    Assign,
    // Evacuations only: stores the resource as a new version, also if an equal one is stored, so that commands which
    // were made from the earlier version are refused. Unlike a replace, may be made from the absence of the resource.
    AssignFrom,
};

// The last value, by which decoders recognise actions of later versions.
inline constexpr Action lastAction = Action::AssignFrom;

// A change requested by an operator, with optimistic concurrency control: madeFrom is the version of the resource that
// the change is based on, 0 for a create, a raise and an assign, and if an assign-from knows no version.
struct Change {
    Common::ChangeId id;
    Action action { Action::Create };
    Model::ResourceKey key;
    std::optional<Model::Resource> resource; // Absent for a delete.
    Common::Revision madeFrom;

    friend bool operator==(const Change&, const Change&) = default;
};

// A resource with its version (the revision of its last change) and the id of that change.
struct StoredResource {
    Model::Resource resource;
    Common::Revision version;
    Common::ChangeId changedBy;

    friend bool operator==(const StoredResource&, const StoredResource&) = default;
};

struct Accepted {
    Common::Revision revision; // The version of the resource; an earlier one if a raise or an assign changed nothing.

    friend bool operator==(const Accepted&, const Accepted&) = default;
};

// The change had no effect. After a version conflict, holds the change id that won and, unless that change deleted it,
// the stored resource.
struct Rejected {
    Common::Error error;
    std::optional<StoredResource> winner;
    std::optional<Common::ChangeId> winnerChange;
};

using ChangeOutcome = std::variant<Accepted, Rejected>;

// Returns "create", "replace", "delete", "raise", "assign" or "assign-from".
const char* actionName(Action);

// Hashes the whole change. Equal changes have equal fingerprints on every machine.
Common::Fingerprint fingerprintOf(const Change&);

} // namespace Control
