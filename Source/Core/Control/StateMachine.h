#pragma once

#include "Control/Command.h"
#include "Control/Configuration.h"
#include "Once/Claims.h"

#include <variant>

namespace Control {

// The log shard that carries the configuration; those from 1 carry claims.
inline const Common::LogShardId configurationShard { 0 };

// What one log shard replicates.
using ShardState = std::variant<Configuration, Once::Claims>;

ShardState makeShardState(Common::LogShardId, const ConfigurationLimits& = {}, const Once::Settings& = {});

// Applies one committed command. A command of the other kind of shard changes nothing and is refused with reason
// InvalidInput.
CommandOutcome applyCommand(ShardState&, const Command&);

// Where a command belongs when claims are spread over logShards shards; nothing for Orphan and Expire, which go to all
// of them.
std::optional<Common::LogShardId> shardOf(const Command&, uint32_t logShards);

} // namespace Control
