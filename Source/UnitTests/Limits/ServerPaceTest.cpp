#include "Limits/ServerPace.h"
#include "Limits/UsualTime.h"

#include <gtest/gtest.h>

using namespace Limits;
using Common::Connections;
using Common::Incarnation;
using Common::Milliseconds;
using Common::RouteName;
using Common::TimePoint;

namespace {

const Incarnation first { 1 };
const Incarnation second { 2 };
const Connections limit { 8 };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

ServerPace started(bool isCold = false)
{
    ServerPace pace;
    observe(pace, first, isCold);
    return pace;
}

void end(ServerPace& pace, PaceSample sample, double sentAt, double now)
{
    paceEnded(
        pace, { first, sample, sample == PaceSample::Slow, Milliseconds(now - sentAt), at(sentAt) }, limit, at(now));
}

// How many requests may be in flight at once.
size_t permitted(const ServerPace& pace, double now)
{
    size_t inFlight = 0;
    while (inFlight < 64 && !paceOpensIn(pace, inFlight, at(now)))
        ++inFlight;
    return inFlight;
}

ServerPace atFullPace()
{
    ServerPace pace = started();
    for (int i = 0; i < 8; ++i)
        end(pace, PaceSample::Usual, i, i + 5);
    paceStarted(pace, at(100));
    return pace;
}

} // namespace

// A slower rise would hold back healthy servers after a start of the whole system.
TEST(ServerPace, DoublesWithEachRoundOfUsualAnswers)
{
    ServerPace pace = started();
    paceStarted(pace, at(0));
    double now = 5;
    for (size_t expected : { 1, 2, 4 }) {
        ASSERT_EQ(permitted(pace, now), expected);
        for (size_t i = 0; i < expected; ++i)
            end(pace, PaceSample::Usual, now, now + 5);
        now += 5;
        paceStarted(pace, at(now));
    }
    EXPECT_FALSE(pace.isPaced) << "it has reached the connection limit";
}

TEST(ServerPace, FailuresReduceItToTheFloorAndNotBelow)
{
    ServerPace pace = started();
    double now = 0;
    for (int i = 0; i < 20; ++i) {
        paceStarted(pace, at(now));
        end(pace, PaceSample::Refused, now, now + 1);
        auto wait = paceOpensIn(pace, 0, at(now + 1));
        ASSERT_TRUE(wait);
        ASSERT_LE(*wait, Milliseconds(250)) << "a group may have no other server";
        now += 1 + wait->value() + 0.001;
    }
    EXPECT_GE(now, 14 * 250);
    end(pace, PaceSample::Usual, now, now + 5);
    paceStarted(pace, at(now));
    EXPECT_EQ(permitted(pace, now + 5), 1u) << "one usual answer after failures permits one request at a time";
}

// A stalled request must not keep a group without a server.
TEST(ServerPace, OpensAfterTheFloorIntervalWithARequestInFlight)
{
    ServerPace pace = started();
    paceStarted(pace, at(0));
    EXPECT_EQ(paceOpensIn(pace, 1, at(100)), std::optional(Milliseconds(150)));
    EXPECT_FALSE(paceOpensIn(pace, 1, at(251)));
}

TEST(ServerPace, BeginsWithAStartAColdPhaseOrFailures)
{
    ServerPace pace = atFullPace();
    ASSERT_FALSE(pace.isPaced);
    observe(pace, first, true);
    EXPECT_TRUE(pace.isPaced) << "a cold phase of the same start";
    pace = atFullPace();
    observe(pace, second, false);
    EXPECT_TRUE(pace.isPaced);
    pace = atFullPace();
    end(pace, PaceSample::Refused, 1, 2);
    end(pace, PaceSample::Refused, 2, 3);
    EXPECT_FALSE(pace.isPaced);
    end(pace, PaceSample::Refused, 3, 4);
    EXPECT_TRUE(pace.isPaced);
    pace = atFullPace();
    end(pace, PaceSample::Unreachable, 1, 2);
    EXPECT_TRUE(pace.isPaced);
}

