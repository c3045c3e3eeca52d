#include "Limits/WaitQueue.h"

#include <gtest/gtest.h>

#include <string>

using Common::Milliseconds;
using Common::TimePoint;
using Limits::Backlog;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Limits::Waiter waiter(uint64_t query, const std::string& route, double deadline = 1000)
{
    return { Common::QueryId(query), Common::AttemptId(1), Common::ShardId(0), Common::RouteName(route), at(deadline) };
}

} // namespace

TEST(WaitQueue, AFloodOfOneRouteDoesNotDelayAnother)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 100; ++i)
        Limits::push(queue, waiter(i, "flood"));
    Limits::push(queue, waiter(500, "calm"));
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("calm")), 3u);
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("flood")), 101u);
    EXPECT_EQ(Limits::pop(queue, at(0))->query, Common::QueryId(0));
    EXPECT_EQ(Limits::pop(queue, at(0))->query, Common::QueryId(500));
    EXPECT_EQ(Limits::pop(queue, at(0))->query, Common::QueryId(1));
}

TEST(WaitQueue, SkipsExpiredAndRemovedWaiters)
{
    Limits::WaitQueue queue;
    Limits::push(queue, waiter(1, "a", 10));
    Limits::push(queue, waiter(2, "a", 14));
    Limits::push(queue, waiter(3, "b"));
    Limits::push(queue, waiter(4, "a"));
    EXPECT_TRUE(Limits::remove(queue, Common::QueryId(3), Common::AttemptId(1), Common::RouteName("b")));
    EXPECT_FALSE(Limits::remove(queue, Common::QueryId(3), Common::AttemptId(1), Common::RouteName("b")));
    EXPECT_EQ(Limits::pop(queue, at(10), Milliseconds(5))->query, Common::QueryId(4));
    EXPECT_FALSE(Limits::pop(queue, at(10)));
    EXPECT_EQ(Limits::size(queue), 0u);
}

TEST(WaitQueue, ARetryGoesFirstButNotToAnExcludedServer)
{
    Limits::WaitQueue queue;
    Common::BackendServerId a("a");
    Common::BackendServerId b("b");
    Limits::push(queue, waiter(1, "r", 900));
    Limits::push(queue, waiter(2, "r", 900));
    Limits::Waiter retry = waiter(3, "r", 800);
    retry.avoidServers = { a };
    Limits::push(queue, retry);
    EXPECT_EQ(Limits::pop(queue, at(0), {}, a)->query, Common::QueryId(1));
    EXPECT_EQ(Limits::pop(queue, at(0), {}, b)->query, Common::QueryId(3));
    Limits::push(queue, retry);
    EXPECT_EQ(Limits::pop(queue, at(0), {}, a)->query, Common::QueryId(2));
    EXPECT_FALSE(Limits::pop(queue, at(0), {}, a));
    EXPECT_EQ(Limits::size(queue), 1u);
}

TEST(WaitQueue, TheSlowestBacklogDecidesOnAdmission)
{
    Backlog free { 0, true, 4, Milliseconds(2) };
    Backlog busy { 39, false, 4, Milliseconds(2) };
    EXPECT_EQ(Limits::estimatedTime(busy), Milliseconds(22));
    EXPECT_TRUE(Limits::admit({ free, busy }, at(30), at(0)));
    auto refused = Limits::admit({ free, busy }, at(20), at(0));
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, Common::Reason::Overloaded);
    EXPECT_TRUE(Limits::admit({ free }, at(20), at(0)));
}
