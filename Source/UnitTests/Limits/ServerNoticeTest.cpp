#include "Limits/ServerNotice.h"

#include <gtest/gtest.h>

using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;
using namespace Limits;

namespace {

const Incarnation first { 1 };

TimePoint at(double time) { return TimePoint(Milliseconds(time)); }

} // namespace

TEST(ServerNotice, ALeavingServerGetsNothingUntilItsNextIncarnation)
{
    ServerNotices notices;
    recordNotice(notices, first, { true, {} }, true, at(0));
    recordNotice(notices, first, {}, true, at(10));
    EXPECT_FALSE(mayReceive(notices, first, 0, at(60'000)));
    EXPECT_FALSE(reopensIn(notices, first, at(0)));
    EXPECT_TRUE(mayReceive(notices, Incarnation(2), 0, at(20)));
    recordNotice(notices, Incarnation(2), {}, true, at(20));
    recordNotice(notices, first, { true, {} }, true, at(30));
    EXPECT_TRUE(mayReceive(notices, Incarnation(2), 0, at(30))) << "a late answer of the earlier incarnation";
}

TEST(ServerNotice, AClosedServerGetsNothingAndReopensWithOneRequest)
{
    ServerNotices notices;
    recordNotice(notices, first, { false, Milliseconds(3'000) }, false, at(0));
    recordNotice(notices, first, { false, Milliseconds(1'000) }, false, at(1));
    EXPECT_FALSE(mayReceive(notices, first, 0, at(2'999)));
    EXPECT_EQ(reopensIn(notices, first, at(1'000)), Milliseconds(2'000));
    EXPECT_TRUE(mayReceive(notices, first, 0, at(3'000)));
    EXPECT_FALSE(mayReceive(notices, first, 1, at(3'000)));
    recordNotice(notices, first, {}, true, at(3'010));
    EXPECT_TRUE(mayReceive(notices, first, 5, at(3'010)));
}

TEST(ServerNotice, AbsurdTimesAreBounded)
{
    ServerNotices notices;
    recordNotice(notices, first, { false, Milliseconds(1e15) }, false, at(0));
    EXPECT_FALSE(mayReceive(notices, first, 0, at(59'000)));
    EXPECT_TRUE(mayReceive(notices, first, 0, at(60'000)));
    ServerNotices negative;
    recordNotice(negative, first, { false, Milliseconds(-5) }, false, at(0));
    EXPECT_TRUE(mayReceive(negative, first, 0, at(0)));
}

// 100 callers are refused while all servers are closed for 3 s.
TEST(ServerNotice, CallersOfAClosedGroupReturnSpreadAfterItReopens)
{
    std::vector<size_t> perInterval(6);
    for (int i = 0; i < 100; ++i) {
        Milliseconds wait = spreadReturn(Milliseconds(3'000), i / 100.0);
        ASSERT_GE(wait, Milliseconds(3'000));
        ASSERT_LT(wait, Milliseconds(4'500));
        ++perInterval[static_cast<size_t>((wait.value() - 3'000) / 250)];
    }
    for (size_t n : perInterval)
        EXPECT_LE(n, 18u);
}
