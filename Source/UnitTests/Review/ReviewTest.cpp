#include "Review/Review.h"

#include "Tables.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

using Common::Milliseconds;
using Review::Field;
using Review::Finding;
using Review::Subject;

namespace {

using Change = std::function<void(Routes::Table&)>;

std::vector<Finding> findingsAfter(const Change& change)
{
    Routes::Table table = ReviewTest::makeTable();
    change(table);
    ReviewTest::indexValid(table);
    return Review::review(table);
}

// The change to a correct table leads to exactly this finding.
void expectOne(const Change& change, const Subject& subject, Field field, const std::string& part)
{
    auto findings = findingsAfter(change);
    ASSERT_EQ(findings.size(), 1u) << part;
    EXPECT_EQ(findings.front().subject, subject) << part;
    EXPECT_EQ(findings.front().field, field) << part;
    EXPECT_NE(findings.front().message.find(part), std::string::npos) << findings.front().message;
}

const Subject wholeTable { Subject::Kind::Table, "" };
const Subject single { Subject::Kind::Route, "single" };
const Subject gather { Subject::Kind::Route, "gather" };
const Subject large { Subject::Kind::Tenant, "large" };
const Subject small { Subject::Kind::Tenant, "small" };

} // namespace

// A tool that warns about correct tables is ignored.
TEST(Review, ACorrectTableHasNoFindings)
{
    EXPECT_TRUE(findingsAfter([](Routes::Table&) {}).empty());
    EXPECT_TRUE(findingsAfter([](Routes::Table& table) {
        table.tenants.reset();
        table.routes[1].allowsAnonymous = false;
    }).empty());
    // A longer prefix takes some paths from a shorter one, but never all.
    EXPECT_TRUE(findingsAfter([](Routes::Table& table) { table.routes[0].prefix = "/a/b/c/"; }).empty());
    EXPECT_TRUE(findingsAfter([](Routes::Table& table) { table.routes[0].host = "[::1]"; }).empty());
    // A head may be larger than a body, and bodies may be forbidden.
    EXPECT_TRUE(findingsAfter([](Routes::Table& table) { table.limits.body = Common::Bytes(0); }).empty());
}

// A host that differs from the calls' in its spelling makes a route unreachable without any error.
TEST(Review, HostsThatNeverMatch)
{
    const std::pair<const char*, const char*> hosts[] = { { "", "that name no host" },
        { "search.example:80", "ends with a port" }, { "[::1]:80", "ends with a port" },
        { "Search.example", "upper-case" }, { "*.example", "no host contains" },
        { "search.example/a", "no host contains" }, { " search.example", "no host contains" } };
    for (auto& [host, part] : hosts)
        expectOne([&, text = host](Routes::Table& table) { table.routes[0].host = text; }, single, Field::Host, part);
}

TEST(Review, PrefixesThatRarelyOrNeverMatch)
{
    const std::pair<const char*, const char*> prefixes[] = { { "/a?b/", "question mark" }, { "/a b/", "blank" },
        { "/a#b/", "number sign" }, { "/a%20b/", "percent escape" }, { "/a//b/", "empty segment" },
        { "/a/../b/", "dot segment" }, { "/./a/", "dot segment" } };
    for (auto& [prefix, part] : prefixes)
        expectOne(
            [&, text = prefix](Routes::Table& table) { table.routes[0].prefix = text; }, single, Field::Prefix, part);
}

TEST(Review, TimesThatContradictEachOther)
{
    expectOne([](Routes::Table& table) { table.routes[0].latencyObjective = Milliseconds(801); }, single,
        Field::LatencyObjective, "is 801 ms, above the timeout of 800 ms");
    expectOne([](Routes::Table& table) { table.routes[0].latencyObjective = Milliseconds(0); }, single,
        Field::LatencyObjective, "not positive");
}

TEST(Review, AttemptsThatAreNotMade)
{
    expectOne([](Routes::Table& table) { table.routes[0].maximumAttempts = 2; }, single, Field::MaximumAttempts,
        "at most once");
    expectOne([](Routes::Table& table) { table.routes[1].maximumAttempts = 0; }, gather, Field::MaximumAttempts,
        "no request is sent");
}

TEST(Review, RoutesWithOneName)
{
    expectOne([](Routes::Table& table) { table.routes[1].name = table.routes[0].name; }, single, Field::Name,
        "another route");
}

TEST(Review, AnonymousCallsWithoutTenants)
{
    expectOne([](Routes::Table& table) { table.tenants.reset(); }, gather, Field::AllowsAnonymous, "no effect");
}

