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
    Raise, // Of a route table: in force if its number is higher than that of the stored one; else nothing changes.
};

// What an operator wants changed. madeFrom is the version of the resource that the change was made from, 0 for a
// create and a raise.
struct Change {
    Common::ChangeId id;
    Action action { Action::Create };
    Model::ResourceKey key;
    std::optional<Model::Resource> resource; // Nothing for a delete.
    Common::Revision madeFrom;

    friend bool operator==(const Change&, const Change&) = default;
};

// A resource with its version: the revision at which it was last changed, and the change that did it.
struct StoredResource {
    Model::Resource resource;
    Common::Revision version;
    Common::ChangeId changedBy;

    friend bool operator==(const StoredResource&, const StoredResource&) = default;
};

struct Accepted {
    Common::Revision revision; // Also the version of the resource, old if a raise was overtaken.

    friend bool operator==(const Accepted&, const Accepted&) = default;
};

// Nothing was changed. For a lost race the winner is shown: its change id, and the resource unless it was deleted.
struct Rejected {
    Common::Error error;
    std::optional<StoredResource> winner;
    std::optional<Common::ChangeId> winnerChange;
};

using ChangeOutcome = std::variant<Accepted, Rejected>;

// "create", "replace", "delete", "raise".
const char* actionName(Action);

// The same for equal changes on every machine.
Common::Fingerprint fingerprintOf(const Change&);

} // namespace Control
