#include "Gather/Query.h"

#include <gtest/gtest.h>

#include <string>

using Common::keySpaceSize;
using Common::Milliseconds;
using Common::Reason;
using Common::TimePoint;
using namespace Gather;

namespace {

constexpr Common::IndexVersion version { 7 };
constexpr Milliseconds hedgeAfter { 10 };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Plan planOf(uint64_t n)
{
    Plan plan { version, {} };
    for (uint64_t i = 0; i < n; ++i)
        plan.shards.push_back(
            { Common::ShardId(static_cast<uint32_t>(i)), { keySpaceSize / n * i, keySpaceSize / n * (i + 1) } });
    return plan;
}

template <typename T> std::vector<T> pick(const Effects& effects)
{
    std::vector<T> found;
    for (const Effect& effect : effects)
        if (const T* it = std::get_if<T>(&effect))
            found.push_back(*it);
    return found;
}

// A query over shards of equal size with a deadline of 105 ms, of which 5 ms are for the return path.
class GatherQuery : public testing::Test {
protected:
    std::vector<StartAttempt> begin(uint64_t n, QueryOptions options = {})
    {
        options.deadline = at(105);
        m_query = makeQuery(planOf(n), options);
        return pick<StartAttempt>(start(m_query, at(0), hedgeAfter));
    }

    Effects sent(const StartAttempt& s, double ms, const std::string& server = "a", const std::string& domain = "x")
    {
        return attemptStarted(m_query, s.id, Common::BackendServerId(server), Common::FailureDomain(domain), at(ms));
    }

    Effects answer(const StartAttempt& s, double ms, std::vector<Item> items = {}, Common::IndexVersion v = version)
    {
        return subAnswer(m_query, s.id, v, s.shard, s.range, std::move(items), at(ms));
    }

    Effects fails(const StartAttempt& s, double ms, Reason reason = Reason::ConnectionLost)
    {
        return attemptFailed(m_query, s.id, Common::makeError(reason, "read", "closed"), at(ms));
    }

    Effects denied(const StartAttempt& s, double ms, Reason reason)
    {
        return attemptNotStarted(m_query, s.id, Common::makeError(reason, "send", "none"), at(ms));
    }

    Query m_query;
};

} // namespace

TEST_F(GatherQuery, MergesWithoutDuplicatesAndIsCompleteOnlyWhenWhole)
{
    auto starts = begin(2);
    ASSERT_EQ(starts.size(), 2u);
    sent(starts[0], 0);
    sent(starts[1], 0);
    EXPECT_TRUE(answer(starts[1], 2, { { "b", "2" }, { "a", "1" } }).empty());
    auto done = pick<Finish>(answer(starts[0], 3, { { "a", "1" }, { "a", "other" } }));
    ASSERT_EQ(done.size(), 1u);
    EXPECT_TRUE(done[0].answer.complete);
    EXPECT_EQ(done[0].answer.results, (std::vector<Item> { { "a", "1" }, { "a", "other" }, { "b", "2" } }));
    EXPECT_EQ(done[0].answer.snapshot, version);
    EXPECT_TRUE(answer(starts[0], 4).empty());
    EXPECT_TRUE(wake(m_query, at(200)).empty());
}

TEST_F(GatherQuery, IsPartialAtTheDeadlineAndSaysWhatIsMissing)
{
    auto starts = begin(4);
    for (auto& s : starts)
        sent(s, 0, "server-" + std::to_string(s.shard.value()));
    for (size_t i = 0; i < 3; ++i)
        answer(starts[i], 2);
    auto effects = wake(m_query, at(100));
    auto done = pick<Finish>(effects);
    ASSERT_EQ(done.size(), 1u);
    EXPECT_FALSE(done[0].answer.complete);
    EXPECT_EQ(done[0].answer.coverage, Common::Ratio(0.75));
    ASSERT_EQ(done[0].answer.missing.size(), 1u);
    EXPECT_EQ(done[0].answer.missing[0].range, starts[3].range);
    EXPECT_EQ(done[0].answer.missing[0].reason, Reason::DeadlineExceeded);
    EXPECT_NE(done[0].answer.missing[0].detail.find("server-3"), std::string::npos);
    EXPECT_FALSE(done[0].answer.refusal);
    EXPECT_EQ(pick<CancelAttempt>(effects).size(), 1u);
}

TEST_F(GatherQuery, AnotherVersionIsNeverMergedAndRetriedElsewhere)
{
    auto starts = begin(1);
    sent(starts[0], 0, "a", "x");
    auto retry = pick<StartAttempt>(answer(starts[0], 1, { { "k", "old" } }, Common::IndexVersion(6)));
    ASSERT_EQ(retry.size(), 1u);
    EXPECT_EQ(retry[0].purpose, Purpose::Retry);
    EXPECT_EQ(retry[0].avoidServers, std::vector { Common::BackendServerId("a") });
    EXPECT_EQ(retry[0].avoidDomains, std::vector { Common::FailureDomain("x") });
    auto done = pick<Finish>(denied(retry[0], 2, Reason::Unavailable));
    ASSERT_EQ(done.size(), 1u);
    EXPECT_EQ(done[0].answer.coverage, Common::Ratio(0));
    EXPECT_TRUE(done[0].answer.results.empty());
    ASSERT_TRUE(done[0].answer.refusal);
    EXPECT_EQ(done[0].answer.refusal->reason, Reason::Conflict);
}

