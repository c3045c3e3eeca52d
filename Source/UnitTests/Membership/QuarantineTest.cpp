#include "Membership/Quarantine.h"

#include "Membership/GossipLoop.h"

#include <gtest/gtest.h>

using namespace Membership;
using Common::Fingerprint;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const TimePoint start { Milliseconds(1'000) };
const Fingerprint crasher { 1 };
const Fingerprint bystander { 2 };
const Fingerprint unrelated { 3 };

Loss lossOf(size_t server, uint64_t incarnation = 1) { return { serverId(server), Common::Incarnation(incarnation) }; }

} // namespace

TEST(Quarantine, ASuspectIsNotRetriedAndTheSecondServerQuarantines)
{
    QuarantineState state;
    EXPECT_TRUE(mayRetry(state, crasher, start));
    recordLoss(state, lossOf(1), { crasher }, start);
    EXPECT_FALSE(mayRetry(state, crasher, start));
    EXPECT_FALSE(isQuarantined(state, crasher, start));
    EXPECT_TRUE(recordLoss(state, lossOf(1), { crasher }, start).empty()) << "the same loss, reported twice";
    EXPECT_FALSE(isQuarantined(state, crasher, start));
    EXPECT_EQ(recordLoss(state, lossOf(2), { crasher }, start).size(), 1u);
    EXPECT_TRUE(isQuarantined(state, crasher, start));
}

TEST(Quarantine, TheThirdLossOfOneServerQuarantines)
{
    QuarantineState state;
    recordLoss(state, lossOf(1, 1), { crasher }, start);
    recordLoss(state, lossOf(1, 2), { crasher }, start);
    EXPECT_FALSE(isQuarantined(state, crasher, start));
    recordLoss(state, lossOf(1, 3), { crasher }, start);
    EXPECT_TRUE(isQuarantined(state, crasher, start));
}

TEST(Quarantine, IsBoundedInTime)
{
    QuarantineState state;
    recordLoss(state, lossOf(1), { crasher }, start);
    recordLoss(state, lossOf(2), { crasher }, start);
    auto end = start + state.settings.quarantineFor;
    EXPECT_TRUE(isQuarantined(state, crasher, end - Milliseconds(1)));
    EXPECT_FALSE(isSuspect(state, crasher, end));
    // A new loss after the expiry starts a new count.
    recordLoss(state, lossOf(3), { crasher }, end);
    EXPECT_FALSE(isQuarantined(state, crasher, end));
    EXPECT_TRUE(isSuspect(state, crasher, end));
    expire(state, end + state.settings.suspectFor + state.settings.keepExpired);
    EXPECT_TRUE(state.entries.empty());
}

TEST(Quarantine, ABystanderIsReleasedByANormalCompletion)
{
    QuarantineState state;
    recordLoss(state, lossOf(1), { crasher, bystander }, start);
    EXPECT_FALSE(mayRetry(state, bystander, start));
    EXPECT_TRUE(recordCompletion(state, bystander, start));
    EXPECT_TRUE(mayRetry(state, bystander, start));
    EXPECT_FALSE(recordCompletion(state, unrelated, start)) << "a fingerprint that was never suspect causes no change";
    recordLoss(state, lossOf(2), { crasher, bystander, unrelated }, start);
    EXPECT_TRUE(isQuarantined(state, crasher, start));
    EXPECT_TRUE(mayRetry(state, bystander, start)) << "the loss is attributed to the suspect";
    EXPECT_TRUE(mayRetry(state, unrelated, start));
}

TEST(Quarantine, ABystanderOfBothLossesIsReleasedToo)
{
    QuarantineState state;
    recordLoss(state, lossOf(1), { crasher, bystander }, start);
    recordLoss(state, lossOf(2), { crasher, bystander }, start);
    EXPECT_TRUE(isQuarantined(state, bystander, start));
    EXPECT_TRUE(recordCompletion(state, bystander, start));
    EXPECT_FALSE(isSuspect(state, bystander, start));
    EXPECT_TRUE(isQuarantined(state, crasher, start));
}

TEST(Quarantine, LossesSeenByTwoInstancesAddUpAndAReleaseWins)
{
    QuarantineState one;
    QuarantineState two;
    auto first = recordLoss(one, lossOf(1), { crasher }, start);
    auto second = recordLoss(two, lossOf(2), { crasher }, start);
    merge(one, std::get<FingerprintRecord>(second[0].record), start);
    merge(two, std::get<FingerprintRecord>(first[0].record), start);
    EXPECT_TRUE(isQuarantined(one, crasher, start));
    EXPECT_TRUE(isQuarantined(two, crasher, start));
    auto release = recordCompletion(one, crasher, start);
    merge(two, std::get<FingerprintRecord>(release->record), start);
    EXPECT_FALSE(merge(two, std::get<FingerprintRecord>(first[0].record), start)) << "a late record of an older round";
    EXPECT_TRUE(mayRetry(two, crasher, start));
}

TEST(Quarantine, EntriesAreBounded)
{
    QuarantineState state;
    state.settings.maximumEntries = 10;
    for (uint64_t i = 0; i < 100; ++i)
        recordLoss(state, lossOf(i), { Fingerprint(i) }, start + Milliseconds(static_cast<double>(i)));
    EXPECT_EQ(state.entries.size(), 10u);
    EXPECT_TRUE(isSuspect(state, Fingerprint(99), start + Milliseconds(100)));
}
