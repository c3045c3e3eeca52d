#include "Routing/Candidates.h"
#include "Routing/LatencyStats.h"

#include <gtest/gtest.h>

#include <string>

using Common::Milliseconds;
using Routing::Candidate;

namespace {

Candidate candidate(const std::string& server, const std::string& domain, double latency, int64_t inFlight = 0)
{
    return { Common::BackendServerId(server), Common::FailureDomain(domain), inFlight, 2, Milliseconds(latency) };
}

Routing::LatencyStats uniformStats(double scale, int n = 2000)
{
    Routing::LatencyStats stats;
    for (int i = 0; i < n; ++i)
        Routing::record(stats, Milliseconds(scale * (i + 0.5) / n));
    return stats;
}

} // namespace

TEST(Candidates, PrefersTheReplicaWithTheLowestExpectedLatency)
{
    Common::Random random(1);
    std::vector<Candidate> candidates { candidate("a", "x", 20), candidate("b", "y", 2), candidate("c", "z", 2, 1) };
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(Routing::rank(candidates, {}, random), (std::vector<size_t> { 1, 2, 0 }));
    candidates[1].paused = true;
    EXPECT_EQ(Routing::rank(candidates, {}, random).back(), 1u);
}

TEST(Candidates, SimilarReplicasShareTheLoad)
{
    Common::Random random(2);
    std::vector<Candidate> candidates { candidate("a", "x", 2), candidate("b", "y", 2.1) };
    int n = 0;
    for (int i = 0; i < 1000; ++i)
        n += Routing::rank(candidates, {}, random).front() == 0 ? 1 : 0;
    EXPECT_GT(n, 400);
    EXPECT_LT(n, 700);
}

TEST(Candidates, RetriesPreferAnotherServerAndDomain)
{
    Common::Random random(3);
    std::vector<Candidate> candidates { candidate("a", "x", 1), candidate("b", "x", 1), candidate("c", "y", 9) };
    Routing::Exclusions exclusions { { Common::BackendServerId("a") }, { Common::FailureDomain("x") } };
    EXPECT_EQ(Routing::rank(candidates, exclusions, random), (std::vector<size_t> { 2, 1 }));
    candidates.resize(2);
    EXPECT_EQ(Routing::rank(candidates, exclusions, random), (std::vector<size_t> { 1 }));
    candidates.resize(1);
    EXPECT_TRUE(Routing::rank(candidates, exclusions, random).empty());
}

TEST(LatencyStats, QuantilesLieWithinOneBucket)
{
    auto stats = uniformStats(100);
    for (double share : { 0.1, 0.5, 0.9, 0.99 }) {
        EXPECT_GE(Routing::quantile(stats, share).value(), 100 * share * 0.999);
        EXPECT_LE(Routing::quantile(stats, share).value(), 100 * share * Routing::LatencyStats::boundFactor * 1.001);
    }
    EXPECT_NEAR(Routing::mean(stats).value(), 50, 5);
}

TEST(LatencyStats, HedgeDelayFollowsObservedLatencies)
{
    Routing::LatencyStats stats;
    EXPECT_GT(Routing::hedgeDelay(stats), Milliseconds(10));
    stats = uniformStats(4);
    for (int i = 0; i < 20; ++i)
        Routing::record(stats, Milliseconds(200));
    EXPECT_LT(Routing::hedgeDelay(stats), Milliseconds(5));
    for (int i = 0; i < 20'000; ++i)
        Routing::record(stats, Milliseconds(40));
    EXPECT_GE(Routing::hedgeDelay(stats), Milliseconds(40));
}
