#include "Entry/WaitingAttempts.h"
#include "Entry/TwoReplicas.h"

#include <gtest/gtest.h>

using Common::AttemptId;
using Common::Milliseconds;
using Common::QueryId;

namespace {

Limits::Waiter waiterOf(const TwoReplicas& it, uint64_t query, std::vector<Common::BackendServerId> avoid = {})
{
    return { QueryId(query), AttemptId(1), it.shard, Common::RouteName("lookup"), it.now + Milliseconds(1000),
        std::move(avoid) };
}

Entry::QueueKey keyOf(const TwoReplicas& it)
{
    return { Common::GroupName("foglalas"), Common::IndexVersion(7), it.shard };
}

} // namespace

TEST(WaitingAttempts, DoesNotUseAnExcludedServer)
{
    TwoReplicas it;
    Entry::WaitingAttempts waiting(it.table);
    ASSERT_TRUE(it.table.acquireAt(it.id(1), it.now));
    waiting.push(keyOf(it), waiterOf(it, 1, { it.id(0) }));
    EXPECT_TRUE(waiting.drain(keyOf(it), it.set, it.now).empty());
    EXPECT_EQ(waiting.size(), 1U);
    it.table.release(it.id(1), Limits::Completion::Ok, Milliseconds(2), it.now);
    it.now = it.now + Milliseconds(100);
    auto started = waiting.drain(keyOf(it), it.set, it.now);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().server, 1U);
    EXPECT_EQ(waiting.size(), 0U);
}

TEST(WaitingAttempts, StartsNoMoreAttemptsThanFreeSlots)
{
    TwoReplicas it;
    Entry::WaitingAttempts waiting(it.table);
    for (uint64_t query = 1; query <= 3; ++query)
        waiting.push(keyOf(it), waiterOf(it, query));
    EXPECT_EQ(waiting.drain(keyOf(it), it.set, it.now).size(), 2U);
    EXPECT_EQ(waiting.size(), 1U);
    EXPECT_FALSE(it.table.hasFreeSlot(it.id(0), it.now));
    EXPECT_FALSE(it.table.hasFreeSlot(it.id(1), it.now));
}
