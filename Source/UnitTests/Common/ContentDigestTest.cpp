#include "Common/ContentDigest.h"

#include <gtest/gtest.h>

using Common::digestOf;

TEST(ContentDigest, DependsOnTheTextsAndOnWhereTheyAreDivided)
{
    EXPECT_EQ(digestOf({ "ab", "c" }), digestOf({ "ab", "c" }));
    EXPECT_NE(digestOf({ "ab", "c" }), digestOf({ "a", "bc" }));
    EXPECT_NE(digestOf({ "ab", "" }), digestOf({ "", "ab" }));
    EXPECT_NE(digestOf({ "ab" }), digestOf({ "ab", "" }));
}

TEST(ContentDigest, IsTheSameOnEveryMachine)
{
    EXPECT_EQ(Common::toHex(digestOf({ "GET", "/a" })), "95b6afd5361203f48f1ef6c49a739e14");
}

TEST(ContentDigest, IsWrittenAsHexadecimalDigits)
{
    EXPECT_EQ(Common::toHex({ 0x1f, 0xa0 }), "000000000000001f00000000000000a0");
}
