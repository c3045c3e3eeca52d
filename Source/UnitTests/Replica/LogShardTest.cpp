#include "Replica/TestGroup.h"

#include <gtest/gtest.h>

#include <thread>

using Common::Reason;

namespace {

void proposeMany(TestGroup& group, const std::string& prefix, int count)
{
    for (int i = 0; i < count; ++i) {
        std::string command = prefix + std::to_string(i);
        auto result = group.propose(command);
        ASSERT_TRUE(result) << result.error();
        EXPECT_EQ(result.value(), "done " + command);
    }
}

bool allHold(TestGroup& group, size_t count)
{
    return group.await([&] {
        auto first = group.applied(0);
        return first.size() == count && group.applied(1) == first && group.applied(2) == first;
    });
}

} // namespace

TEST(LogShard, KeepsStateThroughLeaderLossRestartAndLostFolder)
{
    TestGroup group("log-shard");
    proposeMany(group, "a", 50);
    size_t leader = *group.awaitLeader();
    group.stop(leader);
    proposeMany(group, "b", 600); // More than snapshotEvery entries.
    group.start(leader);
    EXPECT_TRUE(allHold(group, 650));

    group.stop(leader);
    group.removeFolder(leader);
    group.start(leader);
    EXPECT_TRUE(allHold(group, 650));
    auto status = [&] { return group.shard(leader).status(); };
    EXPECT_TRUE(group.await([&] { return status().role != Replica::Role::Learner; }));
    EXPECT_TRUE(group.await([&] { return status().learners.empty() && status().voters.size() == 3; }));

    // Another member fails right after the first one has recovered.
    group.stop((leader + 1) % 3);
    proposeMany(group, "c", 20);
    group.start((leader + 1) % 3);
    EXPECT_TRUE(allHold(group, 670));
}

TEST(LogShard, RestartsAllMembersWithTheSameState)
{
    TestGroup group("restart-all");
    proposeMany(group, "a", 700);
    EXPECT_TRUE(allHold(group, 700));
    auto before = group.applied(0);
    for (size_t i = 0; i < 3; ++i)
        group.stop(i);
    for (size_t i = 0; i < 3; ++i)
        group.start(i);
    proposeMany(group, "b", 1);
    EXPECT_TRUE(allHold(group, 701));
    before.emplace_back("b0");
    EXPECT_EQ(group.applied(0), before);
}

TEST(LogShard, TransfersLeadershipAndConfirmsReads)
{
    TestGroup group("hand-over");
    proposeMany(group, "a", 10);
    size_t leader = *group.awaitLeader();
    auto read = group.confirmRead(leader);
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(group.applied(leader).size(), 10u);
    EXPECT_GE(group.shard(leader).status().applied, read.value());

    group.shard(leader).transferLeadership();
    EXPECT_NE(group.shard(leader).status().role, Replica::Role::Leader);
    EXPECT_EQ(group.confirmRead(leader).error().reason, Reason::Unavailable);
    proposeMany(group, "b", 1);
}

TEST(LogShard, ReportsAnUnknownOutcomeAndStepsDownWithoutQuorum)
{
    TestGroup group("no-quorum");
    proposeMany(group, "a", 5);
    size_t leader = *group.awaitLeader();
    for (size_t i = 0; i < 3; ++i) {
        if (i != leader)
            group.stop(i);
    }
    auto result = group.propose("lost");
    EXPECT_EQ(result.error().reason, Reason::ConnectionLost);
    EXPECT_NE(group.shard(leader).status().role, Replica::Role::Leader);
}

TEST(LogShard, AcknowledgesWhileTheLeadersDiskStalls)
{
    TestGroup group("stalled-sync");
    proposeMany(group, "a", 5);
    size_t stalled = *group.awaitLeader();
    group.stallSyncs(stalled, true);
    auto began = std::chrono::steady_clock::now();
    // The stalled leader may hold the command already.
    auto first = group.propose("first");
    EXPECT_TRUE(first || first.error().reason == Reason::ConnectionLost);
    proposeMany(group, "b", 5);
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(5));
    EXPECT_NE(*group.awaitLeader(), stalled);
    auto status = group.shard(stalled).status();
    ASSERT_TRUE(status.oldestWriteAt && status.currentAt);
    EXPECT_GT(Common::Clock::now() - *status.oldestWriteAt, Common::Milliseconds(400));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_GT(Common::Clock::now() - *group.shard(stalled).status().currentAt, Common::Milliseconds(500));
    group.stallSyncs(stalled, false);
    EXPECT_TRUE(
        group.await([&] { return group.applied(0) == group.applied(1) && group.applied(1) == group.applied(2); }));
    EXPECT_TRUE(group.await([&] {
        auto now = Common::Clock::now();
        return now - *group.shard(stalled).status().currentAt < Common::Milliseconds(300);
    }));
}

TEST(LogShard, StopsAfterAFailedSync)
{
    TestGroup group("failed-sync");
    proposeMany(group, "a", 5);
    size_t leader = *group.awaitLeader();
    group.failSyncs(leader);
    EXPECT_EQ(group.propose("doubtful").error().reason, Reason::ConnectionLost);
    EXPECT_TRUE(group.shard(leader).status().storageFailed);
    EXPECT_NE(group.shard(leader).status().role, Replica::Role::Leader);
    proposeMany(group, "b", 5);
    EXPECT_NE(*group.awaitLeader(), leader);
}
