#include "Consensus/FakeCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <vector>

using Common::Milliseconds;

namespace {

constexpr uint64_t runs = 100;
constexpr size_t seedCount = 3;
constexpr Milliseconds formTime { 8'000 };
constexpr Milliseconds downTime { 3'000 };
// Until then a member that lost its disk counts as lost, and others must not be.
constexpr Milliseconds catchUpTime { 4'000 };
constexpr Milliseconds pauseTime { 300 };
constexpr Milliseconds stepTime { 1 };
constexpr int leaderTries = 20;

struct Loss {
    size_t members;
    size_t disks;
    bool isThirdRestarting;
};

Milliseconds timeUntil(FakeCluster& cluster, Milliseconds limit, const std::function<bool()>& condition)
{
    Milliseconds time;
    for (; time < limit && !condition(); time += stepTime)
        cluster.run(stepTime);
    return time;
}

// Kills leaders until a member that is no seed leads.
void formWithoutSeedAsLeader(FakeCluster& cluster)
{
    auto isFormed = [&] { return cluster.allMembersVote() && cluster.leader().has_value(); };
    timeUntil(cluster, formTime, isFormed);
    for (int i = 0; i < leaderTries && cluster.leader() && *cluster.leader() < seedCount; ++i) {
        size_t leader = *cluster.leader();
        cluster.kill(leader, false);
        timeUntil(cluster, formTime, [&] { return cluster.leader().has_value(); });
        cluster.restart(leader);
        cluster.run(catchUpTime);
    }
    ASSERT_TRUE(isFormed());
    ASSERT_GE(*cluster.leader(), seedCount);
}

// The longest times from a start with an empty disk.
struct Steps {
    Milliseconds groupFound;
    Milliseconds admitted;
    Milliseconds voting;
};

void loseSeeds(FakeCluster& cluster, const Loss& loss, uint64_t seed, Steps& longest)
{
    std::vector<size_t> lost { seed % seedCount, (seed + 1) % seedCount, (seed + 2) % seedCount };
    lost.resize(loss.disks);
    for (size_t member : lost)
        cluster.kill(member, true);
    cluster.run(downTime);
    size_t third = (seed + 2) % seedCount;
    if (loss.isThirdRestarting)
        cluster.kill(third, false);
    for (size_t member : lost)
        cluster.restart(member);
    Milliseconds time;
    auto record = [&](Milliseconds& step, const std::function<bool(const Consensus::State&)>& isDone) {
        if (!std::all_of(lost.begin(), lost.end(), [&](size_t member) { return isDone(cluster.state(member)); }))
            step = std::max(step, time + stepTime);
    };
    for (; time < catchUpTime && !cluster.allMembersVote(); time += stepTime) {
        record(longest.groupFound, [](auto& state) { return !state.namedMembers.empty(); });
        record(longest.admitted, [](auto& state) { return membershipIndex(state) != Common::LogIndex(0); });
        if (loss.isThirdRestarting && time == pauseTime)
            cluster.restart(third);
        cluster.run(stepTime);
    }
    longest.voting = std::max(longest.voting, time);
    ASSERT_TRUE(cluster.allMembersVote());
}

void measureAdmission(const Loss& loss)
{
    Steps longest;
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster(seed, loss.members, seedCount);
        cluster.keepDelays();
        ASSERT_NO_FATAL_FAILURE(formWithoutSeedAsLeader(cluster)) << "seed " << seed;
        ASSERT_NO_FATAL_FAILURE(loseSeeds(cluster, loss, seed, longest))
            << "seed " << seed << ", " << loss.members << " members, " << loss.disks << " disks";
    }
    std::printf("%zu members, %zu disks lost%s: group found after %.0f ms, admitted after %.0f ms, voting after "
                "%.0f ms\n",
        loss.members, loss.disks, loss.isThirdRestarting ? ", a third one restarting" : "", longest.groupFound.value(),
        longest.admitted.value(), longest.voting.value());
}

} // namespace

// Guards against members with empty disks that stay outside of the group because they hear only of each other: their
// seeds are each other's, none of these leads, and the replies arrive in the same order each time.
TEST(Admission, EmptySeedsVoteBeforeOthersMayBeLost)
{
    measureAdmission({ 5, 1, false });
    measureAdmission({ 5, 2, false });
    measureAdmission({ 5, 2, true });
    measureAdmission({ 7, 1, false });
    measureAdmission({ 7, 2, true });
}

// Guards against a group that admits nobody because all seeds have lost their disks and know no member.
TEST(Admission, AllSeedsVoteAgainAfterTheLossOfTheirDisks) { measureAdmission({ 7, 3, false }); }
