#include "Tables.h"

#include <gtest/gtest.h>

using Common::GroupName;
using Common::Milliseconds;

namespace ReviewTest {

Routes::Table makeTable()
{
    Routes::Table table;
    table.number = Common::TableNumber(7);
    for (const char* name : { "a", "b", "c" })
        table.groups.push_back({ GroupName(name), Common::Connections(4) });
    Routes::Route single;
    single.name = Common::RouteName("single");
    single.host = "search.example";
    single.prefix = "/single/";
    single.timeout = Milliseconds(800);
    single.latencyObjective = Milliseconds(150);
    single.weightedGroups = { { GroupName("a"), 3 }, { GroupName("b"), 1 } };
    Routes::Route gather;
    gather.name = Common::RouteName("gather");
    gather.host = "search.example";
    gather.prefix = "/";
    gather.idempotency = Routes::Idempotency::Idempotent;
    gather.timeout = Milliseconds(300);
    gather.latencyObjective = Milliseconds(300);
    gather.maximumAttempts = 3;
    gather.priority = 1;
    gather.allowsAnonymous = true;
    gather.fanOut = Routes::FanOut { { GroupName("b"), GroupName("c") }, 5, Common::Ratio(1) };
    table.routes = { single, gather };
    Routes::Tenant large;
    large.name = Common::TenantName("large");
    large.keys = { Routes::digestOfKey("key-1"), Routes::digestOfKey("key-2") };
    large.priority = 0;
    large.quota = Routes::Quota { Common::RequestRate(10), 20 };
    Routes::Tenant small;
    small.name = Common::TenantName("small");
    small.keys = { Routes::digestOfKey("key-3") };
    table.tenants = { { large, small } };
    return table;
}

void indexValid(Routes::Table& table)
{
    Routes::index(table);
    auto result = Routes::validate(table);
    EXPECT_TRUE(result) << result.error();
}

} // namespace ReviewTest
