#include "Routes/Table.h"

#include <gtest/gtest.h>

#include <map>

using Common::GroupName;
using Common::Milliseconds;
using Common::RouteName;

namespace {

Routes::Route route(const char* name, const char* prefix, const char* group = "a")
{
    Routes::Route route;
    route.name = RouteName(name);
    route.host = "host";
    route.prefix = prefix;
    route.timeout = Milliseconds(1'000);
    route.weightedGroups = { { GroupName(group), 1 } };
    return route;
}

Routes::Table tableOf(std::vector<Routes::Route> routes)
{
    Routes::Table table;
    table.routes = std::move(routes);
    table.groups = { { GroupName("a"), Common::Connections(4) }, { GroupName("b"), Common::Connections(4) } };
    Routes::index(table);
    return table;
}

std::string problemOf(const Routes::Route& broken)
{
    auto result = Routes::validate(tableOf({ broken }));
    return result ? "" : result.error().message;
}

} // namespace

TEST(Table, MatchesTheLongestPrefixOfTheHost)
{
    auto table = tableOf({ route("short", "/a/"), route("long", "/a/b/"), route("root", "/") });
    EXPECT_EQ(Routes::match(table, "host", "/a/b/c")->name, RouteName("long"));
    EXPECT_EQ(Routes::match(table, "host", "/a/bc")->name, RouteName("short"));
    EXPECT_EQ(Routes::match(table, "host", "/z")->name, RouteName("root"));
    EXPECT_EQ(Routes::match(table, "other", "/a/"), nullptr);
}

TEST(Table, RejectsInvalidFields)
{
    EXPECT_EQ(problemOf(route("r", "/a/")), "");
    EXPECT_NE(problemOf(route("r", "/a/", "unknown")), "");
    auto noTime = route("r", "/a/");
    noTime.timeout = Milliseconds(0);
    EXPECT_NE(problemOf(noTime), "");
    auto noWeight = route("r", "/a/");
    noWeight.weightedGroups = { { GroupName("a"), 0 }, { GroupName("b"), 0 } };
    EXPECT_NE(problemOf(noWeight), "");
    auto unknownGroup = route("r", "/a/");
    unknownGroup.fanOut = Routes::FanOut { { GroupName("a"), GroupName("unknown") }, 5, Common::Ratio(0.5) };
    EXPECT_NE(problemOf(unknownGroup), "");
    EXPECT_FALSE(Routes::validate(tableOf({ route("r", "/a/"), route("s", "/a/") })));
}

TEST(Table, WeightsAreMetOverFewRequests)
{
    auto split = route("r", "/a/");
    split.weightedGroups = { { GroupName("a"), 3 }, { GroupName("b"), 1 } };
    std::map<GroupName, int> counts;
    for (uint64_t n = 0; n < 100; ++n)
        ++counts[Routes::chooseGroup(split, n).group];
    EXPECT_NEAR(counts[GroupName("a")], 75, 3);
}
