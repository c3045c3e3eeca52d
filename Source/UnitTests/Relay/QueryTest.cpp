#include "Relay/Query.h"

#include "Relay/Merge.h"

#include <gtest/gtest.h>

using Common::AttemptId;
using Common::BackendServerId;
using Common::GroupName;
using Common::Milliseconds;
using Common::Reason;
using Common::TimePoint;
using namespace Relay;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

const Times times { at(0), at(100), at(1'000) };

Routes::Route baseRoute(Routes::Idempotency idempotency)
{
    Routes::Route route;
    route.name = Common::RouteName("r");
    route.idempotency = idempotency;
    route.maximumAttempts = 2;
    route.latencyObjective = Milliseconds(100);
    route.timeout = Milliseconds(1'000);
    return route;
}

struct Case {
    Routes::Route route;
    Query query;

    explicit Case(size_t groups, double minimumCoverage = 0.75)
        : route(baseRoute(Routes::Idempotency::Idempotent))
    {
        route.fanOut = Routes::FanOut { {}, 2, Common::Ratio(minimumCoverage) };
        for (size_t i = 0; i < groups; ++i)
            route.fanOut->groups.emplace_back("g" + std::to_string(i));
        query = makeQuery(nullptr, route, route.fanOut->groups, neededGroups(*route.fanOut, groups), false, times);
    }

    explicit Case(Routes::Idempotency idempotency)
        : route(baseRoute(idempotency))
    {
        query = makeQuery(nullptr, route, { GroupName("g") }, 1, false, times);
    }
    Case(const Case&) = delete;
};

template <typename T> std::vector<T> all(const Effects& effects)
{
    std::vector<T> found;
    for (auto& effect : effects) {
        if (auto one = std::get_if<T>(&effect))
            found.push_back(*one);
    }
    return found;
}

std::vector<AttemptId> begin(Query& query)
{
    std::vector<AttemptId> ids;
    for (auto& send : all<Send>(start(query, at(0)))) {
        EXPECT_TRUE(sent(
            query, send.attempt, BackendServerId("s" + std::to_string(send.attempt.value())), at(0), Milliseconds(40)));
        ids.push_back(send.attempt);
    }
    return ids;
}

SubAnswer success(const char* signature, std::string body = {})
{
    SubAnswer answer;
    answer.outcome = SubAnswer::Outcome::Success;
    answer.status = 200;
    answer.signature = signature;
    answer.body = std::move(body);
    return answer;
}

SubAnswer answerOf(SubAnswer::Outcome outcome, int status)
{
    SubAnswer answer;
    answer.outcome = outcome;
    answer.status = status;
    return answer;
}

template <typename T> const T* answerIn(const Effects& effects)
{
    static std::vector<Finish> kept;
    kept = all<Finish>(effects);
    return kept.empty() ? nullptr : std::get_if<T>(&kept.front().answer);
}

const Common::Error broken { Reason::ConnectionLost, "request", "s", "reset" };

} // namespace

// Guards against calls that run on more servers than their route allows, when another instance goes on with a bundle.
TEST(Query, AGroupThatMayHaveHadItsAttemptsIsNotSent)
{
    Case c(2);
    c.route.maximumAttempts = 1;
    c.query.isBundle = true;
    auto effects = start(c.query, at(0), { true, false });
    EXPECT_TRUE(all<Send>(effects).empty());
    auto merged = answerIn<Merged>(effects);
    ASSERT_TRUE(merged) << "a refusal would say that nothing has run";
    EXPECT_EQ(merged->missing.size(), 2u);

    Case other(2);
    EXPECT_EQ(all<Send>(start(other.query, at(0), { true, false })).size(), 2u) << "the second of two attempts";
}

TEST(Query, AnswersWhenAllPartsHaveAnswered)
{
    Case c(2);
    auto ids = begin(c.query);
    ASSERT_EQ(ids.size(), 2u);
    EXPECT_FALSE(answerIn<Merged>(answered(c.query, ids[0], success("a"), at(10))));
    auto merged = answerIn<Merged>(answered(c.query, ids[1], success("b"), at(11)));
    ASSERT_TRUE(merged);
    EXPECT_EQ(merged->signatures, (std::vector<std::string> { "a", "b" }));
    EXPECT_TRUE(merged->missing.empty());
}

TEST(Query, AnswersPartiallyAtTheObjectiveIfCoverageSuffices)
{
    Case c(4);
    auto ids = begin(c.query);
    for (int i = 0; i < 3; ++i)
        answered(c.query, ids[static_cast<size_t>(i)], success("s"), at(10));
    EXPECT_FALSE(answerIn<Merged>(wake(c.query, at(50))));
    auto merged = answerIn<Merged>(wake(c.query, at(100)));
    ASSERT_TRUE(merged);
    EXPECT_EQ(merged->missing, (std::vector<MissingGroup> { { 3, true } }));
}

TEST(Query, WaitsPastTheObjectiveForMinimumCoverage)
{
    Case c(4);
    auto ids = begin(c.query);
    for (int i = 0; i < 2; ++i)
        answered(c.query, ids[static_cast<size_t>(i)], success("s"), at(10));
    EXPECT_TRUE(all<Finish>(wake(c.query, at(100))).empty());
    EXPECT_TRUE(answerIn<Merged>(answered(c.query, ids[2], success("s"), at(130))));
}

TEST(Query, FailsAtOnceWhenMinimumCoverageIsOutOfReach)
{
    Case c(4);
    auto ids = begin(c.query);
    Effects last;
    for (int i = 0; i < 2; ++i) {
        auto retries = all<Send>(sendFailed(c.query, ids[static_cast<size_t>(i)], SendFailure::Unknown, broken, at(5)));
        ASSERT_EQ(retries.size(), 1u);
        EXPECT_TRUE(retries.front().needsRetryBudget);
        last = notSent(c.query, retries.front().attempt, broken, at(5));
    }
    auto refusal = answerIn<Refusal>(last);
    ASSERT_TRUE(refusal);
    EXPECT_FALSE(refusal->hasNotRun) << "a part may have run";
}

TEST(Query, HedgesASlowPartOnceOnAnotherServer)
{
    Case c(1, 0);
    auto ids = begin(c.query);
    EXPECT_TRUE(all<Send>(wake(c.query, at(39))).empty());
    auto hedges = all<Send>(wake(c.query, at(40)));
    ASSERT_EQ(hedges.size(), 1u);
    EXPECT_EQ(hedges.front().purpose, Purpose::Hedge);
    EXPECT_EQ(hedges.front().avoid, std::vector<BackendServerId> { BackendServerId("s1") });
    EXPECT_TRUE(all<Send>(wake(c.query, at(60))).empty());
    sent(c.query, hedges.front().attempt, BackendServerId("t"), at(40), {});
    auto effects = answered(c.query, hedges.front().attempt, success("b"), at(70));
    EXPECT_TRUE(answerIn<Merged>(effects));
    EXPECT_EQ(all<Abandon>(effects).size(), 1u);
}

TEST(Query, NeverRunsMoreOftenThanTheRouteAllows)
{
    Case c(1, 0);
    auto ids = begin(c.query);
    auto retry = all<Send>(sendFailed(c.query, ids[0], SendFailure::Unknown, broken, at(1)));
    ASSERT_EQ(retry.size(), 1u);
    sent(c.query, retry.front().attempt, BackendServerId("t"), at(1), Milliseconds(1));
    EXPECT_TRUE(all<Send>(wake(c.query, at(50))).empty());
    auto effects = sendFailed(c.query, retry.front().attempt, SendFailure::Unknown, broken, at(60));
    EXPECT_TRUE(all<Send>(effects).empty());
    EXPECT_TRUE(answerIn<Refusal>(effects));
}

TEST(Query, CountsARunByAnEarlierRequest)
{
    Case c(1, 0);
    start(c.query, at(0), { true, false });
    auto id = c.query.parts[0].attempts[0].id;
    sent(c.query, id, BackendServerId("s"), at(0), Milliseconds(40));
    EXPECT_TRUE(all<Send>(wake(c.query, at(50))).empty()) << "a hedge would be the third";
    EXPECT_TRUE(all<Send>(sendFailed(c.query, id, SendFailure::Unknown, broken, at(60))).empty());
}

TEST(Bundle, IsDeliveredAtTheObjectiveAndExpiresUnlessResumed)
{
    Case c(3);
    c.query.isBundle = true;
    auto ids = begin(c.query);
    answered(c.query, ids[0], success("a"), at(10));
    auto delivered = all<Deliver>(wake(c.query, at(100)));
    ASSERT_EQ(delivered.size(), 1u);
    EXPECT_EQ(delivered.front().merged.signatures, std::vector<std::string> { "a" });
    EXPECT_EQ(delivered.front().merged.missing, (std::vector<MissingGroup> { { 1, true }, { 2, true } }));
    EXPECT_TRUE(all<Expire>(wake(c.query, at(120))).empty());
    auto end = wake(c.query, at(170));
    EXPECT_EQ(all<Expire>(end).size(), 1u);
    EXPECT_EQ(all<Abandon>(end).size(), 2u);
    EXPECT_TRUE(resume(c.query, 1, at(171)).empty());
}

TEST(Bundle, ResumesWithUndeliveredAnswersOnly)
{
    Case c(3);
    c.query.isBundle = true;
    auto ids = begin(c.query);
    answered(c.query, ids[0], success("a"), at(10));
    wake(c.query, at(100));
    EXPECT_TRUE(all<Finish>(resume(c.query, 1, at(105))).empty());
    auto merged = answerIn<Merged>(answered(c.query, ids[2], success("c"), at(300)));
    ASSERT_TRUE(merged);
    EXPECT_EQ(merged->signatures, std::vector<std::string> { "c" });
    EXPECT_EQ(merged->missing, (std::vector<MissingGroup> { { 1, true } }));
}

TEST(Bundle, EndsAtOnceWhenNoFurtherAnswerCanArrive)
{
    Case c(2);
    c.query.isBundle = true;
    auto ids = begin(c.query);
    answered(c.query, ids[0], success("a"), at(10));
    auto retry = all<Send>(sendFailed(c.query, ids[1], SendFailure::Unknown, broken, at(20)));
    ASSERT_EQ(retry.size(), 1u);
    auto merged = answerIn<Merged>(notSent(c.query, retry.front().attempt, broken, at(20)));
    ASSERT_TRUE(merged);
    EXPECT_EQ(merged->missing, (std::vector<MissingGroup> { { 1, false } }));
}

TEST(Query, AtMostOnceRequestsAreRetriedOnlyIfNotRun)
{
    {
        Case c(Routes::Idempotency::AtMostOnce);
        auto ids = begin(c.query);
        EXPECT_TRUE(all<Send>(wake(c.query, at(500))).empty()) << "no hedge";
        auto effects = sendFailed(c.query, ids[0], SendFailure::Unknown, broken, at(510));
        EXPECT_TRUE(all<Send>(effects).empty());
        ASSERT_TRUE(answerIn<Refusal>(effects));
        EXPECT_FALSE(answerIn<Refusal>(effects)->hasNotRun);
    }
    {
        Case c(Routes::Idempotency::AtMostOnce);
        auto ids = begin(c.query);
        auto again = all<Send>(answered(c.query, ids[0], answerOf(SubAnswer::Outcome::NotRun, 503), at(5)));
        ASSERT_EQ(again.size(), 1u);
        auto effects = notSent(c.query, again.front().attempt, broken, at(6));
        ASSERT_TRUE(answerIn<Refusal>(effects));
        EXPECT_TRUE(answerIn<Refusal>(effects)->hasNotRun);
        EXPECT_GT(answerIn<Refusal>(effects)->retryAfter, Milliseconds(0));
    }
}

TEST(Query, ForwardsAServerFailureUnchanged)
{
    Case c(Routes::Idempotency::AtMostOnce);
    auto ids = begin(c.query);
    auto effects = answered(c.query, ids[0], answerOf(SubAnswer::Outcome::Failure, 500), at(5));
    ASSERT_TRUE(answerIn<Forwarded>(effects));
    EXPECT_EQ(answerIn<Forwarded>(effects)->answer.status, 500);
}

TEST(Query, AbandonsAllAttemptsWhenTheCallerDisconnects)
{
    Case c(3);
    begin(c.query);
    auto effects = callerGone(c.query, at(10));
    EXPECT_TRUE(answerIn<CallerGone>(effects));
    EXPECT_EQ(all<Abandon>(effects).size(), 3u);
    EXPECT_TRUE(wake(c.query, at(20)).empty());
}

TEST(Query, FailsAtTheDeadline)
{
    Case c(2);
    begin(c.query);
    auto effects = wake(c.query, at(1'000));
    ASSERT_TRUE(answerIn<Refusal>(effects));
    EXPECT_EQ(answerIn<Refusal>(effects)->error.reason, Reason::DeadlineExceeded);
}

TEST(Merge, KeepsTheGreatestRecordsOfAllBodies)
{
    std::string low(recordSize, 'a');
    std::string middle(recordSize, 'b');
    std::string high(recordSize, '\xff');
    std::string first = low + high + "rest";
    std::string second = middle + high;
    EXPECT_EQ(greatestRecords({ &first, &second }, 3), high + high + middle);
    EXPECT_EQ(greatestRecords({ &first }, 9), high + low);
    EXPECT_EQ(greatestRecords({}, 3), "");
}

TEST(Query, LostPartsAreRetriedOneAtATimeUntilOneIsAnswered)
{
    Case c(4);
    auto ids = begin(c.query);
    auto first = all<Send>(sendFailed(c.query, ids[0], SendFailure::Unknown, broken, at(5)));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].purpose, Purpose::Retry);
    EXPECT_TRUE(all<Send>(sendFailed(c.query, ids[1], SendFailure::Unknown, broken, at(5))).empty());
    EXPECT_TRUE(all<Send>(sendFailed(c.query, ids[2], SendFailure::Unknown, broken, at(5))).empty());
    sent(c.query, first[0].attempt, BackendServerId("other"), at(6), {});
    auto rest = all<Send>(answered(c.query, first[0].attempt, success("a"), at(9)));
    ASSERT_EQ(rest.size(), 2u);
    EXPECT_EQ(rest[0].part, 1u);
    EXPECT_EQ(rest[1].part, 2u);
}

TEST(Query, NoFurtherPartIsSentAfterTheServerOfARetryWasLostToo)
{
    Case c(4);
    auto ids = begin(c.query);
    auto retry = all<Send>(sendFailed(c.query, ids[0], SendFailure::Unknown, broken, at(5)));
    sendFailed(c.query, ids[1], SendFailure::Unknown, broken, at(5));
    ASSERT_EQ(retry.size(), 1u);
    sent(c.query, retry[0].attempt, BackendServerId("other"), at(6), {});
    auto effects = sendFailed(c.query, retry[0].attempt, SendFailure::Unknown, broken, at(9));
    EXPECT_TRUE(all<Send>(effects).empty());
    EXPECT_TRUE(all<Send>(sendFailed(c.query, ids[2], SendFailure::Unknown, broken, at(10))).empty());
    EXPECT_TRUE(all<Send>(wake(c.query, at(60))).empty()) << "nor as a hedge";
}

TEST(Query, ARetryThatReachedNoServerHandsTheTrialOn)
{
    Case c(4);
    auto ids = begin(c.query);
    auto retry = all<Send>(sendFailed(c.query, ids[0], SendFailure::Unknown, broken, at(5)));
    sendFailed(c.query, ids[1], SendFailure::Unknown, broken, at(5));
    auto next = all<Send>(notSent(c.query, retry[0].attempt, broken, at(6)));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].part, 1u);
}

