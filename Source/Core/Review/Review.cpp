#include "Review/Review.h"

#include <algorithm>
#include <set>

namespace Review {

using Common::Milliseconds;

namespace {

    // A burst that takes longer to refill is usually a unit mistake, such as a number per day.
    constexpr double longestRefillSeconds = 3'600;

    // Collects the findings on one subject.
    struct Notes {
        std::vector<Finding>& findings;
        Subject subject;

        void add(Field field, std::string message)
        {
            findings.push_back({ Severity::Warning, subject, field, std::move(message) });
        }
    };

    bool contains(const std::string& text, const char* part) { return text.find(part) != std::string::npos; }

    // A call's host is read without its port.
    bool endsWithPort(const std::string& host)
    {
        size_t colon = host.rfind(':');
        return colon != std::string::npos && host.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    }

    bool isBlankOrControl(unsigned char c) { return c <= ' ' || c == 0x7f; }

    void reviewHost(const std::string& host, Notes& notes)
    {
        if (host.empty()) {
            notes.add(Field::Host, "is empty: it matches only calls that name no host");
            return;
        }
        if (endsWithPort(host))
            notes.add(Field::Host, "ends with a port: it never matches, since a call's host is read without its port");
        if (std::any_of(host.begin(), host.end(), isBlankOrControl) || host.find_first_of("/?#@*") != std::string::npos)
            notes.add(Field::Host, "contains a character that no host contains: it never matches");
        if (std::any_of(host.begin(), host.end(), [](char c) { return c >= 'A' && c <= 'Z'; }))
            notes.add(Field::Host,
                "contains upper-case letters: hosts are compared exactly, and most callers send lower-case ones");
    }

    // A path is compared as the caller sent it, up to the query.
    void reviewPrefix(const std::string& prefix, Notes& notes)
    {
        if (contains(prefix, "?"))
            notes.add(Field::Prefix, "contains a question mark: it never matches, since a path ends before the query");
        if (std::any_of(prefix.begin(), prefix.end(), isBlankOrControl))
            notes.add(Field::Prefix, "contains a blank or control character: it never matches");
        if (contains(prefix, "#"))
            notes.add(Field::Prefix, "contains a number sign: callers do not send what follows it");
        if (contains(prefix, "%"))
            notes.add(
                Field::Prefix, "contains a percent escape: it matches only calls that are escaped in the same way");
        if (contains(prefix, "//"))
            notes.add(Field::Prefix, "contains an empty segment: it matches only calls that contain it too");
        if (contains(prefix, "/./") || contains(prefix, "/../"))
            notes.add(Field::Prefix, "contains a dot segment: most callers resolve it before they send a path");
    }

    void reviewTimesAndAttempts(const Routes::Route& route, Notes& notes)
    {
        if (route.latencyObjective > route.timeout)
            notes.add(Field::LatencyObjective,
                "is " + textOf(route.latencyObjective.value()) + " ms, above the timeout of "
                    + textOf(route.timeout.value()) + " ms");
        if (route.latencyObjective <= Milliseconds(0))
            notes.add(Field::LatencyObjective, "is not positive: each answer is late");
        if (route.maximumAttempts < 1)
            notes.add(Field::MaximumAttempts, "is 0: no request is sent");
        if (route.maximumAttempts > 1 && route.idempotency == Routes::Idempotency::AtMostOnce)
            notes.add(Field::MaximumAttempts,
                "is " + std::to_string(route.maximumAttempts)
                    + ", but a request of this route runs at most once: one that may have run is not sent again");
    }

    void reviewIdentity(const Routes::Table& table, const Routes::Route& route, Notes& notes)
    {
        if (!table.tenants) {
            if (route.allowsAnonymous)
                notes.add(Field::AllowsAnonymous, "has no effect: without tenants, no call needs a key");
            return;
        }
        bool isOverridden = !table.tenants->empty() && !route.allowsAnonymous
            && std::all_of(table.tenants->begin(), table.tenants->end(),
                [](const Routes::Tenant& tenant) { return tenant.priority.has_value(); });
        if (isOverridden && route.priority)
            notes.add(Field::Priority, "has no effect: each tenant has a priority, which takes precedence");
    }

    void reviewWeights(const Routes::Route& route, Notes& notes)
    {
        for (const Routes::WeightedGroup& weighted : route.weightedGroups) {
            if (weighted.weight == 0)
                notes.add(
                    Field::WeightedGroups, "group '" + weighted.group.value() + "' has weight 0: it gets no call");
        }
    }

    void reviewCoverage(double minimum, Notes& notes)
    {
        if (minimum > 1)
            notes.add(Field::MinimumCoverage,
                "is " + textOf(minimum) + ", above 1: it is treated as 1, so the answers of all groups are needed");
        if (minimum < 0)
            notes.add(Field::MinimumCoverage, "is " + textOf(minimum) + ", below 0: one group suffices");
    }

    void reviewFanOut(const Routes::FanOut& fanOut, Notes& notes)
    {
        std::set<Common::GroupName> seen;
        std::set<Common::GroupName> repeated;
        for (const Common::GroupName& group : fanOut.groups) {
            if (!seen.insert(group).second && repeated.insert(group).second)
                notes.add(Field::FanOutGroups,
                    "contains group '" + group.value()
                        + "' more than once: it adds load and coverage, but no other records");
        }
        if (fanOut.topRecords == 0)
            notes.add(Field::TopRecords, "is 0: each answer is empty");
        reviewCoverage(fanOut.minimumCoverage.value(), notes);
    }

