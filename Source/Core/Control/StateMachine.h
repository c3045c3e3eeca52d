#pragma once

#include "Control/Command.h"
#include "Control/Configuration.h"
#include "Once/Claims.h"

#include <variant>

namespace Control {

// The log shard of the configuration. The shards from 1 on hold claims.
inline const Common::LogShardId configurationShard { 0 };

// The state machine of one log shard.
using ShardState = std::variant<Configuration, Once::Claims>;

ShardState makeShardState(Common::LogShardId, const ConfigurationLimits& = {}, const Once::Settings& = {});

// Applies one committed command. A command for the other kind of shard has no effect and is refused with InvalidInput.
CommandOutcome applyCommand(ShardState&, const Command&);

// Returns the log shard of a command if claims are spread over `logShards` shards; nothing for Orphan and Expire, which
// go to all of them.
std::optional<Common::LogShardId> shardOf(const Command&, uint32_t logShards);

} // namespace Control
