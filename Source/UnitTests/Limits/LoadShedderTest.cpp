#include "Limits/LoadShedder.h"

#include <gtest/gtest.h>

using Limits::LoadShedder;

TEST(LoadShedder, AdmitsAllWhileAnswersAreInTime)
{
    LoadShedder shedder;
    for (int i = 0; i < 100; ++i)
        Limits::recordAnswer(shedder, i % 20 == 0);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999));
}

TEST(LoadShedder, ShedsWhileManyAnswersAreLateAndRecovers)
{
    LoadShedder shedder;
    for (int i = 0; i < 10; ++i)
        Limits::recordAnswer(shedder, true);
    EXPECT_FALSE(Limits::shouldAdmit(shedder, 0.9));
    for (int i = 0; i < 1'000; ++i)
        Limits::recordAnswer(shedder, true);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.5)) << "below the minimum share";
    for (int i = 0; i < 25; ++i)
        Limits::recordAnswer(shedder, false);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999));
}
