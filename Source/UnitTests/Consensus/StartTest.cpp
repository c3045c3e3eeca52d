#include "Consensus/FakeCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <vector>

using Common::Milliseconds;
using Common::Term;

namespace {

constexpr uint64_t runs = 300;
constexpr size_t memberCount = 5;
constexpr size_t majority = 3;
constexpr Milliseconds formTime { 4'000 };
constexpr Milliseconds downTime { 1'000 };
constexpr Milliseconds stepTime { 1 };
// Pre-vote, vote and their disk syncs: four messages of at most 3.5 ms each, and the writes between them.
constexpr Milliseconds messageTime { 40 };

Milliseconds electionTimeout() { return Consensus::Options().electionTimeout; }

Milliseconds timeUntil(FakeCluster& cluster, Milliseconds limit, const std::function<bool()>& condition)
{
    Milliseconds time;
    for (; time < limit && !condition(); time += stepTime)
        cluster.run(stepTime);
    return time;
}

Milliseconds timeToLeader(FakeCluster& cluster)
{
    return timeUntil(cluster, electionTimeout() * 4, [&] { return cluster.leader().has_value(); });
}

void form(FakeCluster& cluster)
{
    timeUntil(cluster, formTime, [&] { return cluster.allMembersVote() && cluster.leader().has_value(); });
    cluster.run(electionTimeout());
    ASSERT_TRUE(cluster.leader().has_value());
}

// Kills all members, and starts the first `count` of a random order again.
Milliseconds timeToLeaderAfterPowerLoss(FakeCluster& cluster, Common::Random& random, size_t count)
{
    std::vector<size_t> order;
    for (size_t i = 0; i < memberCount; ++i)
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(random.below(i + 1)), i);
    for (size_t member : order)
        cluster.kill(member, false);
    cluster.run(downTime);
    for (size_t i = 0; i < count; ++i)
        cluster.restart(order[i]);
    return timeToLeader(cluster);
}

} // namespace

// Guards against a group that waits for a whole election timeout after a power loss, also if only a majority is up and
// the members' first rounds overlap.
TEST(Start, ALeaderIsElectedWithinAThirdOfTheElectionTimeout)
{
    for (size_t count = majority; count <= memberCount; ++count) {
        Milliseconds longest;
        for (uint64_t seed = 1; seed <= runs; ++seed) {
            FakeCluster cluster(seed, memberCount);
            Common::Random random(seed);
            ASSERT_NO_FATAL_FAILURE(form(cluster)) << "seed " << seed;
            Milliseconds took = timeToLeaderAfterPowerLoss(cluster, random, count);
            longest = std::max(longest, took);
            EXPECT_LE(took, electionTimeout() / 3 + messageTime) << "seed " << seed << ", members " << count;
        }
        std::printf("%zu members up: a leader after at most %.0f ms\n", count, longest.value());
    }
}

// Guards against a group that waits for a whole election timeout because the member that completes the majority lacks
// entries and can't be elected itself.
TEST(Start, AMemberWithAnOldLogCompletesTheMajority)
{
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster(seed, memberCount);
        ASSERT_NO_FATAL_FAILURE(form(cluster)) << "seed " << seed;
        size_t leader = *cluster.leader();
        size_t old = (leader + 1) % memberCount;
        cluster.kill(old, false);
        cluster.propose(leader);
        cluster.run(electionTimeout());
        for (size_t member = 0; member < memberCount; ++member) {
            if (member != old)
                cluster.kill(member, false);
        }
        cluster.restart(leader);
        cluster.restart((leader + 2) % memberCount);
        cluster.run(electionTimeout() / 2 + Milliseconds(static_cast<double>(seed)));
        ASSERT_FALSE(cluster.leader().has_value()) << "seed " << seed;
        cluster.restart(old);
        // The first round of the old one, and then one of the others.
        EXPECT_LE(timeToLeader(cluster), electionTimeout() * 2 / 5 + messageTime) << "seed " << seed;
        EXPECT_NE(cluster.leader(), old) << "seed " << seed;
    }
}

// Guards against members that repeat their short first rounds for as long as there is no majority.
TEST(Start, MembersWithoutAMajorityHaveOneFirstRoundEach)
{
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster(seed, memberCount);
        ASSERT_NO_FATAL_FAILURE(form(cluster)) << "seed " << seed;
        for (size_t member = 0; member < memberCount; ++member)
            cluster.kill(member, false);
        cluster.restart(0);
        cluster.restart(1);
        cluster.run(electionTimeout() / 2 + messageTime);
        for (size_t member : { 0, 1 }) {
            EXPECT_FALSE(cluster.state(member).isFirstRoundPending) << "seed " << seed;
            EXPECT_EQ(cluster.state(member).role, Consensus::Role::PreCandidate) << "seed " << seed;
        }
    }
}

// Guards against an early round of a restarted member that deposes an active leader or raises the term.
TEST(Start, ARestartedMemberDoesNotDeposeAnActiveLeader)
{
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster(seed, memberCount);
        ASSERT_NO_FATAL_FAILURE(form(cluster)) << "seed " << seed;
        size_t leader = *cluster.leader();
        Term term = cluster.state(leader).hard.term;
        size_t restarted = (leader + 1 + seed % (memberCount - 1)) % memberCount;
        cluster.kill(restarted, false);
        cluster.run(downTime * (static_cast<double>(seed % 10) / 10));
        cluster.restart(restarted);
        for (Milliseconds time; time < electionTimeout() * 4; time += stepTime) {
            cluster.run(stepTime);
            ASSERT_EQ(cluster.leader(), leader) << "seed " << seed;
        }
        EXPECT_EQ(cluster.state(leader).hard.term, term) << "seed " << seed;
        EXPECT_EQ(cluster.state(restarted).hard.term, term) << "seed " << seed;
    }
}

// Guards against followers that refuse a restarted leader because they still count it as active.
TEST(Start, ALeaderThatRestartsAloneIsReplacedSoon)
{
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster(seed, memberCount);
        ASSERT_NO_FATAL_FAILURE(form(cluster)) << "seed " << seed;
        size_t leader = *cluster.leader();
        cluster.kill(leader, false);
        cluster.run(Milliseconds(20));
        cluster.restart(leader);
        EXPECT_LE(timeToLeader(cluster), electionTimeout() / 3 + messageTime) << "seed " << seed;
        cluster.checkConverged();
        for (const std::string& it : cluster.history().violations())
            ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}
