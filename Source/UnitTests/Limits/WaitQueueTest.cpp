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

Limits::Waiter waiter(uint64_t query, int priority, const std::string& tenant = "", double deadline = 1000)
{
    Limits::Waiter waiter = ::waiter(query, "r" + std::to_string(priority), deadline);
    waiter.caller.priority = priority;
    if (!tenant.empty())
        waiter.caller.tenant = Common::TenantName(tenant);
    return waiter;
}

// The queries in the order in which they are served.
std::vector<uint64_t> popAll(Limits::WaitQueue& queue)
{
    std::vector<uint64_t> order;
    while (auto next = Limits::pop(queue, at(0)))
        order.push_back(next->query.value());
    return order;
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

// Guards against less urgent priorities that starve, and against one of them that takes the turns of another.
TEST(WaitQueue, OneInEightIsOfTheLessUrgentPrioritiesInTurn)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 40; ++i) {
        Limits::push(queue, waiter(i, 0));
        Limits::push(queue, waiter(100 + i, 1));
        Limits::push(queue, waiter(200 + i, 2));
    }
    std::vector<uint64_t> order = popAll(queue);
    ASSERT_EQ(order.size(), 120u);
    std::vector<uint64_t> turns { order[7], order[15], order[23], order[31] };
    EXPECT_EQ(turns, (std::vector<uint64_t> { 100, 200, 101, 201 }));
    for (size_t i = 0; i < 40; ++i)
        EXPECT_TRUE(i % 8 == 7 || order[i] < 100) << i;
}

// Guards against a tenant that is served late because another one has many waiters with earlier deadlines.
TEST(WaitQueue, TenantsTakeTurnsAndEachServesItsEarliestDeadlineFirst)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 20; ++i)
        Limits::push(queue, waiter(i, 0, "flood", 100));
    Limits::push(queue, waiter(50, 0, "calm", 900));
    Limits::push(queue, waiter(51, 0, "calm", 800));
    Limits::CallerClass calm { 0, Common::TenantName("calm") };
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("other"), calm), 5u);
    std::vector<uint64_t> order = popAll(queue);
    order.resize(4);
    EXPECT_EQ(order, (std::vector<uint64_t> { 0, 51, 1, 50 }));
}

// Guards against admission that refuses urgent calls for waiters that they would overtake.
TEST(WaitQueue, OnlyWaitersThatWouldBeServedBeforeCountAsAhead)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 30; ++i)
        Limits::push(queue, waiter(i, 1));
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("r0"), { 0, std::nullopt }), 0u);
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("r1"), { 1, std::nullopt }), 30u);
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("r2"), { 2, std::nullopt }), 7u)
        << "the eighth is of the less urgent priorities";
}

// Guards against admission of calls that will be late, because more urgent ones that come later go before them.
TEST(WaitQueue, TheRateAtWhichAFlowIsServedCountsForAdmission)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 30; ++i)
        Limits::push(queue, waiter(i, 1));
    Limits::CallerClass patient { 1, std::nullopt };
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("r1"), patient), 30u);
    for (uint64_t i = 100; i < 120; ++i) {
        // Three urgent ones go before each patient one.
        for (int n = 0; n < 3; ++n) {
            Limits::push(queue, waiter(i, 0));
            EXPECT_EQ(Limits::pop(queue, at(0))->caller.priority, 0);
        }
        EXPECT_EQ(Limits::pop(queue, at(0))->caller.priority, 1);
    }
    EXPECT_NEAR(static_cast<double>(Limits::waitersAhead(queue, Common::RouteName("r1"), patient)), 40, 2);
    EXPECT_EQ(Limits::waitersAhead(queue, Common::RouteName("r0"), {}), 0u);
}

// Guards against a waiter that loses its turn, or counts as served, each time that no connection is free.
TEST(WaitQueue, AWaiterThatIsPutBackKeepsItsTurn)
{
    Limits::WaitQueue queue;
    for (uint64_t i = 0; i < 8; ++i)
        Limits::push(queue, waiter(i, 0));
    Limits::push(queue, waiter(50, 0, "tenant"));
    Limits::push(queue, waiter(100, 1));
    for (int i = 0; i < 20; ++i) {
        auto first = Limits::pop(queue, at(0));
        EXPECT_EQ(first->query, Common::QueryId(0));
        Limits::putBack(queue, *first);
    }
    EXPECT_EQ(popAll(queue), (std::vector<uint64_t> { 0, 50, 1, 2, 3, 4, 5, 100, 6, 7 }));
}

// Guards against waiters that stay until their deadline although they can no longer be answered by then.
TEST(WaitQueue, LateWaitersOfAllPrioritiesAreTaken)
{
    Limits::WaitQueue queue;
    Limits::push(queue, waiter(1, 0, "a", 10));
    Limits::push(queue, waiter(2, 0, "a", 20));
    Limits::push(queue, waiter(3, 1, "", 14));
    EXPECT_TRUE(Limits::takeLate(queue, at(0), Milliseconds(9)).empty());
    auto late = Limits::takeLate(queue, at(10), Milliseconds(5));
    ASSERT_EQ(late.size(), 2u);
    EXPECT_EQ(late[0].query, Common::QueryId(1));
    EXPECT_EQ(late[1].query, Common::QueryId(3));
    EXPECT_FALSE(Limits::remove(queue, Common::QueryId(2), Common::AttemptId(1), Common::RouteName("r0")));
    EXPECT_TRUE(Limits::remove(
        queue, Common::QueryId(2), Common::AttemptId(1), Common::RouteName("r0"), { 0, Common::TenantName("a") }));
    EXPECT_EQ(Limits::size(queue), 0u);
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
