#include "Model/Validation.h"

#include <gtest/gtest.h>

#include <cmath>

using namespace Model;

namespace {

IndexVersionMap twoShards()
{
    uint64_t half = Common::keySpaceSize / 2;
    return { Common::GroupName("foglalas"), Common::IndexVersion(1),
        { { Common::ShardId(0), { 0, half } }, { Common::ShardId(1), { half, Common::keySpaceSize } } } };
}

std::string messageOf(const Resource& resource)
{
    auto result = validate(resource);
    return result ? "" : result.error().message;
}

} // namespace

TEST(Validation, AcceptsACompleteShardMap) { EXPECT_EQ(messageOf(twoShards()), ""); }

// A shard map with a gap would lose keys; an overlap or a repeated id would count some twice.
TEST(Validation, RejectsGapsOverlapsAndRepeatedShards)
{
    auto map = twoShards();
    map.shards[1].range.begin += 1;
    EXPECT_NE(messageOf(map).find("shards.range"), std::string::npos);
    map = twoShards();
    map.shards[1].range.begin -= 1;
    EXPECT_NE(messageOf(map).find("shards.range"), std::string::npos);
    map = twoShards();
    map.shards[1].range.end -= 1;
    EXPECT_NE(messageOf(map).find("shards.range"), std::string::npos);
    map = twoShards();
    map.shards[1].id = map.shards[0].id;
    EXPECT_NE(messageOf(map).find("shards.id"), std::string::npos);
}

// The message names the invalid field, and NaN does not pass a range check.
TEST(Validation, NamesTheInvalidFieldOfARoute)
{
    QueryRoute route { Common::RouteName("free slots"), Common::GroupName("foglalas") };
    EXPECT_NE(messageOf(route).find("field name"), std::string::npos);
    route.name = Common::RouteName("free-slots");
    EXPECT_NE(messageOf(route).find("field version"), std::string::npos);
    route.version = Common::IndexVersion(1);
    EXPECT_EQ(messageOf(route), "");
    route.minimumCoverage = Common::Ratio(std::nan(""));
    EXPECT_NE(messageOf(route).find("minimum_coverage"), std::string::npos);
}
