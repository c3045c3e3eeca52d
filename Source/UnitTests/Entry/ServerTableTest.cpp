#include "Entry/TwoReplicas.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Entry::Placement;

namespace {

constexpr Milliseconds soon { 500 };
constexpr Milliseconds late { 60'000 };

} // namespace

TEST(ServerTable, WaitsWhileAllSlotsAreTaken)
{
    TwoReplicas it;
    Entry::PlacementOptions options { true, true, it.now + soon };
    EXPECT_EQ(it.place({}, options).placement, Placement::Acquired);
    EXPECT_EQ(it.place({}, options).placement, Placement::Acquired);
    EXPECT_EQ(it.place({}, options).placement, Placement::NoSlot);
}

TEST(ServerTable, DoesNotOvertakeWaitingAttempts)
{
    TwoReplicas it;
    EXPECT_EQ(it.place({}, { false, true, it.now + soon }).placement, Placement::NoSlot);
    EXPECT_TRUE(it.table.hasFreeSlot(it.id(0), it.now));
}

TEST(ServerTable, NeverUsesAnExcludedServer)
{
    TwoReplicas it;
    Entry::PlacementOptions options { true, true, it.now + soon };
    EXPECT_EQ(it.place({ { it.id(0) }, {} }, options).server, 1U);
    EXPECT_EQ(it.place({ { it.id(0) }, {} }, options).placement, Placement::NoSlot);
    EXPECT_EQ(it.place({ { it.id(0), it.id(1) }, {} }, options).placement, Placement::NoServer);
}

TEST(ServerTable, ReportsThatTheBestReplicaIsPaused)
{
    TwoReplicas it;
    it.pause(1);
    EXPECT_EQ(it.place({ { it.id(0) }, {} }, { true, false, it.now + late }).placement, Placement::Paused);
}

TEST(ServerTable, FindsNoServerIfAllReplicasArePausedPastTheDeadline)
{
    TwoReplicas it;
    it.pause(0);
    it.pause(1);
    it.pause(0);
    Common::TimePoint now = it.now;
    EXPECT_EQ(it.place({ { it.id(1) }, {} }, { true, true, now + soon }).placement, Placement::NoServer);
    EXPECT_EQ(it.place({ { it.id(1) }, {} }, { false, true, now + soon }).placement, Placement::NoServer);
    EXPECT_EQ(it.place({ { it.id(1) }, {} }, { true, true, now + late }).placement, Placement::Paused);
}

TEST(ServerTable, DoesNotCountSlotsOfAPausedServer)
{
    TwoReplicas it;
    double both = it.table.usableSlots(it.set, it.set.all, it.now);
    it.pause(0);
    EXPECT_DOUBLE_EQ(both, 2 * it.table.usableSlots(it.set, { 1 }, it.now));
    EXPECT_DOUBLE_EQ(it.table.usableSlots(it.set, it.set.all, it.now), it.table.usableSlots(it.set, { 1 }, it.now));
}