// Servers pause for 120 to 150 ms every few seconds; that must not begin the paced state.
TEST(ServerPace, APauseDoesNotBeginIt)
{
    ServerPace pace = atFullPace();
    for (int i = 0; i < 8; ++i)
        end(pace, PaceSample::Slow, 200 + i * 20, 360);
    EXPECT_FALSE(pace.isPaced);
    end(pace, PaceSample::Slow, 460, 600);
    EXPECT_TRUE(pace.isPaced) << "slow for longer than a pause";
}

// Requests in flight together are slow for one reason: halving for each would leave the server idle.
TEST(ServerPace, RequestsInFlightTogetherHalveItOnce)
{
    ServerPace pace = started(true);
    for (int i = 0; i < 3; ++i)
        end(pace, PaceSample::Usual, 0, 5);
    ASSERT_EQ(pace.inFlight, 4);
    for (int i = 0; i < 4; ++i)
        end(pace, PaceSample::Slow, 10, 60);
    EXPECT_EQ(pace.inFlight, 2);
}

TEST(ServerPace, DoesNotEndWhileTheServerIsCold)
{
    ServerPace pace = started(true);
    for (int i = 0; i < 50; ++i)
        end(pace, PaceSample::Usual, i, i + 5);
    EXPECT_TRUE(pace.isPaced);
    observe(pace, first, false);
    end(pace, PaceSample::Usual, 60, 65);
    EXPECT_FALSE(pace.isPaced);
}

// A server that crashes at some pace would crash again after each restart.
TEST(ServerPace, RisesSlowlyToThePaceAtWhichTheServerWasLost)
{
    ServerPace pace = started(true);
    for (int i = 0; i < 3; ++i)
        end(pace, PaceSample::Usual, 0, 5);
    end(pace, PaceSample::Unreachable, 5, 10);
    observe(pace, second, true);
    for (int i = 0; i < 3; ++i)
        paceEnded(pace, { second, PaceSample::Usual, false, Milliseconds(5), at(20) }, limit, at(25));
    EXPECT_LT(pace.inFlight, 3);
}

TEST(ServerPace, IgnoresAnswersOfTheEarlierStart)
{
    ServerPace pace = started();
    observe(pace, second, false);
    for (int i = 0; i < 9; ++i)
        end(pace, PaceSample::Usual, 0, 5);
    EXPECT_EQ(pace.inFlight, 1);
}

TEST(ServerPace, ComparesWithTheUsualTimeOfTheRoute)
{
    EXPECT_EQ(sampleOf(Milliseconds(500), std::nullopt), PaceSample::Usual);
    EXPECT_EQ(sampleOf(Milliseconds(32), Milliseconds(16)), PaceSample::Usual);
    EXPECT_EQ(sampleOf(Milliseconds(40), Milliseconds(16)), PaceSample::Between);
    EXPECT_EQ(sampleOf(Milliseconds(49), Milliseconds(16)), PaceSample::Slow);
    EXPECT_EQ(sampleOf(Milliseconds(9), Milliseconds(1)), PaceSample::Usual) << "within the noise of a busy relay";
    UsualTimes times;
    for (int i = 0; i < 20; ++i) {
        recordAnswer(times, RouteName("small"), Milliseconds(4));
        recordAnswer(times, RouteName("large"), Milliseconds(15));
    }
    EXPECT_NEAR(longTermTime(times, RouteName("small"))->value(), 4, 0.1);
    EXPECT_NEAR(longTermTime(times, RouteName("large"))->value(), 15, 0.1);
    EXPECT_FALSE(longTermTime(times, RouteName("other")));
}

TEST(UsualTime, KeepsABoundedNumberOfRoutes)
{
    UsualTimes times;
    for (int i = 0; i < 1'000; ++i)
        recordAnswer(times, RouteName(std::to_string(i)), Milliseconds(4));
    EXPECT_LE(times.entries.size(), 16u);
}

// A second of overload must not make slow answers usual.
TEST(UsualTime, FollowsASlowPeriodLittle)
{
    UsualTimes times;
    const RouteName route("r");
    for (int i = 0; i < 400; ++i)
        recordAnswer(times, route, Milliseconds(10));
    for (int i = 0; i < 100; ++i)
        recordAnswer(times, route, Milliseconds(100));
    EXPECT_LT(longTermTime(times, route)->value(), 12);
    EXPECT_GT(recentTime(times, route)->value(), 90);
}
