#pragma once

#include "Control/Change.h"
#include "Control/LeaseHolders.h"
#include "Once/Commands.h"

#include <variant>

namespace Control {

// An entry of a replicated log. Change and HolderChange go to log shard 0, the others to the log shards of claims.
using Command = std::variant<Change, Once::Claim, Once::Outcome, Once::Orphan, Once::Expire, HolderChange>;

// The outcome of Orphan, Expire and HolderChange.
struct Acknowledged {
    friend bool operator==(const Acknowledged&, const Acknowledged&) = default;
};

// The command can't be decoded or belongs to another log shard. It had no effect.
struct CommandRefused {
    Common::Error error;
};

// The result of applying a command.
using CommandOutcome
    = std::variant<ChangeOutcome, Once::ClaimOutcome, Once::RecordResult, Acknowledged, CommandRefused>;

} // namespace Control
