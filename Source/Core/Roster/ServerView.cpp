#include "Roster/ServerView.h"

#include <algorithm>

namespace Roster {

using Common::TimePoint;

namespace {

    bool isEligible(const ServerView::Server& known)
    {
        return !known.isLeaving && !known.reportedBy.empty() && !known.report.address.value().empty();
    }

    void begin(ServerView::Server& known, const Report& report, TimePoint now)
    {
        known = {};
        known.report = report;
        known.learnedAt = now;
        known.warmAt = now + report.warmupLeft;
    }

    ServerStatus statusOf(const ServerView::Server& known)
    {
        if (known.isLeaving)
            return ServerStatus::Leaving;
        return known.reportedBy.empty() ? ServerStatus::Lost : ServerStatus::Serving;
    }

    std::optional<StatusChange> applyReport(
        ServerView& view, const Common::InstanceId& source, const Report& report, TimePoint now)
    {
        auto [it, isNew] = view.servers.try_emplace(report.server);
        ServerView::Server& known = it->second;
        // A server that left without naming its incarnation left in the one that is known.
        bool isUnnamed = report.incarnation == Common::Incarnation(0) && report.status == ServerStatus::Leaving;
        if (!isNew && !isUnnamed && report.incarnation < known.report.incarnation)
            return std::nullopt;
        ServerStatus before = statusOf(known);
        bool isLater = isNew || report.incarnation > known.report.incarnation;
        if (isLater)
            begin(known, report, now);
        else if (report.sequence > known.report.sequence)
            known.report = report;
        if (report.status == ServerStatus::Serving)
            known.reportedBy.insert(source);
        else
            known.reportedBy.erase(source);
        known.isLeaving = known.isLeaving || report.status == ServerStatus::Leaving;
        ServerStatus after = statusOf(known);
        if (!isLater && before == after)
            return std::nullopt;
        known.learnedAt = now;
        return StatusChange { report.server, known.report.group, known.report.incarnation, after };
    }

} // namespace

std::vector<StatusChange> merge(
    ServerView& view, const Common::InstanceId& source, const Changes& changes, TimePoint now)
{
    if (changes.whole)
        dropSource(view, source);
    std::vector<StatusChange> learned;
    for (const Report& report : changes.reports) {
        if (auto change = applyReport(view, source, report, now))
            learned.push_back(std::move(*change));
    }
    return learned;
}

void dropSource(ServerView& view, const Common::InstanceId& source)
{
    for (auto& [id, known] : view.servers)
        known.reportedBy.erase(source);
}

void renameSource(ServerView& view, const Common::InstanceId& from, const Common::InstanceId& to)
{
    for (auto& [id, known] : view.servers) {
        if (known.reportedBy.erase(from))
            known.reportedBy.insert(to);
    }
}

std::map<Common::GroupName, std::vector<EligibleServer>> eligibleServers(const ServerView& view)
{
    std::unordered_map<Common::Address, Common::Incarnation> latest;
    for (auto& [id, known] : view.servers) {
        auto& at = latest[known.report.address];
        at = std::max(at, known.report.incarnation);
    }
    std::map<Common::GroupName, std::vector<EligibleServer>> groups;
    for (auto& [id, known] : view.servers) {
        const Report& report = known.report;
        if (!isEligible(known) || latest[report.address] != report.incarnation)
            continue;
        groups[report.group].push_back(
            { report.server, report.address, report.domain, report.incarnation, report.slots, known.warmAt });
    }
    for (auto& [name, servers] : groups) {
        std::sort(servers.begin(), servers.end(),
            [](const EligibleServer& a, const EligibleServer& b) { return a.server < b.server; });
    }
    return groups;
}

void forgetBefore(ServerView& view, TimePoint time)
{
    std::erase_if(view.servers, [&](auto& pair) {
        const ServerView::Server& known = pair.second;
        return !isEligible(known) && known.learnedAt < time;
    });
}

} // namespace Roster
