#include "Routes/Table.h"

#include <gtest/gtest.h>

#include <limits>

using Common::Reason;
using Common::TenantName;
using Routes::Credentials;

namespace {

Routes::Tenant tenantOf(const std::string& name, const std::vector<std::string>& keys)
{
    Routes::Tenant tenant;
    tenant.name = TenantName(name);
    for (const std::string& key : keys)
        tenant.keys.push_back(Routes::digestOfKey(key));
    return tenant;
}

Routes::Table tableOf(std::vector<Routes::Tenant> tenants)
{
    Routes::Table table;
    table.tenants = std::move(tenants);
    Routes::index(table);
    return table;
}

Credentials withKey(const std::string& key) { return { Credentials::Form::Key, Routes::digestOfKey(key) }; }

} // namespace

// A caller without a valid key must not reach a server, except on a route that allows anonymous calls.
TEST(Tenants, AreIdentifiedByAnyOfTheirKeys)
{
    auto table = tableOf({ tenantOf("a", { "k1", "k2" }), tenantOf("b", { "k3" }) });
    Routes::Route closed;
    Routes::Route open;
    open.allowsAnonymous = true;
    for (const Routes::Route& route : { closed, open }) {
        EXPECT_EQ(Routes::identify(table, route, withKey("k2")).value()->name, TenantName("a"));
        EXPECT_EQ(Routes::identify(table, route, withKey("k3")).value()->name, TenantName("b"));
        const std::pair<Credentials, const char*> invalid[]
            = { { withKey("k4"), "unknown-key" }, { { Credentials::Form::Malformed, {} }, "malformed-key" },
                  { { Credentials::Form::Repeated, {} }, "repeated-key" } };
        for (auto& [credentials, message] : invalid) {
            auto result = Routes::identify(table, route, credentials);
            ASSERT_FALSE(result);
            EXPECT_EQ(result.error().reason, Reason::Unauthenticated);
            EXPECT_EQ(result.error().message, message);
        }
    }
    EXPECT_EQ(Routes::identify(table, closed, {}).error().message, "missing-key");
    EXPECT_EQ(Routes::identify(table, open, {}).value(), nullptr);
    EXPECT_TRUE(Routes::isIdentified(table, closed, TenantName("a")));
    EXPECT_FALSE(Routes::isIdentified(table, closed, std::nullopt));
    EXPECT_FALSE(Routes::isIdentified(table, open, TenantName("c")));
}

// A table without tenants must not ask for keys, one with an empty list must refuse each call.
TEST(Tenants, ATableWithoutTenantsNeedsNoKey)
{
    Routes::Table table;
    Routes::index(table);
    for (const Credentials& credentials :
        { Credentials {}, withKey("k"), Credentials { Credentials::Form::Repeated, {} } })
        EXPECT_EQ(Routes::identify(table, {}, credentials).value(), nullptr);
    EXPECT_FALSE(Routes::identify(tableOf({}), {}, withKey("k")));
}

TEST(Tenants, TwoTenantsWithOneKeyOrNameAreInvalid)
{
    EXPECT_TRUE(Routes::validate(tableOf({ tenantOf("a", { "k", "k" }), tenantOf("b", {}) })));
    auto unlimited = tenantOf("a", { "k" });
    unlimited.quota = Routes::Quota { Common::RequestRate(std::numeric_limits<double>::infinity()), 0 };
    const std::vector<Routes::Tenant> invalid[] = { { tenantOf("a", { "secret" }), tenantOf("b", { "k", "secret" }) },
        { tenantOf("a", { "k" }), tenantOf("a", { "l" }) }, { tenantOf("", { "k" }) }, { tenantOf("a", { "" }) },
        { tenantOf("a\r\nX: 1", { "k" }) }, { unlimited } };
    for (const auto& tenants : invalid) {
        auto result = Routes::validate(tableOf(tenants));
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().reason, Reason::InvalidInput);
        EXPECT_EQ(result.error().message.find("secret"), std::string::npos);
    }
}

TEST(Tenants, TheirPriorityTakesPrecedence)
{
    Routes::Route route;
    route.priority = 2;
    auto tenant = tenantOf("a", {});
    EXPECT_EQ(Routes::priorityOf(route, nullptr), 2);
    EXPECT_EQ(Routes::priorityOf(route, &tenant), 2);
    tenant.priority = 0;
    EXPECT_EQ(Routes::priorityOf(route, &tenant), 0);
}