TEST(Query, ASuspectedCallIsSentToOneGroupFirst)
{
    Case c(4);
    auto trial = all<Send>(start(c.query, at(0), { false, true }));
    ASSERT_EQ(trial.size(), 1u);
    sent(c.query, trial[0].attempt, BackendServerId("s"), at(0), Milliseconds(40));
    EXPECT_TRUE(all<Send>(wake(c.query, at(50))).empty()) << "not hedged";
    EXPECT_EQ(all<Send>(answered(c.query, trial[0].attempt, success("a"), at(60))).size(), 3u);
}

TEST(Query, ASuspectedCallThatLosesAServerIsNotSentOn)
{
    Case c(4);
    auto trial = all<Send>(start(c.query, at(0), { false, true }));
    ASSERT_EQ(trial.size(), 1u);
    sent(c.query, trial[0].attempt, BackendServerId("s"), at(0), Milliseconds(40));
    auto effects = sendFailed(c.query, trial[0].attempt, SendFailure::Unknown, broken, at(5));
    EXPECT_TRUE(all<Send>(effects).empty());
    auto refusal = answerIn<Refusal>(effects);
    ASSERT_TRUE(refusal);
    EXPECT_FALSE(refusal->hasNotRun);
}

TEST(Query, ABundleOfWhichNothingWasSentIsRefusedAsNotRun)
{
    Case c(2);
    c.query.isBundle = true;
    auto sends = all<Send>(start(c.query, at(0)));
    ASSERT_EQ(sends.size(), 2u);
    auto closed = Common::makeError(Reason::Unavailable, "send", "closed");
    EXPECT_TRUE(all<Finish>(notSent(c.query, sends[0].attempt, closed, at(1), Milliseconds(80))).empty());
    auto refusal = answerIn<Refusal>(notSent(c.query, sends[1].attempt, closed, at(1), Milliseconds(70)));
    ASSERT_TRUE(refusal);
    EXPECT_TRUE(refusal->hasNotRun);
    EXPECT_EQ(refusal->retryAfter, Milliseconds(80));
}

TEST(Query, ABundleOfWhichOneGroupMayHaveRunIsNotRefusedAsNotRun)
{
    Case c(2);
    c.query.isBundle = true;
    auto ids = begin(c.query);
    sendFailed(c.query, ids[0], SendFailure::NoConnection, broken, at(1));
    auto effects = answered(c.query, ids[1], answerOf(SubAnswer::Outcome::Failure, 500), at(2));
    EXPECT_FALSE(answerIn<Refusal>(effects));
}
