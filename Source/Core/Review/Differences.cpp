#include "Review/Differences.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace Review {

namespace {

    constexpr double millisecondsPerSecond = 1'000;

    using Kind = Difference::Kind;

    // The fields of one route, group or tenant as texts; a field that is not set is absent.
    using Fields = std::map<Field, std::string>;

    // Several entries may have the same name, so each is identified by its name and its place among them.
    using EntryKey = std::pair<std::string, size_t>;

    struct Entry {
        Fields fields;
        std::vector<std::string> fanOutGroups; // Of routes only.
        std::set<Routes::KeyDigest> keys; // Of tenants only.
    };

    using Entries = std::map<EntryKey, Entry>;

    void insert(Entries& entries, const std::string& name, Entry entry)
    {
        EntryKey key { name, 0 };
        while (entries.count(key))
            ++key.second;
        entries.emplace(std::move(key), std::move(entry));
    }

    std::string textOfFlag(bool flag) { return flag ? "true" : "false"; }

    void appendItem(std::string& list, const std::string& item) { list += (list.empty() ? "" : ", ") + item; }

    Fields fieldsOf(const Routes::Route& route)
    {
        Fields fields { { Field::Host, route.host }, { Field::Prefix, route.prefix },
            { Field::Idempotency,
                route.idempotency == Routes::Idempotency::Idempotent ? "idempotent" : "at most once" },
            { Field::Timeout, textOf(route.timeout.value()) },
            { Field::LatencyObjective, textOf(route.latencyObjective.value()) },
            { Field::MaximumAttempts, std::to_string(route.maximumAttempts) },
            { Field::Priority, std::to_string(route.priority) },
            { Field::AllowsAnonymous, textOfFlag(route.allowsAnonymous) } };
        for (const Routes::WeightedGroup& weighted : route.weightedGroups)
            appendItem(fields[Field::WeightedGroups], weighted.group.value() + ": " + textOf(weighted.weight));
        if (route.fanOut) {
            fields[Field::TopRecords] = std::to_string(route.fanOut->topRecords);
            fields[Field::MinimumCoverage] = textOf(route.fanOut->minimumCoverage.value());
        }
        return fields;
    }

    std::vector<std::string> fanOutGroupsOf(const Routes::Route& route)
    {
        std::vector<std::string> groups;
        for (size_t i = 0; route.fanOut && i < route.fanOut->groups.size(); ++i)
            groups.push_back(route.fanOut->groups[i].value());
        return groups;
    }

    Fields fieldsOf(const Routes::Group& group)
    {
        return { { Field::ConnectionLimit, std::to_string(group.connectionLimit.value()) },
            { Field::Warmup, textOf(group.warmup.value() / millisecondsPerSecond) },
            { Field::WarmupRate, textOf(group.warmupRate.value()) } };
    }

    Fields fieldsOf(const Routes::Tenant& tenant)
    {
        Fields fields;
        if (tenant.priority)
            fields[Field::Priority] = std::to_string(*tenant.priority);
        if (tenant.quota) {
            fields[Field::Rate] = textOf(tenant.quota->rate.value());
            fields[Field::Burst] = textOf(tenant.quota->burst);
        }
        return fields;
    }

    Fields fieldsOf(const Routes::Table& table)
    {
        return { { Field::HeadLimit, std::to_string(table.limits.head.value()) },
            { Field::BodyLimit, std::to_string(table.limits.body.value()) },
            { Field::HeadTimeout, textOf(table.limits.headTimeout.value()) },
            { Field::IdleTimeout, textOf(table.limits.idleTimeout.value()) } };
    }

    Entries routesOf(const Routes::Table& table)
    {
        Entries entries;
        for (const Routes::Route& route : table.routes)
            insert(entries, route.name.value(), { fieldsOf(route), fanOutGroupsOf(route), {} });
        return entries;
    }

    // Of groups with the same name, the last one is in force.
    Entries groupsOf(const Routes::Table& table)
    {
        Entries entries;
        for (const Routes::Group& group : table.groups)
            entries[{ group.name.value(), 0 }] = { fieldsOf(group), {}, {} };
        return entries;
    }

    Entries tenantsOf(const Routes::Table& table)
    {
        Entries entries;
        if (!table.tenants)
            return entries;
        for (const Routes::Tenant& tenant : *table.tenants)
            insert(entries, tenant.name.value(), { fieldsOf(tenant), {}, { tenant.keys.begin(), tenant.keys.end() } });
        return entries;
    }

