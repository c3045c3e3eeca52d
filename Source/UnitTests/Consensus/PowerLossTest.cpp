#include "Consensus/FakeCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

using Common::Milliseconds;

namespace {

constexpr uint64_t runs = 200;
constexpr int losses = 3;
constexpr size_t memberCount = 5;
constexpr size_t toleratedDisks = 2;
constexpr Milliseconds downTime { 1'000 };
// Until then a member whose disk was lost counts as lost, and another one must not lose its disk.
constexpr Milliseconds catchUpTime { 4'000 };
constexpr Milliseconds recoveryTime { 12'000 };
constexpr Milliseconds stepTime { 1 };

bool runUntil(FakeCluster& cluster, Milliseconds limit, const std::function<bool()>& condition)
{
    for (Milliseconds time; time < limit; time += stepTime) {
        if (condition())
            return true;
        cluster.run(stepTime);
    }
    return condition();
}

// Loses power while commands are proposed, right after one was acknowledged or some time after it was sent.
void losePower(FakeCluster& cluster, Common::Random& random)
{
    size_t before = cluster.history().acknowledgedCount();
    cluster.propose(*cluster.leader());
    if (random.chance(0.5))
        ASSERT_TRUE(runUntil(cluster, recoveryTime, [&] { return cluster.history().acknowledgedCount() > before; }));
    else
        cluster.run(Milliseconds(5 + 395 * random.unit()));
    std::vector<size_t> lost;
    while (lost.size() < toleratedDisks) {
        size_t member = random.below(memberCount);
        if (std::find(lost.begin(), lost.end(), member) == lost.end())
            lost.push_back(member);
    }
    cluster.losePower(lost, downTime);
}

} // namespace

// Guards against the loss of an acknowledged command if the tolerated number of disks is lost while all members lose
// power, and against a group that does not recover from that in time.
TEST(PowerLoss, AcknowledgedCommandsSurviveLostDisks)
{
    for (uint64_t seed = 1; seed <= runs && !HasFailure(); ++seed) {
        FakeCluster cluster(seed, memberCount, memberCount - toleratedDisks);
        Common::Random random(seed);
        for (int i = 0; i < losses; ++i) {
            ASSERT_TRUE(runUntil(cluster, catchUpTime, [&] { return cluster.allMembersVote(); })) << "seed " << seed;
            ASSERT_TRUE(runUntil(cluster, recoveryTime, [&] { return cluster.leader().has_value(); }));
            losePower(cluster, random);
            size_t before = cluster.history().acknowledgedCount();
            ASSERT_TRUE(runUntil(cluster, recoveryTime,
                [&] {
                    if (cluster.leader())
                        cluster.propose(*cluster.leader());
                    return cluster.history().acknowledgedCount() > before;
                }))
                << "seed " << seed;
        }
        cluster.checkConverged();
        for (const std::string& it : cluster.history().violations())
            ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}
