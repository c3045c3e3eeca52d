#include "Limits/ServerLoad.h"
#include "Common/Random.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Common::Slots;
using Common::TimePoint;
using Limits::Completion;
using Limits::ServerLoad;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

// Runs requests that take `took` ms one after another, as fast as the limit allows. Returns how many were run.
int runFor(ServerLoad& load, double& now, double duration, Completion completion = Completion::Ok, double took = 2)
{
    int n = 0;
    for (double end = now + duration; now < end; now += 0.5)
        if (Limits::tryAcquire(load, at(now))) {
            now += took;
            Limits::release(load, completion, Milliseconds(took), at(now));
            ++n;
        }
    return n;
}

ServerLoad warmServer(const Limits::SlotShare& share, double& now)
{
    ServerLoad load;
    Limits::configure(load, share, at(now));
    runFor(load, now, 1000);
    EXPECT_FALSE(load.cold);
    return load;
}

} // namespace

TEST(ServerLoad, FairSharesAddUpAndAtMostOneSlotIsBorrowed)
{
    for (int64_t slots : { 1, 2, 3, 8 })
        for (size_t n : { 1, 2, 3, 9 }) {
            double fair = 0;
            int64_t whole = 0;
            for (size_t i = 0; i < n; ++i) {
                auto share = Limits::slotShare(Slots(slots), n, i);
                fair += share.fair.value();
                whole += share.ceiling.value() - 1;
                EXPECT_LE(share.ceiling, Slots(slots));
                EXPECT_GE(share.ceiling, Slots(1));
            }
            EXPECT_NEAR(fair, static_cast<double>(slots), 1e-9);
            EXPECT_LE(whole, std::max(slots, static_cast<int64_t>(n)));
        }
    EXPECT_EQ(Limits::slotShare(Slots(2), 1, 0).ceiling, Slots(2));
    EXPECT_EQ(Limits::slotShare(Slots(2), 9, 8).ceiling, Slots(2));
}

TEST(ServerLoad, AColdServerIsRampedUp)
{
    ServerLoad load;
    Limits::configure(load, { Slots(4), Common::Ratio(4) }, at(0));
    EXPECT_TRUE(Limits::tryAcquire(load, at(0)));
    EXPECT_FALSE(Limits::tryAcquire(load, at(0)));
    Limits::release(load, Completion::Ok, Milliseconds(2), at(2));
    EXPECT_GT(Limits::availableAt(load), at(2));
    double now = 2;
    runFor(load, now, 2000);
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(Limits::tryAcquire(load, at(now)));
    EXPECT_FALSE(Limits::tryAcquire(load, at(now)));
}

TEST(ServerLoad, ASheddingServerIsBackedOffAndRecoversSlowly)
{
    double now = 0;
    ServerLoad load = warmServer({ Slots(2), Common::Ratio(2) }, now);
    int before = runFor(load, now, 1000);
    int shed = runFor(load, now, 1000, Completion::Shed, 0.5);
    EXPECT_LT(shed, 10);
    now += 2000;
    int soon = runFor(load, now, 100) * 10;
    int later = (runFor(load, now, 5000), runFor(load, now, 1000));
    EXPECT_LT(soon, before / 2);
    EXPECT_GT(later, before * 9 / 10);
}

TEST(ServerLoad, BorrowedSlotsAreReturnedWhenLatenciesRise)
{
    double now = 0;
    ServerLoad load = warmServer({ Slots(1), Common::Ratio(0.25) }, now);
    EXPECT_GT(load.limit, 0.9);
    runFor(load, now, 500, Completion::Ok, 12);
    EXPECT_LT(load.limit, 0.5);
    EXPECT_GE(load.limit, 0.25);
}

TEST(ServerLoad, TheFairShareIsKeptWhenAllRequestsAreSlow)
{
    double now = 0;
    ServerLoad load = warmServer({ Slots(2), Common::Ratio(2) }, now);
    runFor(load, now, 5000, Completion::Ok, 100);
    runFor(load, now, 5000, Completion::TimedOut, 500);
    EXPECT_TRUE(Limits::tryAcquire(load, at(now)));
    EXPECT_TRUE(Limits::tryAcquire(load, at(now)));
}

TEST(ServerLoad, AServerThatWasSlowIsTriedAgain)
{
    double now = 0;
    ServerLoad load = warmServer({ Slots(2), Common::Ratio(2) }, now);
    runFor(load, now, 400, Completion::Cancelled, 40);
    EXPECT_GT(Limits::expectedLatency(load, at(now)), Milliseconds(10));
    EXPECT_LT(Limits::expectedLatency(load, at(now + 20'000)), load.usualLatency * 1.1);
}

TEST(ServerLoad, InFlightNeverExceedsTheCeiling)
{
    Common::Random random(5);
    ServerLoad load;
    int64_t inFlight = 0;
    double now = 0;
    for (int i = 0; i < 200'000; ++i, now += random.unit()) {
        if (i % 1000 == 0)
            Limits::configure(load, Limits::slotShare(Slots(6), 1 + random.below(9), random.below(9)), at(now));
        if (random.chance(0.5)) {
            bool hasSlot = Limits::hasFreeSlot(load, at(now));
            ASSERT_EQ(Limits::tryAcquire(load, at(now)), hasSlot);
            inFlight += hasSlot ? 1 : 0;
            ASSERT_TRUE(!hasSlot || inFlight <= load.share.ceiling.value());
        } else if (inFlight > 0) {
            auto completion = random.chance(0.9) ? Completion::Ok : static_cast<Completion>(random.below(5));
            Limits::release(load, completion, Milliseconds(random.unit() * 10), at(now));
            --inFlight;
        }
        ASSERT_EQ(load.inFlight, inFlight);
    }
}
