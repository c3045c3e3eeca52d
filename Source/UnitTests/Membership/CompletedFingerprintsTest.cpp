#include "Membership/CompletedFingerprints.h"

#include <gtest/gtest.h>

using Common::Fingerprint;
using Common::Milliseconds;
using Common::TimePoint;
using namespace Membership;

TEST(CompletedFingerprints, AreKeptForTheRetentionWithinABound)
{
    CompletedFingerprints completed;
    TimePoint start { Milliseconds(1'000'000) };
    addCompleted(completed, Fingerprint(1), start);
    EXPECT_TRUE(hasCompleted(completed, Fingerprint(1)));
    EXPECT_FALSE(hasCompleted(completed, Fingerprint(2)));
    addCompleted(completed, Fingerprint(2), start + completedRetention);
    EXPECT_TRUE(hasCompleted(completed, Fingerprint(1)));
    addCompleted(completed, Fingerprint(3), start + completedRetention * 2);
    EXPECT_FALSE(hasCompleted(completed, Fingerprint(1)));
    for (uint64_t i = 0; i < 10 * maximumCompletedPerSet; ++i)
        addCompleted(completed, Fingerprint(100 + i), start + completedRetention * 2);
    EXPECT_LE(completed.current.size() + completed.previous.size(), 2 * maximumCompletedPerSet);
}
