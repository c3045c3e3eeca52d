#include "Relay/Load.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Common::TimePoint;
using Relay::Load;
using Relay::Outcome;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Load answering(double latency)
{
    Load load;
    for (int i = 0; i < 20; ++i) {
        begin(load, at(i * 100));
        end(load, at(i * 100), { Outcome::Kind::Answered, Milliseconds(latency) }, at(i * 100 + latency));
    }
    return load;
}

} // namespace

TEST(Load, ExpectsTheObservedLatency) { EXPECT_NEAR(expectedLatency(answering(30), at(5'000)).value(), 30, 1); }

TEST(Load, AStalledServerIsExpectedToStayStalled)
{
    Load load = answering(30);
    begin(load, at(5'000));
    EXPECT_NEAR(expectedLatency(load, at(5'040)).value(), 30, 1);
    EXPECT_GT(expectedLatency(load, at(5'200)).value(), 200);
}

TEST(Load, FailuresBackOffExponentiallyUntilAnAnswer)
{
    Load load;
    Milliseconds earlier;
    for (int i = 0; i < 5; ++i) {
        begin(load, at(i));
        end(load, at(i), { Outcome::Kind::Failed, Milliseconds(1) }, at(i));
        EXPECT_GT(load.pausedUntil - at(i), earlier);
        earlier = load.pausedUntil - at(i);
    }
    begin(load, at(9));
    end(load, at(9), { Outcome::Kind::Answered, Milliseconds(1) }, at(10));
    EXPECT_LE(load.pausedUntil, at(10));
    EXPECT_TRUE(load.inFlight.empty());
}

TEST(Load, SheddingRaisesTheExpectedLatencyUntilItStops)
{
    Load load = answering(30);
    for (int i = 0; i < 40; ++i) {
        begin(load, at(5'000 + i));
        bool sheds = i % 2 == 0;
        end(load, at(5'000 + i),
            { sheds ? Outcome::Kind::Shed : Outcome::Kind::Answered, Milliseconds(sheds ? 1 : 30) }, at(5'001 + i));
    }
    EXPECT_GT(expectedLatency(load, at(6'000)).value(), 100);
    for (int i = 0; i < 60; ++i) {
        begin(load, at(7'000 + i));
        end(load, at(7'000 + i), { Outcome::Kind::Answered, Milliseconds(30) }, at(7'030 + i));
    }
    EXPECT_LT(expectedLatency(load, at(8'000)).value(), 40);
}

TEST(Load, ASlowPeriodDecaysWhileTheServerIsIdle)
{
    Load load = answering(30);
    for (int i = 0; i < 80; ++i) {
        begin(load, at(2'000 + i * 50));
        end(load, at(2'000 + i * 50), { Outcome::Kind::Answered, Milliseconds(250) }, at(2'000 + i * 50 + 250));
    }
    Common::TimePoint last = load.lastEndedAt;
    EXPECT_GT(expectedLatency(load, last + Milliseconds(10)).value(), 240);
    EXPECT_LT(expectedLatency(load, last + Milliseconds(2'000)).value(), 170);
    EXPECT_LT(expectedLatency(load, last + Milliseconds(6'000)).value(), 110);
    EXPECT_GT(expectedLatency(load, last + Milliseconds(60'000)).value(), 29);
}