TEST_F(GatherQuery, AServerThatRefusedMayBeRetried)
{
    auto starts = begin(1);
    sent(starts[0], 0, "a", "x");
    auto retry = pick<StartAttempt>(fails(starts[0], 1, Reason::Refused));
    ASSERT_EQ(retry.size(), 1u);
    EXPECT_TRUE(retry[0].avoidServers.empty());
    EXPECT_TRUE(retry[0].avoidDomains.empty());
}

TEST_F(GatherQuery, HedgesOnceFromTheSendAndCancelsTheLoser)
{
    auto starts = begin(1);
    EXPECT_TRUE(pick<StartAttempt>(wake(m_query, at(50))).empty())
        << "time in the queue does not count towards the hedge delay";
    EXPECT_EQ(pick<WakeAt>(sent(starts[0], 50)).at(0).when, at(60));
    auto hedge = pick<StartAttempt>(wake(m_query, at(60)));
    ASSERT_EQ(hedge.size(), 1u);
    EXPECT_EQ(hedge[0].purpose, Purpose::Hedge);
    sent(hedge[0], 60, "b", "y");
    EXPECT_TRUE(pick<StartAttempt>(wake(m_query, at(90))).empty());
    auto effects = answer(hedge[0], 91);
    ASSERT_EQ(pick<CancelAttempt>(effects).size(), 1u);
    EXPECT_EQ(pick<CancelAttempt>(effects)[0].server, Common::BackendServerId("a"));
    EXPECT_TRUE(pick<Finish>(effects).at(0).answer.complete);
    EXPECT_EQ(pick<Finish>(effects).at(0).answer.counts.hedges, 1);
}

TEST_F(GatherQuery, AHedgeWithoutBudgetIsNoFailureAndIsRequestedAgain)
{
    auto starts = begin(1);
    sent(starts[0], 0);
    auto hedge = pick<StartAttempt>(wake(m_query, at(10)));
    ASSERT_EQ(hedge.size(), 1u);
    EXPECT_TRUE(pick<Finish>(denied(hedge[0], 10, Reason::Overloaded)).empty());
    hedge = pick<StartAttempt>(wake(m_query, at(20)));
    ASSERT_EQ(hedge.size(), 1u);
    // The first attempt fails while the hedge waits for a server, and no server is found for the hedge.
    EXPECT_TRUE(fails(starts[0], 21).empty());
    auto done = pick<Finish>(denied(hedge[0], 22, Reason::Unavailable));
    EXPECT_EQ(done.at(0).answer.missing.at(0).reason, Reason::ConnectionLost);
}

TEST_F(GatherQuery, ASuspectedRequestIsNeitherRetriedNorHedged)
{
    auto starts = begin(2, { .mayRetry = false });
    sent(starts[0], 0);
    sent(starts[1], 0);
    EXPECT_TRUE(pick<StartAttempt>(wake(m_query, at(50))).empty());
    EXPECT_TRUE(fails(starts[0], 51).empty());
    EXPECT_EQ(pick<Finish>(answer(starts[1], 52)).at(0).answer.coverage, Common::Ratio(0.5));
}

TEST_F(GatherQuery, RefusesBelowTheMinimumAndReportsNotSentOnlyIfNothingWas)
{
    auto starts = begin(2, { .minimumCoverage = Common::Ratio(0.9) });
    denied(starts[0], 1, Reason::Overloaded);
    auto refused = pick<Finish>(denied(starts[1], 1, Reason::Unavailable)).at(0).answer;
    EXPECT_EQ(refused.refusal->reason, Reason::Overloaded);

    starts = begin(2, { .minimumCoverage = Common::Ratio(0.9) });
    denied(starts[0], 1, Reason::Overloaded);
    sent(starts[1], 1);
    refused = pick<Finish>(answer(starts[1], 2, { { "a", "1" } })).at(0).answer;
    EXPECT_EQ(refused.refusal->reason, Reason::ConnectionLost);
    EXPECT_TRUE(refused.results.empty());
    EXPECT_EQ(refused.coverage, Common::Ratio(0.5));
}

TEST_F(GatherQuery, AnAttemptThatIsNoLongerNeededIsNotSent)
{
    auto starts = begin(1);
    wake(m_query, at(100));
    auto effects = sent(starts[0], 101, "late");
    EXPECT_EQ(pick<CancelAttempt>(effects).at(0).server, Common::BackendServerId("late"));
    EXPECT_EQ(m_query.counts.firstSends, 0);
}

TEST_F(GatherQuery, GapsOfThePlanAreMissing)
{
    Plan plan = planOf(4);
    plan.shards.erase(plan.shards.begin() + 1);
    m_query = makeQuery(plan, { .deadline = at(105) });
    Effects last;
    for (auto& s : pick<StartAttempt>(start(m_query, at(0), hedgeAfter)))
        last = answer(s, 1);
    auto done = pick<Finish>(last).at(0).answer;
    EXPECT_FALSE(done.complete);
    EXPECT_EQ(done.missing.at(0).range, planOf(4).shards[1].range);
    m_query = makeQuery({ version, {} }, { .deadline = at(105) });
    EXPECT_EQ(pick<Finish>(start(m_query, at(0), hedgeAfter)).at(0).answer.refusal->reason, Reason::Unavailable);
}
