#include "Common/KeySpace.h"
#include "Common/Random.h"

#include <gtest/gtest.h>

using Common::KeyRange;
using Common::KeyRangeSet;
using Common::keySpaceSize;

// A gap of a single point must not count as full coverage.
TEST(KeySpace, IsWholeOnlyIfEveryPointIsCovered)
{
    KeyRangeSet set;
    set.add({ 0, 100 });
    set.add({ 101, keySpaceSize });
    EXPECT_FALSE(set.isWhole());
    ASSERT_EQ(set.gaps().size(), 1u);
    EXPECT_EQ(set.gaps()[0], (KeyRange { 100, 101 }));
    set.add({ 100, 101 });
    EXPECT_TRUE(set.isWhole());
    EXPECT_EQ(set.coverage(), Common::Ratio(1));
    EXPECT_EQ(set.ranges().size(), 1u);
}

// Compares KeyRangeSet with a plain bitmap of points, over random ranges.
TEST(KeySpace, MatchesABitmapOfPoints)
{
    constexpr uint64_t limit = 64;
    Common::Random random(11);
    for (int run = 0; run < 500; ++run) {
        KeyRangeSet set;
        std::vector<bool> points(limit);
        for (int i = 0; i < 12; ++i) {
            uint64_t begin = random.below(limit);
            uint64_t end = begin + random.below(limit - begin + 1);
            set.add({ begin, end });
            std::fill(points.begin() + static_cast<long>(begin), points.begin() + static_cast<long>(end), true);
        }
        ASSERT_EQ(set.size(), static_cast<uint64_t>(std::count(points.begin(), points.end(), true)));
        for (size_t i = 1; i < set.ranges().size(); ++i)
            ASSERT_LT(set.ranges()[i - 1].end, set.ranges()[i].begin);
    }
}