    void compareFields(
        const Subject& subject, const Fields& before, const Fields& after, std::vector<Difference>& differences)
    {
        std::set<Field> fields;
        for (const Fields* side : { &before, &after }) {
            for (auto& [field, value] : *side)
                fields.insert(field);
        }
        for (Field field : fields) {
            auto old = before.find(field);
            auto now = after.find(field);
            if (old == before.end())
                differences.push_back({ Kind::Added, subject, field, {}, now->second });
            else if (now == after.end())
                differences.push_back({ Kind::Removed, subject, field, old->second, {} });
            else if (old->second != now->second)
                differences.push_back({ Kind::Changed, subject, field, old->second, now->second });
        }
    }

    // Joins the items that the other list lacks; each repetition counts as an item.
    std::string joinMissing(std::vector<std::string> items, std::vector<std::string> from)
    {
        std::sort(items.begin(), items.end());
        std::sort(from.begin(), from.end());
        std::vector<std::string> missing;
        std::set_difference(items.begin(), items.end(), from.begin(), from.end(), std::back_inserter(missing));
        std::string joined;
        for (const std::string& item : missing)
            appendItem(joined, item);
        return joined;
    }

    // A fan-out may have more than a hundred groups, so only those that differ are shown. Their order has no effect on
    // answers.
    void compareFanOutGroups(
        const Subject& subject, const Entry& before, const Entry& after, std::vector<Difference>& differences)
    {
        std::string removed = joinMissing(before.fanOutGroups, after.fanOutGroups);
        std::string added = joinMissing(after.fanOutGroups, before.fanOutGroups);
        if (!removed.empty())
            differences.push_back({ Kind::Removed, subject, Field::FanOutGroups, removed, {} });
        if (!added.empty())
            differences.push_back({ Kind::Added, subject, Field::FanOutGroups, {}, added });
    }

    size_t countMissing(const std::set<Routes::KeyDigest>& keys, const std::set<Routes::KeyDigest>& from)
    {
        return static_cast<size_t>(
            std::count_if(keys.begin(), keys.end(), [&](const Routes::KeyDigest& key) { return !from.count(key); }));
    }

    void compareKeys(
        const Subject& subject, const Entry& before, const Entry& after, std::vector<Difference>& differences)
    {
        if (size_t removed = countMissing(before.keys, after.keys))
            differences.push_back({ Kind::Removed, subject, Field::Keys, std::to_string(removed), {} });
        if (size_t added = countMissing(after.keys, before.keys))
            differences.push_back({ Kind::Added, subject, Field::Keys, {}, std::to_string(added) });
    }

    void compareEntries(
        Subject::Kind kind, const Entries& before, const Entries& after, std::vector<Difference>& differences)
    {
        for (auto& [key, entry] : before) {
            Subject subject { kind, key.first };
            auto now = after.find(key);
            if (now == after.end()) {
                differences.push_back({ Kind::Removed, subject, std::nullopt, {}, {} });
                continue;
            }
            compareFields(subject, entry.fields, now->second.fields, differences);
            compareFanOutGroups(subject, entry, now->second, differences);
            compareKeys(subject, entry, now->second, differences);
        }
        for (auto& [key, entry] : after) {
            if (!before.count(key))
                differences.push_back({ Kind::Added, { kind, key.first }, std::nullopt, {}, {} });
        }
    }

    void compareTables(
        const Routes::Table& inForce, const Routes::Table& proposed, std::vector<Difference>& differences)
    {
        differences.push_back({ proposed.number > inForce.number ? Kind::Changed : Kind::NotHigher, {}, Field::Number,
            std::to_string(inForce.number.value()), std::to_string(proposed.number.value()) });
        compareFields({}, fieldsOf(inForce), fieldsOf(proposed), differences);
        // Their presence decides whether calls need a key.
        if (inForce.tenants.has_value() != proposed.tenants.has_value())
            differences.push_back({ proposed.tenants ? Kind::Added : Kind::Removed, {}, Field::Tenants, {}, {} });
    }

} // namespace

std::vector<Difference> differences(const Routes::Table& inForce, const Routes::Table& proposed)
{
    std::vector<Difference> found;
    compareTables(inForce, proposed, found);
    compareEntries(Subject::Kind::Route, routesOf(inForce), routesOf(proposed), found);
    compareEntries(Subject::Kind::Group, groupsOf(inForce), groupsOf(proposed), found);
    compareEntries(Subject::Kind::Tenant, tenantsOf(inForce), tenantsOf(proposed), found);
    return found;
}

} // namespace Review
