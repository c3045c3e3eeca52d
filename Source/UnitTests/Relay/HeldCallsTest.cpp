#include "Relay/HeldCalls.h"

#include <gtest/gtest.h>

using Common::Bytes;
using Common::Milliseconds;
using Common::TimePoint;
using Relay::HeldCallId;
using Relay::HeldCalls;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

double waitOf(std::optional<Milliseconds> timeLeft, std::optional<Milliseconds> objective)
{
    HeldCalls held;
    if (!hold(held, { Bytes(1), timeLeft, objective }, at(50)))
        return 0;
    return (*nextOverdue(held) - at(50)).value();
}

} // namespace

// Guards against calls that are held so long that a refusal leaves their callers no time for another attempt.
TEST(HeldCalls, AreHeldForTheShortestOfTheBounds)
{
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(3'000), {}), 400);
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(300), {}), 100);
    EXPECT_NEAR(waitOf({}, {}), 333.3, 0.1);
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(300), Milliseconds(50)), 12.5);
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(30), Milliseconds(400)), 10);
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(0), {}), 0);
    EXPECT_DOUBLE_EQ(waitOf(Milliseconds(-5), {}), 0);
}

// Guards against unbounded memory while all callers of a deployment send to instances without a table.
TEST(HeldCalls, AreBoundedInNumberAndBytes)
{
    HeldCalls held;
    for (size_t i = 0; i < held.limits.calls; ++i)
        ASSERT_TRUE(hold(held, { Bytes(1), {}, {} }, at(0)));
    EXPECT_FALSE(hold(held, { Bytes(1), {}, {} }, at(0)));
    HeldCalls large;
    auto id = hold(large, { large.limits.bytes, {}, {} }, at(0));
    ASSERT_TRUE(id);
    EXPECT_FALSE(hold(large, { Bytes(1), {}, {} }, at(0)));
    EXPECT_TRUE(remove(large, *id));
    EXPECT_FALSE(remove(large, *id));
    EXPECT_TRUE(hold(large, { Bytes(1), {}, {} }, at(0)));
}

// Guards against calls that are refused late or out of order, and against a timer that is due without a call.
TEST(HeldCalls, OverdueOnesAreTakenInTheOrderOfArrival)
{
    HeldCalls held;
    auto first = *hold(held, { Bytes(10), Milliseconds(600), {} }, at(0));
    auto second = *hold(held, { Bytes(10), Milliseconds(300), {} }, at(0));
    auto third = *hold(held, { Bytes(10), Milliseconds(3'000), {} }, at(0));
    EXPECT_LT(first, second);
    EXPECT_EQ(nextOverdue(held), at(100));
    EXPECT_TRUE(takeOverdue(held, at(99)).empty());
    EXPECT_EQ(takeOverdue(held, at(200)), (std::vector<HeldCallId> { first, second }));
    EXPECT_EQ(nextOverdue(held), at(400));
    EXPECT_TRUE(remove(held, third));
    EXPECT_FALSE(nextOverdue(held));
    EXPECT_EQ(held.bytes, Bytes(0));
}

// Guards against urgent calls that wait for servers beyond a quarter of their objective, counted from their arrival.
TEST(HeldCalls, TheRouteShortensTheWait)
{
    HeldCalls held;
    auto id = *hold(held, { Bytes(1), Milliseconds(1'000), {} }, at(10));
    limitWait(held, id, Milliseconds(80));
    EXPECT_EQ(nextOverdue(held), at(30));
    limitWait(held, id, Milliseconds(4'000));
    EXPECT_EQ(nextOverdue(held), at(30));
}

// Guards against calls that wait for servers long after the start, when a group without servers is not about to get
// any.
TEST(HeldCalls, WaitForServersOnlySoonAfterTheTableIsKnown)
{
    Relay::HoldLimits limits;
    EXPECT_FALSE(mayWaitForServers(limits, {}, at(0)));
    EXPECT_TRUE(mayWaitForServers(limits, at(1'000), at(2'900)));
    EXPECT_FALSE(mayWaitForServers(limits, at(1'000), at(3'000)));
}
