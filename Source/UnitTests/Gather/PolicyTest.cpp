#include "Gather/PolicyModel.h"

#include <gtest/gtest.h>

namespace {

constexpr double retryRatioLimit = 0.05;
constexpr double coverageTarget = 0.9999;
constexpr double latencyTarget = 2; // Ratio of p99 to the p99 without stragglers.
constexpr double goodputTarget = 0.8;

PolicyOutcome run(const char* name, const PolicySetup& setup)
{
    PolicyOutcome outcome = PolicyModel(setup).run();
    std::printf("policy: %-26s %zu entry, %s, %5.0f/s: p50 %6.2f p99 %7.2f p99.9 %7.2f ms, extra %.4f, "
                "coverage %.6f, complete %.1f/s, refused %.4f\n",
        name, setup.instances, setup.uniformService ? "even" : "exponential", setup.queriesPerSecond,
        outcome.percentile(0.5), outcome.percentile(0.99), outcome.percentile(0.999), outcome.retryRatio(),
        outcome.meanCoverage(), static_cast<double>(outcome.complete) / setup.seconds,
        static_cast<double>(outcome.refused) / static_cast<double>(outcome.queries));
    return outcome;
}

class Policy : public testing::TestWithParam<std::tuple<size_t, bool>> {
protected:
    PolicySetup setup() const
    {
        return { .instances = std::get<0>(GetParam()), .uniformService = std::get<1>(GetParam()) };
    }
};

} // namespace

TEST_P(Policy, StragglersDoNotDominateTheLatency)
{
    PolicySetup withoutStragglers = setup();
    withoutStragglers.stragglerChance = 0;
    PolicySetup withoutRetries = setup();
    withoutRetries.mayRetry = false;
    PolicyOutcome without = run("no stragglers", withoutStragglers);
    run("stragglers, no retries", withoutRetries);
    PolicyOutcome with = run("stragglers", setup());
    EXPECT_LE(with.percentile(0.99), latencyTarget * without.percentile(0.99));
    EXPECT_LE(with.retryRatio(), retryRatioLimit);
    EXPECT_GE(with.meanCoverage(), coverageTarget);
}

TEST_P(Policy, LosingOneReplicaOfEachShardCostsNoCoverage)
{
    PolicySetup lost = setup();
    lost.replicaLostAt = 5'000;
    PolicyOutcome outcome = run("one replica of each lost", lost);
    EXPECT_LE(outcome.retryRatio(), retryRatioLimit);
    EXPECT_GE(outcome.meanCoverage(), coverageTarget);
}

TEST_P(Policy, GoodputHoldsWhenAllServersAreSlowAndOverloaded)
{
    // The capacity is about 360 queries per second: 4 slots per shard and 11 ms per sub-request instead of 3 ms.
    PolicySetup slow = setup();
    slow.slowFactor = 5;
    slow.queriesPerSecond = 300;
    PolicyOutcome before = run("all slow, before overload", slow);
    slow.queriesPerSecond = 720;
    PolicyOutcome overload = run("all slow, twice the load", slow);
    EXPECT_LE(overload.retryRatio(), retryRatioLimit);
    EXPECT_GE(static_cast<double>(overload.complete), goodputTarget * static_cast<double>(before.complete));
}

INSTANTIATE_TEST_SUITE_P(Entries, Policy, testing::Combine(testing::Values(1, 9), testing::Bool()));
