#include "Limits/RetryAfter.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Limits::retryAfter;

// Guards against callers that return together, and against waits that callers don't honour.
TEST(RetryAfter, SpreadsOverAnIntervalOfTheSameLengthWithinAThirdOfTheRemainingTime)
{
    EXPECT_EQ(retryAfter(Milliseconds(30), Milliseconds(800), 0), Milliseconds(30));
    EXPECT_NEAR(retryAfter(Milliseconds(30), Milliseconds(800), 0.5).value(), 45, 1e-9);
    for (double chance : { 0.0, 0.5, 0.999 }) {
        EXPECT_LE(retryAfter(Milliseconds(5'000), Milliseconds(300), chance), Milliseconds(100));
        EXPECT_GE(retryAfter(Milliseconds(5'000), Milliseconds(300), chance), Milliseconds(50));
        EXPECT_GT(retryAfter(Milliseconds(0), Milliseconds(300), chance), Milliseconds(0));
    }
    EXPECT_EQ(retryAfter(Milliseconds(30), Milliseconds(-1), 0.5), Milliseconds(0));
}
