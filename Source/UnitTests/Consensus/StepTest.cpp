#include "Consensus/FakeCluster.h"
#include "Consensus/Membership.h"

#include <gtest/gtest.h>

using Common::InstanceId;
using Common::LogIndex;
using Common::Milliseconds;
using Common::Term;
using Common::TimePoint;
using Consensus::MemberId;
using Consensus::StorageId;

namespace {

MemberId member(const char* instance, uint64_t storage) { return { InstanceId(instance), StorageId(storage) }; }

// A voter of a group of three, with an empty term 1.
Consensus::State voter(const char* instance, uint64_t storage)
{
    Consensus::Options options;
    options.self = member(instance, storage);
    options.initialVoters = { InstanceId("a"), InstanceId("b"), InstanceId("c") };
    Consensus::Entry first { .index = LogIndex(1), .term = Term(1), .kind = Consensus::EntryKind::Membership };
    first.membership
        = { Consensus::GroupId(1), { { member("a", 1), true }, { member("b", 2), true }, { member("c", 3), true } } };
    Consensus::Recovered recovered { { Term(1), {} }, nullptr, { std::make_shared<const Consensus::Entry>(first) } };
    return makeState(options, recovered, 7, TimePoint());
}

Consensus::Event voteRequest(const MemberId& from, const MemberId& to)
{
    return Consensus::Receive { { from, to, Consensus::GroupId(1), Term(2),
        Consensus::VoteRequest { .lastIndex = LogIndex(1), .lastTerm = Term(1) } } };
}

} // namespace

TEST(Step, VoteWaitsForTheDisk)
{
    Consensus::State state = voter("b", 2);
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty());
    ASSERT_EQ(effects.messagesAfterWrites.size(), 1u);
    EXPECT_TRUE(std::get<Consensus::VoteReply>(effects.messagesAfterWrites[0].body).granted);
    ASSERT_TRUE(effects.write && effects.write->hard);
    EXPECT_EQ(effects.write->hard->vote, member("a", 1));
}

TEST(Step, MemberThatLostItsDiskDoesNotVoteUnderItsOldIdentity)
{
    Consensus::State state = voter("b", 99);
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty() && effects.messagesAfterWrites.empty() && !effects.write);
}

TEST(Step, OneVoteATerm)
{
    Consensus::State state = voter("b", 2);
    step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    auto effects = step(state, voteRequest(member("c", 3), member("b", 2)), TimePoint());
    ASSERT_EQ(effects.messagesAfterWrites.size(), 1u);
    EXPECT_FALSE(std::get<Consensus::VoteReply>(effects.messagesAfterWrites[0].body).granted);
}

TEST(Step, FailedStorageSilencesTheMember)
{
    Consensus::State state = voter("b", 2);
    step(state, Consensus::StorageFailed {}, TimePoint());
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty() && effects.messagesAfterWrites.empty() && !effects.write);
}

TEST(Group, FormsOnceAllFoldersAreNew)
{
    FakeCluster cluster(1, 3);
    cluster.checkConverged();
    EXPECT_TRUE(cluster.history().violations().empty());
}

TEST(Group, IsNotFormedWhileAVoterIsAway)
{
    FakeCluster cluster(2, 3);
    cluster.kill(2, false);
    cluster.run(Milliseconds(5000));
    EXPECT_FALSE(cluster.leader());
    EXPECT_EQ(cluster.history().last(), LogIndex(0));
}

TEST(Group, LeaderCutOffStepsDownByItself)
{
    FakeCluster cluster(3, 3);
    cluster.checkConverged();
    size_t old = *cluster.leader();
    for (size_t i = 0; i < 3; ++i) {
        if (i != old)
            cluster.kill(i, false);
    }
    cluster.run(Milliseconds(600));
    EXPECT_FALSE(cluster.leader());
}

// Each member in turn loses its disk, and the next one does so as soon as the one before has its vote again.
TEST(Group, OutlivesLostDisksOneRightAfterAnother)
{
    FakeCluster cluster(4, 3);
    cluster.checkConverged();
    for (size_t i = 0; i < 9; ++i) {
        size_t lost = i % 3;
        cluster.kill(lost, true);
        cluster.run(Milliseconds(300));
        cluster.restart(lost);
        for (int n = 0; n < 200 && !cluster.mayLoseDisk(); ++n)
            cluster.run(Milliseconds(50));
        ASSERT_TRUE(cluster.mayLoseDisk()) << "round " << i;
    }
    cluster.checkConverged();
    for (const std::string& it : cluster.history().violations())
        ADD_FAILURE() << it;
}
