#include "Roster/ServerView.h"

#include "Roster/Validation.h"

#include <algorithm>

namespace Roster {

using Common::TimePoint;

namespace {

    bool isEligible(const ServerView::Server& server)
    {
        return !server.isLeaving && !server.reportedBy.empty() && !server.report.address.value().empty();
    }

    // Of longestHeartbeatDelay. A control instance reports the return once, and learned of the departure earlier.
    constexpr double returnedShare = 0.75;

    bool hasReturned(const ServerView::Server& server, const Report& report, TimePoint now)
    {
        return server.isLeaving && report.status == ServerStatus::Serving && report.incarnation > server.heard
            && now - server.changedAt > longestHeartbeatDelay * returnedShare;
    }

    void replace(ServerView::Server& server, const Report& report, TimePoint now)
    {
        Common::Incarnation heard = server.heard;
        server = {};
        server.report = report;
        server.heard = report.status == ServerStatus::Serving ? report.incarnation : heard;
        server.changedAt = now;
        server.warmAt = now + report.warmupLeft;
    }

    // Returns whether the time until which the server is cold has changed.
    bool renew(ServerView::Server& server, const Report& report, TimePoint now)
    {
        server.report = report;
        TimePoint warmAt = now + report.warmupLeft;
        // A report from before the cancellation of an evacuation does not say how long the server is cold now.
        if (server.coldSince && report.sequence <= *server.coldSince)
            return false;
        bool isFirstSince = server.coldSince.has_value();
        server.coldSince.reset();
        if (!isFirstSince && !isWarmAtChanged(server.warmAt, warmAt, now))
            return false;
        server.warmAt = warmAt;
        return true;
    }

    ServerStatus statusOf(const ServerView::Server& server)
    {
        if (server.isLeaving)
            return ServerStatus::Leaving;
        return server.reportedBy.empty() ? ServerStatus::Lost : ServerStatus::Serving;
    }

    std::optional<StatusChange> applyReport(
        ServerView& view, const Common::InstanceId& source, const Report& report, TimePoint now)
    {
        // Control instances check reports as well, but one of an earlier version does not.
        if (!isValid(report))
            return std::nullopt;
        auto [it, isNew] = view.servers.try_emplace(report.server);
        ServerView::Server& server = it->second;
        // A leave without an incarnation applies to the current incarnation.
        bool hasNoIncarnation = report.incarnation == Common::Incarnation(0) && report.status == ServerStatus::Leaving;
        bool isReturn = hasReturned(server, report, now);
        if (!isNew && !hasNoIncarnation && !isReturn && report.incarnation < server.report.incarnation) {
            if (report.status != ServerStatus::Leaving)
                return std::nullopt;
            return StatusChange { report.server, server.report.group, report.incarnation, report.status, true };
        }
        ServerStatus before = statusOf(server);
        bool isNewIncarnation = isNew || isReturn || report.incarnation > server.report.incarnation;
        bool isWarmthChanged = false;
        if (isNewIncarnation)
            replace(server, report, now);
        else if (report.sequence > server.report.sequence)
            isWarmthChanged = renew(server, report, now);
        if (report.status == ServerStatus::Serving)
            server.reportedBy.insert(source);
        else
            server.reportedBy.erase(source);
        server.isLeaving = server.isLeaving || report.status == ServerStatus::Leaving;
        ServerStatus after = statusOf(server);
        if (!isNewIncarnation && !isWarmthChanged && before == after)
            return std::nullopt;
        server.changedAt = now;
        return StatusChange { report.server, server.report.group, server.report.incarnation, after };
    }

} // namespace

std::vector<StatusChange> merge(
    ServerView& view, const Common::InstanceId& source, const Changes& changes, TimePoint now)
{
    if (changes.whole)
        dropSource(view, source);
    std::vector<StatusChange> statusChanges;
    for (const Report& report : changes.reports) {
        if (auto change = applyReport(view, source, report, now))
            statusChanges.push_back(std::move(*change));
    }
    return statusChanges;
}

void dropSource(ServerView& view, const Common::InstanceId& source)
{
    for (auto& [id, server] : view.servers)
        server.reportedBy.erase(source);
}

void renameSource(ServerView& view, const Common::InstanceId& from, const Common::InstanceId& to)
{
    for (auto& [id, server] : view.servers) {
        if (server.reportedBy.erase(from))
            server.reportedBy.insert(to);
    }
}

std::map<Common::GroupName, std::vector<EligibleServer>> eligibleServers(const ServerView& view)
{
    std::unordered_map<Common::Address, Common::Incarnation> latest;
    for (auto& [id, server] : view.servers) {
        // Only a server in use holds its address: the next one there may have an earlier clock.
        if (!isEligible(server))
            continue;
        auto& incarnation = latest[server.report.address];
        incarnation = std::max(incarnation, server.report.incarnation);
    }
    std::map<Common::GroupName, std::vector<EligibleServer>> groups;
    for (auto& [id, server] : view.servers) {
        const Report& report = server.report;
        if (isEvacuated(view.evacuations, report.domain))
            continue;
        if (!isEligible(server) || latest[report.address] != report.incarnation)
            continue;
        groups[report.group].push_back(
            { report.server, report.address, report.domain, report.incarnation, report.slots, server.warmAt });
    }
    for (auto& [name, servers] : groups) {
        std::sort(servers.begin(), servers.end(),
            [](const EligibleServer& a, const EligibleServer& b) { return a.server < b.server; });
    }
    return groups;
}

bool takeEvacuations(ServerView& view, const Evacuations& evacuations, TimePoint now)
{
    if (evacuations.revision <= view.evacuations.revision)
        return false;
    for (auto& [id, server] : view.servers) {
        const Common::FailureDomain& domain = server.report.domain;
        if (!isEvacuated(view.evacuations, domain) || isEvacuated(evacuations, domain))
            continue;
        server.warmAt = std::max(server.warmAt, now + coldAfterEvacuation);
        server.coldSince = server.report.sequence;
    }
    view.evacuations = evacuations;
    return true;
}

void forgetBefore(ServerView& view, TimePoint time)
{
    std::erase_if(view.servers, [&](auto& pair) {
        const ServerView::Server& server = pair.second;
        return !isEligible(server) && server.changedAt < time;
    });
}

} // namespace Roster
