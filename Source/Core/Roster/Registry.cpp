#include "Roster/Registry.h"

#include <algorithm>

namespace Roster {

using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

    void recordChange(Registry& registry, Registry::Entry& entry)
    {
        registry.revision += Revision(1);
        entry.changedAt = registry.revision;
    }

    bool isStale(const Report& report, const Report& known)
    {
        if (report.incarnation != known.incarnation)
            return report.incarnation < known.incarnation;
        return report.sequence <= known.sequence;
    }

    bool hasReturned(const Registry::Entry& entry, const Report& report, TimePoint now)
    {
        return entry.report.status == ServerStatus::Leaving && report.incarnation > entry.heard
            && now - entry.receivedAt > longestHeartbeatDelay;
    }

    // Whether followers need the report. The sequence and the remaining warm-up time change with each
    // heartbeat; a cold phase that ends at another time is checked by isWarmAtChanged().
    bool isRelevantChange(const Report& report, const Report& known)
    {
        Report same = report;
        same.sequence = known.sequence;
        same.warmupLeft = known.warmupLeft;
        return !(same == known);
    }

} // namespace

ReportResult renew(Registry& registry, const Report& report, TimePoint now)
{
    auto [it, isNew] = registry.entries.try_emplace(report.server);
    Registry::Entry& entry = it->second;
    if (!isNew && isStale(report, entry.report) && !hasReturned(entry, report, now))
        return ReportResult::Stale;
    Report next = report;
    bool sameIncarnation = !isNew && report.incarnation == entry.report.incarnation;
    if (sameIncarnation && entry.report.status == ServerStatus::Leaving)
        next.status = ServerStatus::Leaving;
    TimePoint warmAt = now + next.warmupLeft;
    bool isWarmthChanged = !sameIncarnation || isWarmAtChanged(entry.warmAt, warmAt, now);
    if (isWarmthChanged)
        entry.warmAt = warmAt;
    bool isChanged = isNew || isWarmthChanged || isRelevantChange(next, entry.report);
    entry.report = next;
    entry.receivedAt = now;
    entry.heard = report.incarnation;
    if (isChanged)
        recordChange(registry, entry);
    return ReportResult::Accepted;
}

bool leave(Registry& registry, const Common::BackendServerId& server, Common::Incarnation incarnation, TimePoint now,
    Common::Incarnation heard)
{
    auto [it, isNew] = registry.entries.try_emplace(server);
    Registry::Entry& entry = it->second;
    Report& report = entry.report;
    bool isEarlier = incarnation != Common::Incarnation(0) && incarnation < report.incarnation;
    bool isLater = incarnation > report.incarnation;
    if (!isNew && (isEarlier || (!isLater && report.status == ServerStatus::Leaving)))
        return false;
    report.server = server;
    entry.heard = std::max(entry.heard, heard);
    if (isLater) {
        report.incarnation = incarnation;
        report.sequence = 0;
    }
    report.status = ServerStatus::Leaving;
    entry.receivedAt = now;
    recordChange(registry, entry);
    return true;
}

KnownStart knownStart(const Registry& registry, const Common::BackendServerId& server)
{
    auto it = registry.entries.find(server);
    if (it == registry.entries.end())
        return {};
    const Registry::Entry& entry = it->second;
    bool isLeaving = entry.report.status == ServerStatus::Leaving && entry.report.incarnation == entry.heard;
    return { entry.report.incarnation, entry.heard, isLeaving };
}

void expire(Registry& registry, TimePoint now, Milliseconds silence, Milliseconds forgetAfter)
{
    for (auto it = registry.entries.begin(); it != registry.entries.end();) {
        Registry::Entry& entry = it->second;
        Milliseconds silent = now - entry.receivedAt;
        if (silent > forgetAfter) {
            it = registry.entries.erase(it);
            continue;
        }
        if (silent > silence && entry.report.status == ServerStatus::Serving) {
            entry.report.status = ServerStatus::Lost;
            recordChange(registry, entry);
        }
        ++it;
    }
}

void copyChanges(Registry& registry, const Changes& changes, TimePoint now)
{
    if (changes.whole)
        registry.entries.clear();
    for (const Report& report : changes.reports) {
        Registry::Entry& entry = registry.entries[report.server];
        auto heard = isOfStart(report) ? report.incarnation : entry.heard;
        entry = { report, now, changes.revision, now + report.warmupLeft, heard };
    }
    registry.revision = changes.revision;
}

Changes changesSince(const Registry& registry, Revision from)
{
    Changes changes { from == Revision(0) || from > registry.revision, registry.revision, {} };
    if (!changes.whole && from == registry.revision)
        return changes;
    for (auto& [id, entry] : registry.entries) {
        if (changes.whole || entry.changedAt > from)
            changes.reports.push_back(entry.report);
    }
    return changes;
}

} // namespace Roster
