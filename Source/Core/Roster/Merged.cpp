#include "Roster/Merged.h"

#include <algorithm>

namespace Roster {

using Common::TimePoint;

namespace {

    bool isUsable(const Merged::Known& known)
    {
        return !known.isLeaving && !known.vouchers.empty() && !known.report.address.value().empty();
    }

    void begin(Merged::Known& known, const Report& report, TimePoint now)
    {
        known = {};
        known.report = report;
        known.learnedAt = now;
        known.warmAt = now + report.warmupLeft;
    }

    Standing standingOf(const Merged::Known& known)
    {
        if (known.isLeaving)
            return Standing::Leaving;
        return known.vouchers.empty() ? Standing::Lost : Standing::Serving;
    }

    std::optional<Learned> take(Merged& merged, const Common::InstanceId& source, const Report& report, TimePoint now)
    {
        auto [it, isNew] = merged.servers.try_emplace(report.server);
        Merged::Known& known = it->second;
        // A server that left without naming its incarnation left in the one that is known.
        bool isUnnamed = report.incarnation == Common::Incarnation(0) && report.standing == Standing::Leaving;
        if (!isNew && !isUnnamed && report.incarnation < known.report.incarnation)
            return std::nullopt;
        Standing before = standingOf(known);
        bool isLater = isNew || report.incarnation > known.report.incarnation;
        if (isLater)
            begin(known, report, now);
        else if (report.sequence > known.report.sequence)
            known.report = report;
        if (report.standing == Standing::Serving)
            known.vouchers.insert(source);
        else
            known.vouchers.erase(source);
        known.isLeaving = known.isLeaving || report.standing == Standing::Leaving;
        Standing after = standingOf(known);
        if (!isLater && before == after)
            return std::nullopt;
        known.learnedAt = now;
        return Learned { report.server, known.report.group, known.report.incarnation, after };
    }

} // namespace

std::vector<Learned> merge(Merged& merged, const Common::InstanceId& source, const Changes& changes, TimePoint now)
{
    if (changes.whole)
        dropSource(merged, source);
    std::vector<Learned> learned;
    for (const Report& report : changes.reports) {
        if (auto change = take(merged, source, report, now))
            learned.push_back(std::move(*change));
    }
    return learned;
}

void dropSource(Merged& merged, const Common::InstanceId& source)
{
    for (auto& [id, known] : merged.servers)
        known.vouchers.erase(source);
}

void renameSource(Merged& merged, const Common::InstanceId& from, const Common::InstanceId& to)
{
    for (auto& [id, known] : merged.servers) {
        if (known.vouchers.erase(from))
            known.vouchers.insert(to);
    }
}

std::map<Common::GroupName, std::vector<Usable>> usable(const Merged& merged)
{
    std::unordered_map<Common::Address, Common::Incarnation> latest;
    for (auto& [id, known] : merged.servers) {
        auto& at = latest[known.report.address];
        at = std::max(at, known.report.incarnation);
    }
    std::map<Common::GroupName, std::vector<Usable>> groups;
    for (auto& [id, known] : merged.servers) {
        const Report& report = known.report;
        if (!isUsable(known) || latest[report.address] != report.incarnation)
            continue;
        groups[report.group].push_back(
            { report.server, report.address, report.domain, report.incarnation, report.slots, known.warmAt });
    }
    for (auto& [name, servers] : groups) {
        std::sort(servers.begin(), servers.end(), [](const Usable& a, const Usable& b) { return a.server < b.server; });
    }
    return groups;
}

void forgetBefore(Merged& merged, TimePoint time)
{
    std::erase_if(merged.servers, [&](auto& pair) {
        const Merged::Known& known = pair.second;
        return !isUsable(known) && known.learnedAt < time;
    });
}

} // namespace Roster
