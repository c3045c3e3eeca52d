#include "Common/Clock.h"

#include <gtest/gtest.h>

using Common::Clock;
using Common::Milliseconds;

// Guards against a lease that is measured with a clock that stops while the machine is suspended: the boot clock is
// never behind the monotonic one.
TEST(Clock, TheBootClockCountsSuspension)
{
    auto monotonic = Clock::now();
    auto first = Clock::sinceBoot();
    EXPECT_GE(first, monotonic);
    EXPECT_GE(Clock::sinceBoot(), first);
    EXPECT_LT(Clock::sinceBoot() - first, Milliseconds(10'000)) << "in milliseconds";
}
