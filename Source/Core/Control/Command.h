#pragma once

#include "Control/Change.h"
#include "Control/Holders.h"
#include "Once/Commands.h"

#include <variant>

namespace Control {

// What the replicated logs carry. A Change and a HolderChange go to log shard 0, the others to the log shards of
// claims.
using Command = std::variant<Change, Once::Claim, Once::Outcome, Once::Orphan, Once::Expire, HolderChange>;

// Orphan, Expire and HolderChange.
struct Acknowledged {
    friend bool operator==(const Acknowledged&, const Acknowledged&) = default;
};

// The command can't be read or belongs to another log shard. Nothing was changed.
struct CommandRefused {
    Common::Error error;
};

// The answer to a command.
using CommandOutcome
    = std::variant<ChangeOutcome, Once::ClaimOutcome, Once::RecordResult, Acknowledged, CommandRefused>;

} // namespace Control
