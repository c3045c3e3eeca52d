#include "Control/RandomChanges.h"
#include "Control/StateMachine.h"
#include "Once/RandomClaims.h"
#include "Wire/ControlCodec.h"
#include "Wire/OnceCodec.h"

#include <gtest/gtest.h>

using namespace Control;

namespace {

std::string bytesOf(const CommandOutcome& outcome) { return Wire::encode(outcome); }

// Applies a log to two replicas, one of which restarts from a snapshot at random steps, and compares their outcomes and
// states.
template <typename State, typename Decode, typename NextCommand>
void compareReplicas(State state, Decode decode, NextCommand nextCommand, Common::Random& random, int steps)
{
    ShardState uninterrupted = state;
    ShardState restarting = state;
    for (int i = 0; i < steps; ++i) {
        Command command = nextCommand(std::get<State>(uninterrupted));
        ASSERT_EQ(bytesOf(applyCommand(uninterrupted, command)), bytesOf(applyCommand(restarting, command)))
            << "step " << i;
        if (!random.chance(0.01))
            continue;
        std::string snapshot = Wire::encodeSnapshot(std::get<State>(restarting));
        ASSERT_EQ(snapshot, Wire::encodeSnapshot(std::get<State>(uninterrupted))) << "step " << i;
        auto restored = decode(snapshot);
        ASSERT_TRUE(restored) << restored.error();
        restarting = std::move(restored).value();
    }
}

} // namespace

TEST(Snapshot, RestartedConfigurationReplicaBehavesLikeAnUninterruptedOne)
{
    for (uint64_t seed = 1; seed <= 20 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        RandomChanges changes(seed);
        Configuration configuration;
        configuration.limits = { 50, 20 };
        auto next = [&](const Configuration& current) { return changes.next(current); };
        compareReplicas(configuration, Wire::decodeConfiguration, next, changes.random(), 1'500);
    }
}

TEST(Snapshot, RestartedClaimsReplicaBehavesLikeAnUninterruptedOne)
{
    for (uint64_t seed = 1; seed <= 20 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        RandomClaims commands(seed);
        Once::Claims claims;
        claims.settings = { RandomClaims::retentionMs, 90, 40 + seed, 8, 400 };
        auto next = [&](const Once::Claims&) -> Command {
            return std::visit([](const auto& it) { return Command(it); }, commands.next());
        };
        compareReplicas(claims, Wire::decodeClaims, next, commands.random(), 6'000);
    }
}

TEST(Snapshot, CommandOfAnotherLogShardIsRefused)
{
    ShardState claims = makeShardState(Common::LogShardId(1));
    ShardState configuration = makeShardState(configurationShard);
    EXPECT_TRUE(std::holds_alternative<CommandRefused>(applyCommand(claims, Change {})));
    EXPECT_TRUE(std::holds_alternative<CommandRefused>(applyCommand(configuration, Once::Expire {})));
    EXPECT_EQ(shardOf(Change {}, 4), configurationShard);
    EXPECT_FALSE(shardOf(Once::Expire {}, 4));
    Once::Claim claim { Common::RequestId("id") };
    EXPECT_EQ(shardOf(claim, 1), Common::LogShardId(1));
}
