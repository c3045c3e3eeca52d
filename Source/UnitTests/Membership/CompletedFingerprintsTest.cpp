#include "Membership/CompletedFingerprints.h"

#include <gtest/gtest.h>

using Common::Fingerprint;
using Common::Milliseconds;
using Common::TimePoint;
using namespace Membership;

TEST(Completed, RemembersForATimeAndWithinABound)
{
    CompletedFingerprints completed;
    TimePoint start { Milliseconds(1'000'000) };
    addCompleted(completed, Fingerprint(1), start);
    EXPECT_TRUE(hasCompleted(completed, Fingerprint(1)));
    EXPECT_FALSE(hasCompleted(completed, Fingerprint(2)));
    addCompleted(completed, Fingerprint(2), start + completedFor);
    EXPECT_TRUE(hasCompleted(completed, Fingerprint(1)));
    addCompleted(completed, Fingerprint(3), start + completedFor * 2);
    EXPECT_FALSE(hasCompleted(completed, Fingerprint(1)));
    for (uint64_t i = 0; i < 10 * maximumCompleted; ++i)
        addCompleted(completed, Fingerprint(100 + i), start + completedFor * 2);
    EXPECT_LE(completed.newer.size() + completed.older.size(), 2 * maximumCompleted);
}
