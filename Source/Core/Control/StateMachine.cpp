#include "Control/StateMachine.h"

namespace Control {

namespace {

    CommandRefused refuseWrongShard()
    {
        return { Common::makeError(Common::Reason::InvalidInput, "apply", "the command belongs to another log shard") };
    }

    struct ClaimsVisitor {
        Once::Claims& claims;

        CommandOutcome operator()(const Change&) const { return refuseWrongShard(); }
        CommandOutcome operator()(const HolderChange&) const { return refuseWrongShard(); }
        CommandOutcome operator()(const Once::Claim& claim) const { return Once::apply(claims, claim); }
        CommandOutcome operator()(const Once::Outcome& outcome) const { return Once::apply(claims, outcome); }
        CommandOutcome operator()(const Once::Orphan& orphan) const
        {
            Once::apply(claims, orphan);
            return Acknowledged {};
        }
        CommandOutcome operator()(const Once::Expire& expire) const
        {
            Once::apply(claims, expire);
            return Acknowledged {};
        }
    };

} // namespace

ShardState makeShardState(Common::LogShardId shard, const ConfigurationLimits& limits, const Once::Settings& settings)
{
    if (shard == configurationShard) {
        Configuration configuration;
        configuration.limits = limits;
        return configuration;
    }
    Once::Claims claims;
    claims.settings = settings;
    return claims;
}

CommandOutcome applyCommand(ShardState& state, const Command& command)
{
    if (auto* claims = std::get_if<Once::Claims>(&state))
        return std::visit(ClaimsVisitor { *claims }, command);
    auto& configuration = std::get<Configuration>(state);
    if (const auto* change = std::get_if<Change>(&command))
        return applyChange(configuration, *change);
    const auto* holders = std::get_if<HolderChange>(&command);
    if (!holders)
        return refuseWrongShard();
    applyChange(configuration.holders, *holders);
    return Acknowledged {};
}

std::optional<Common::LogShardId> shardOf(const Command& command, uint32_t logShards)
{
    if (std::holds_alternative<Change>(command) || std::holds_alternative<HolderChange>(command))
        return configurationShard;
    if (const auto* claim = std::get_if<Once::Claim>(&command))
        return Once::logShardOf(claim->id, logShards);
    if (const auto* outcome = std::get_if<Once::Outcome>(&command))
        return Once::logShardOf(outcome->id, logShards);
    return std::nullopt;
}

} // namespace Control
