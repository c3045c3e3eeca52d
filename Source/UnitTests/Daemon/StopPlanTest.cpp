#include "Daemon/StopPlan.h"

#include <gtest/gtest.h>

using Common::Milliseconds;

// Guards against a stop whose steps together exceed the grace period.
TEST(StopPlan, StaysWithinTheGracePeriod)
{
    for (double grace : { 100, 2'000, 6'000, 32'000 }) {
        for (double wait : { 0, 90, 2'600, 60'000 }) {
            auto plan = Daemon::planStop({ Milliseconds(grace), Milliseconds(wait), {} }, Common::TimePoint());
            EXPECT_LE(Common::TimePoint(), plan.serveUntil);
            EXPECT_LE(plan.serveUntil, plan.answerBy);
            EXPECT_LT(plan.answerBy, plan.abortAt);
            EXPECT_LT(plan.abortAt, plan.writeBy);
            EXPECT_LT(plan.writeBy, Common::TimePoint(Milliseconds(grace)));
        }
    }
}