TEST(Review, PrioritiesWithoutEffect)
{
    expectOne([](Routes::Table& table) { (*table.tenants)[0].priority = table.routes[1].priority = 0; }, large,
        Field::Priority, "all routes have the same");
    expectOne(
        [](Routes::Table& table) {
            (*table.tenants)[1].priority = 1;
            table.routes[1].allowsAnonymous = false;
        },
        gather, Field::Priority, "each tenant has a priority");
}

TEST(Review, WeightsOfZero)
{
    expectOne([](Routes::Table& table) { table.routes[0].weightedGroups[1].weight = 0; }, single, Field::WeightedGroups,
        "group 'b' has weight 0");
}

TEST(Review, FanOutsThatLoseOrRepeatRecords)
{
    auto groupB = Common::GroupName("b");
    expectOne(
        [&](Routes::Table& table) {
            for (int i = 0; i < 2; ++i)
                table.routes[1].fanOut->groups.push_back(groupB);
        },
        gather, Field::FanOutGroups, "group 'b' more than once");
    expectOne(
        [](Routes::Table& table) { table.routes[1].fanOut->topRecords = 0; }, gather, Field::TopRecords, "is empty");
    expectOne([](Routes::Table& table) { table.routes[1].fanOut->minimumCoverage = Common::Ratio(1.5); }, gather,
        Field::MinimumCoverage, "is 1.5, above 1");
    expectOne([](Routes::Table& table) { table.routes[1].fanOut->minimumCoverage = Common::Ratio(-0.5); }, gather,
        Field::MinimumCoverage, "is -0.5, below 0");
}

TEST(Review, GroupsWithoutUse)
{
    auto groupOf = [](const char* name, int64_t limit) {
        return Routes::Group { Common::GroupName(name), Common::Connections(limit) };
    };
    expectOne([&](Routes::Table& table) { table.groups.push_back(groupOf("d", 1)); }, { Subject::Kind::Group, "d" },
        Field::Name, "appears in no route");
    expectOne([&](Routes::Table& table) { table.groups.push_back(groupOf("a", 1)); }, { Subject::Kind::Group, "a" },
        Field::Name, "earlier group");
    expectOne([](Routes::Table& table) { table.groups[0].connectionLimit = Common::Connections(0); },
        { Subject::Kind::Group, "a" }, Field::ConnectionLimit, "is 0");
}

TEST(Review, TenantsThatCannotCall)
{
    expectOne([](Routes::Table& table) { (*table.tenants)[1].keys.clear(); }, small, Field::Keys, "is empty");
    expectOne([](Routes::Table& table) { (*table.tenants)[1].keys.push_back((*table.tenants)[1].keys[0]); }, small,
        Field::Keys, "more than once");
    expectOne(
        [](Routes::Table& table) {
            table.tenants->clear();
            table.routes[1].allowsAnonymous = false;
        },
        wholeTable, Field::Tenants, "each call is refused");
    EXPECT_TRUE(findingsAfter([](Routes::Table& table) { table.tenants->clear(); }).empty());
}

TEST(Review, QuotasWhoseRateAndBurstContradictEachOther)
{
    auto setQuota = [](double rate, double burst) {
        return [=](Routes::Table& table) {
            (*table.tenants)[0].quota = Routes::Quota { Common::RequestRate(rate), burst };
        };
    };
    EXPECT_TRUE(findingsAfter(setQuota(0.5, 1'800)).empty());
    expectOne(setQuota(0.5, 1'801), large, Field::Burst, "more than a rate of 0.5 per second refills");
    expectOne(setQuota(10, 0.5), large, Field::Burst, "below 1");
    expectOne(setQuota(0, 5), large, Field::Burst, "without a rate");
}

TEST(Review, LimitsUnderWhichNoCallIsRead)
{
    expectOne([](Routes::Table& table) { table.limits.head = Common::Bytes(0); }, wholeTable, Field::HeadLimit, "is 0");
    expectOne([](Routes::Table& table) { table.limits.headTimeout = Milliseconds(0); }, wholeTable, Field::HeadTimeout,
        "not positive");
    expectOne([](Routes::Table& table) { table.limits.idleTimeout = Milliseconds(0); }, wholeTable, Field::IdleTimeout,
        "not positive");
    expectOne([](Routes::Table& table) { table.limits.headTimeout = Milliseconds(15'001); }, wholeTable,
        Field::HeadTimeout, "is 15001 ms, above the idle timeout of 15000 ms");
}

TEST(Review, ATableWithoutRoutes)
{
    auto findings = findingsAfter([](Routes::Table& table) {
        table.routes.clear();
        table.groups.clear();
        table.tenants.reset();
    });
    ASSERT_EQ(findings.size(), 1u);
    EXPECT_EQ(findings.front().field, Field::Routes);
}
