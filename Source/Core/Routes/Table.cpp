#include "Routes/Table.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Routes {

using Common::Reason;
using Common::Result;

namespace {

    // The fractional parts of its multiples are spread evenly over [0, 1).
    constexpr double goldenRatio = 0.618033988749894848;

    Common::Error fieldError(const Route& route, const std::string& field, const std::string& problem)
    {
        return Common::makeError(
            Reason::InvalidInput, "validate-routes", "route '" + route.name.value() + "': " + field + " " + problem);
    }

    Result<void> checkGroups(const Table& table, const Route& route)
    {
        auto unknown = [&](const Common::GroupName& group) { return !findGroup(table, group); };
        for (const WeightedGroup& weighted : route.weightedGroups) {
            if (unknown(weighted.group))
                return fieldError(route, "group", "'" + weighted.group.value() + "' is unknown");
        }
        if (!route.fanOut)
            return Common::success();
        for (const Common::GroupName& group : route.fanOut->groups) {
            if (unknown(group))
                return fieldError(route, "group", "'" + group.value() + "' is unknown");
        }
        return Common::success();
    }

    Result<void> checkWarmup(const Group& group)
    {
        auto isUsable = [](double value) { return value >= 0 && std::isfinite(value); };
        if (isUsable(group.warmup.value()) && isUsable(group.warmupRate.value()))
            return Common::success();
        return Common::makeError(Reason::InvalidInput, "validate-routes",
            "group '" + group.name.value() + "': warm-up time and rate must be finite and not negative");
    }

    Result<void> checkTarget(const Route& route)
    {
        if (route.fanOut)
            return route.fanOut->groups.empty() ? Result<void>(fieldError(route, "groups", "must not be empty"))
                                                : Common::success();
        double sum = 0;
        for (const WeightedGroup& weighted : route.weightedGroups) {
            if (weighted.weight < 0 || !std::isfinite(weighted.weight))
                return fieldError(route, "weight", "must be finite and not negative");
            sum += weighted.weight;
        }
        if (sum <= 0)
            return fieldError(route, "weights", "must have a positive sum");
        return Common::success();
    }

} // namespace

Result<void> validate(const Table& table)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const Route& route : table.routes) {
        if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
            return fieldError(route, "prefix", "'" + route.prefix + "' must begin and end with a slash");
        if (!seen.insert({ route.host, route.prefix }).second)
            return fieldError(route, "host and prefix", "duplicate those of another route");
        if (route.timeout.value() <= 0)
            return fieldError(route, "timeout", "must be positive");
        BOOST_OUTCOME_TRYV(checkTarget(route));
        BOOST_OUTCOME_TRYV(checkGroups(table, route));
    }
    for (const Group& group : table.groups) {
        BOOST_OUTCOME_TRYV(checkWarmup(group));
    }
    return validateTenants(table);
}

void index(Table& table)
{
    table.groupAt.clear();
    for (size_t i = 0; i < table.groups.size(); ++i)
        table.groupAt[table.groups[i].name] = i;
    table.tenantAt.clear();
    table.tenantOfKey.clear();
    for (size_t i = 0; table.tenants && i < table.tenants->size(); ++i) {
        const Tenant& tenant = (*table.tenants)[i];
        table.tenantAt[tenant.name] = i;
        for (const KeyDigest& key : tenant.keys)
            table.tenantOfKey[key] = i;
    }
    table.byHost.clear();
    for (size_t i = 0; i < table.routes.size(); ++i)
        table.byHost[table.routes[i].host].push_back(i);
    for (auto& [host, routes] : table.byHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [&](size_t a, size_t b) { return table.routes[a].prefix.size() > table.routes[b].prefix.size(); });
    }
}

const Route* match(const Table& table, const std::string& host, const std::string& path)
{
    auto it = table.byHost.find(host);
    if (it == table.byHost.end())
        return nullptr;
    for (size_t i : it->second) {
        const Route& route = table.routes[i];
        if (path.compare(0, route.prefix.size(), route.prefix) == 0)
            return &route;
    }
    return nullptr;
}

const Group* findGroup(const Table& table, const Common::GroupName& name)
{
    auto it = table.groupAt.find(name);
    return it == table.groupAt.end() ? nullptr : &table.groups[it->second];
}

const WeightedGroup& chooseGroup(const Route& route, uint64_t n)
{
    double sum = 0;
    for (const WeightedGroup& weighted : route.weightedGroups)
        sum += weighted.weight;
    double whole = 0;
    double at = std::modf(static_cast<double>(n) * goldenRatio, &whole) * sum;
    for (const WeightedGroup& weighted : route.weightedGroups) {
        at -= weighted.weight;
        if (at < 0)
            return weighted;
    }
    return route.weightedGroups.back();
}

} // namespace Routes
