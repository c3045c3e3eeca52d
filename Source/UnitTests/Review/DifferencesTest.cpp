#include "Review/Differences.h"

#include "Tables.h"

#include <gtest/gtest.h>

#include <functional>

using Review::Difference;
using Review::Field;
using Review::Subject;
using Kind = Review::Difference::Kind;

namespace {

const Subject gather { Subject::Kind::Route, "gather" };
const Subject large { Subject::Kind::Tenant, "large" };

// The differences after a change that raises the number, without that of the number.
std::vector<Difference> differencesAfter(const std::function<void(Routes::Table&)>& change)
{
    Routes::Table before = ReviewTest::makeTable();
    Routes::Table after = ReviewTest::makeTable();
    after.number = Common::TableNumber(8);
    change(after);
    auto differences = Review::differences(before, after);
    EXPECT_FALSE(differences.empty());
    EXPECT_EQ(differences.front().field, Field::Number);
    EXPECT_EQ(differences.front().kind, Kind::Changed);
    differences.erase(differences.begin());
    return differences;
}

void expectEqual(const std::vector<Difference>& found, const std::vector<Difference>& expected)
{
    ASSERT_EQ(found.size(), expected.size());
    for (size_t i = 0; i < found.size(); ++i) {
        EXPECT_EQ(found[i].kind, expected[i].kind) << i;
        EXPECT_EQ(found[i].subject, expected[i].subject) << found[i].subject.name;
        EXPECT_EQ(found[i].field, expected[i].field) << i;
        EXPECT_EQ(found[i].before, expected[i].before);
        EXPECT_EQ(found[i].after, expected[i].after);
    }
}

} // namespace

// Control acknowledges a table whose number is not higher, and keeps the one in force.
TEST(Differences, ANumberThatIsNotHigher)
{
    auto inForce = ReviewTest::makeTable();
    for (uint64_t number : { 6, 7 }) {
        auto proposed = ReviewTest::makeTable();
        proposed.number = Common::TableNumber(number);
        expectEqual(Review::differences(inForce, proposed),
            { { Kind::NotHigher, {}, Field::Number, "7", std::to_string(number) } });
    }
    expectEqual(differencesAfter([](Routes::Table&) {}), {});
}

TEST(Differences, RoutesAndGroupsAddedRemovedAndChanged)
{
    auto differences = differencesAfter([](Routes::Table& table) {
        table.routes[0].name = Common::RouteName("other");
        table.routes[1].timeout = Common::Milliseconds(250.5);
        table.routes[1].idempotency = Routes::Idempotency::AtMostOnce;
        table.routes[1].fanOut->groups = { Common::GroupName("c"), Common::GroupName("d"), Common::GroupName("e") };
        table.groups[0].connectionLimit = Common::Connections(5);
        table.groups[0].warmup = Common::Milliseconds(2'500);
        table.groups[0].warmupRate = Common::RequestRate(12);
        table.groups[1].name = Common::GroupName("d");
        table.limits.body = Common::Bytes(1);
    });
    expectEqual(differences,
        { { Kind::Changed, {}, Field::BodyLimit, "262144", "1" },
            { Kind::Changed, gather, Field::Idempotency, "idempotent", "at most once" },
            { Kind::Changed, gather, Field::Timeout, "300", "250.5" },
            { Kind::Removed, gather, Field::FanOutGroups, "b", "" },
            { Kind::Added, gather, Field::FanOutGroups, "", "d, e" },
            { Kind::Removed, { Subject::Kind::Route, "single" }, std::nullopt, "", "" },
            { Kind::Added, { Subject::Kind::Route, "other" }, std::nullopt, "", "" },
            { Kind::Changed, { Subject::Kind::Group, "a" }, Field::ConnectionLimit, "4", "5" },
            { Kind::Changed, { Subject::Kind::Group, "a" }, Field::Warmup, "0", "2.5" },
            { Kind::Changed, { Subject::Kind::Group, "a" }, Field::WarmupRate, "0", "12" },
            { Kind::Removed, { Subject::Kind::Group, "b" }, std::nullopt, "", "" },
            { Kind::Added, { Subject::Kind::Group, "d" }, std::nullopt, "", "" } });
}

// A key that was replaced must be visible although the number of keys is the same.
TEST(Differences, TenantsWithTheNumberOfTheirKeys)
{
    auto differences = differencesAfter([](Routes::Table& table) {
        (*table.tenants)[0].keys = { Routes::digestOfKey("key-2"), Routes::digestOfKey("key-4") };
        (*table.tenants)[0].priority = 2;
        (*table.tenants)[0].quota->burst = 30;
        (*table.tenants)[1].name = Common::TenantName("other");
    });
    expectEqual(differences,
        { { Kind::Changed, large, Field::Priority, "0", "2" }, { Kind::Changed, large, Field::Burst, "20", "30" },
            { Kind::Removed, large, Field::Keys, "1", "" }, { Kind::Added, large, Field::Keys, "", "1" },
            { Kind::Removed, { Subject::Kind::Tenant, "small" }, std::nullopt, "", "" },
            { Kind::Added, { Subject::Kind::Tenant, "other" }, std::nullopt, "", "" } });
}

TEST(Differences, ALimitThatIsRemoved)
{
    expectEqual(differencesAfter([](Routes::Table& table) { (*table.tenants)[0].quota.reset(); }),
        { { Kind::Removed, large, Field::Rate, "10", "" }, { Kind::Removed, large, Field::Burst, "20", "" } });
}

// Without tenants each call is accepted, so their removal must not look like that of single tenants.
TEST(Differences, TenantsAltogether)
{
    auto differences = differencesAfter([](Routes::Table& table) { table.tenants.reset(); });
    ASSERT_EQ(differences.size(), 3u);
    EXPECT_EQ(differences.front().kind, Kind::Removed);
    EXPECT_EQ(differences.front().field, Field::Tenants);
}

// Routes with the same name are paired in their order.
TEST(Differences, RoutesWithOneName)
{
    auto before = ReviewTest::makeTable();
    before.routes[0].name = before.routes[1].name;
    auto after = before;
    after.number = Common::TableNumber(8);
    after.routes[1].priority = 2;
    auto differences = Review::differences(before, after);
    ASSERT_EQ(differences.size(), 2u);
    EXPECT_EQ(differences.back().field, Field::Priority);
}