    void reviewRoutes(const Routes::Table& table, std::vector<Finding>& findings)
    {
        std::set<Common::RouteName> names;
        for (const Routes::Route& route : table.routes) {
            Notes notes { findings, { Subject::Kind::Route, route.name.value() } };
            if (!names.insert(route.name).second)
                notes.add(Field::Name, "is that of another route: logs and metrics don't tell them apart");
            reviewHost(route.host, notes);
            reviewPrefix(route.prefix, notes);
            reviewTimesAndAttempts(route, notes);
            reviewIdentity(table, route, notes);
            reviewWeights(route, notes);
            if (route.fanOut)
                reviewFanOut(*route.fanOut, notes);
        }
    }

    std::set<Common::GroupName> usedGroups(const Routes::Table& table)
    {
        std::set<Common::GroupName> used;
        for (const Routes::Route& route : table.routes) {
            for (const Routes::WeightedGroup& weighted : route.weightedGroups)
                used.insert(weighted.group);
            if (route.fanOut)
                used.insert(route.fanOut->groups.begin(), route.fanOut->groups.end());
        }
        return used;
    }

    void reviewGroups(const Routes::Table& table, std::vector<Finding>& findings)
    {
        auto used = usedGroups(table);
        std::set<Common::GroupName> names;
        for (const Routes::Group& group : table.groups) {
            Notes notes { findings, { Subject::Kind::Group, group.name.value() } };
            if (!names.insert(group.name).second)
                notes.add(Field::Name, "is that of an earlier group, which this one replaces");
            else if (!used.count(group.name))
                notes.add(Field::Name, "appears in no route");
            if (group.connectionLimit.value() < 1)
                notes.add(Field::ConnectionLimit, "is 0: each instance opens a connection nevertheless");
        }
    }

    void reviewQuota(const Routes::Quota& quota, Notes& notes)
    {
        if (quota.rate.value() <= 0) {
            if (quota.burst > 0)
                notes.add(Field::Burst, "has no effect without a rate");
            return;
        }
        if (quota.burst > quota.rate.value() * longestRefillSeconds)
            notes.add(Field::Burst,
                "is " + textOf(quota.burst) + ", more than a rate of " + textOf(quota.rate.value())
                    + " per second refills in an hour");
        if (quota.burst < 1)
            notes.add(Field::Burst, "is below 1: a call within the rate may be refused");
    }

    void reviewTenants(const Routes::Table& table, std::vector<Finding>& findings)
    {
        for (const Routes::Tenant& tenant : *table.tenants) {
            Notes notes { findings, { Subject::Kind::Tenant, tenant.name.value() } };
            std::set<Routes::KeyDigest> keys(tenant.keys.begin(), tenant.keys.end());
            if (keys.empty())
                notes.add(Field::Keys, "is empty: no call is identified as one of this tenant");
            if (keys.size() < tenant.keys.size())
                notes.add(Field::Keys, "contains a key more than once");
            bool isPriorityOfAllRoutes = tenant.priority
                && std::all_of(table.routes.begin(), table.routes.end(),
                    [&](const Routes::Route& route) { return route.priority == *tenant.priority; });
            if (isPriorityOfAllRoutes)
                notes.add(Field::Priority, "has no effect: all routes have the same one");
            if (tenant.quota)
                reviewQuota(*tenant.quota, notes);
        }
    }

    void reviewTable(const Routes::Table& table, std::vector<Finding>& findings)
    {
        Notes notes { findings, {} };
        if (table.routes.empty())
            notes.add(Field::Routes, "is empty: each call is refused");
        bool allowsAnonymous = std::any_of(
            table.routes.begin(), table.routes.end(), [](const Routes::Route& route) { return route.allowsAnonymous; });
        if (table.tenants && table.tenants->empty() && !allowsAnonymous)
            notes.add(Field::Tenants, "is empty, and no route allows anonymous calls: each call is refused");
        const Routes::CallerLimits& limits = table.limits;
        if (limits.head.value() < 1)
            notes.add(Field::HeadLimit, "is 0: each call is refused");
        if (limits.headTimeout <= Milliseconds(0))
            notes.add(Field::HeadTimeout, "is not positive: a call whose head arrives in several pieces is refused");
        if (limits.idleTimeout <= Milliseconds(0))
            notes.add(Field::IdleTimeout, "is not positive: a connection is closed once it is open");
        // The first byte of a head replaces the idle timeout by the head timeout.
        else if (limits.headTimeout > limits.idleTimeout)
            notes.add(Field::HeadTimeout,
                "is " + textOf(limits.headTimeout.value()) + " ms, above the idle timeout of "
                    + textOf(limits.idleTimeout.value())
                    + " ms: an incomplete call holds a connection longer than no call");
    }

} // namespace

std::vector<Finding> review(const Routes::Table& table)
{
    std::vector<Finding> findings;
    reviewTable(table, findings);
    reviewRoutes(table, findings);
    reviewGroups(table, findings);
    if (table.tenants)
        reviewTenants(table, findings);
    return findings;
}

} // namespace Review
