#include "Control/Leases.h"

#include <algorithm>
#include <string>

using Common::Milliseconds;
using Common::TimePoint;

namespace Control {

namespace {

    // Number of lease durations for which an ended lease is kept, so that a late renewal of it is refused.
    constexpr double endedLeaseRetentionTimes = 15;

    uint64_t nextNumber(LeaseTable& table) { return ++table.listNumber.number; }

    void end(LeaseTable& table, Lease& lease)
    {
        lease.ended = true;
        lease.changedAt = nextNumber(table);
    }

    bool isHeld(const Lease& lease, TimePoint now) { return !lease.ended && now < lease.expiresAt; }

    bool mayEarlierLeasesRemain(const LeaseTable& table, TimePoint now)
    {
        return now < table.electedAt + table.duration;
    }

    Common::Error refuse(const Renewal& renewal, const std::string& problem)
    {
        return Common::makeError(Common::Reason::Conflict, "renew",
            "incarnation " + std::to_string(renewal.instance.incarnation.value()) + " " + problem,
            renewal.instance.id.value());
    }

    void pruneEndedLeases(LeaseTable& table, TimePoint now)
    {
        Milliseconds keep = table.duration * endedLeaseRetentionTimes;
        std::erase_if(table.leases, [&](const auto& pair) {
            const Lease& lease = pair.second;
            if (!lease.ended || lease.expiresAt + keep > now)
                return false;
            table.prunedUpTo = std::max(table.prunedUpTo, lease.changedAt);
            return true;
        });
    }

} // namespace

LeaseTable::LeaseTable(Common::Term term, TimePoint electionTime, Milliseconds leaseDuration)
    : duration(leaseDuration)
    , electedAt(electionTime)
    , listNumber { term, 0 }
{
}

void importHolders(LeaseTable& table, const LeaseHolders& holders)
{
    if (table.hasImportedHolders)
        return;
    table.hasImportedHolders = true;
    for (const auto& [id, instance] : holders) {
        auto [it, isNew] = table.leases.try_emplace(id);
        if (!isNew)
            continue;
        it->second.instance = instance;
        it->second.expiresAt = table.electedAt + table.duration;
        it->second.changedAt = nextNumber(table);
    }
}

Common::Result<LeaseGranted> renew(
    LeaseTable& table, const Renewal& renewal, TimePoint now, Common::Revision sentRevision)
{
    LeaseGranted granted { table.duration, std::nullopt };
    TimePoint until = now + table.duration;
    auto [it, isNew] = table.leases.try_emplace(renewal.instance.id);
    Lease& lease = it->second;
    Common::Incarnation known = lease.instance.incarnation;
    if (!isNew && renewal.instance.incarnation < known)
        return refuse(renewal, "is older than " + std::to_string(known.value()));
    bool isSame = !isNew && renewal.instance.incarnation == known;
    // The claims of an ended lease are orphans already or become so with the next call of expireLeases().
    if (isSame && !isHeld(lease, now))
        return refuse(renewal, "has ended, use a higher one");
    if (!isNew && !isSame)
        granted.replaced = known;
    bool hasChanged = lease.instance != renewal.instance;
    lease.instance = renewal.instance;
    lease.applied = std::max(renewal.applied, isSame ? lease.applied : sentRevision);
    lease.expiresAt = isSame ? std::max(lease.expiresAt, until) : until;
    lease.ended = false;
    if (isNew || hasChanged)
        lease.changedAt = nextNumber(table);
    return granted;
}

bool release(LeaseTable& table, const Common::InstanceId& id, Common::Incarnation incarnation)
{
    auto it = table.leases.find(id);
    if (it == table.leases.end() || it->second.instance.incarnation != incarnation || it->second.ended)
        return false;
    end(table, it->second);
    return true;
}

std::vector<EndedLease> expireLeases(LeaseTable& table, TimePoint now)
{
    std::vector<EndedLease> ended;
    for (auto& [id, lease] : table.leases) {
        if (lease.ended || now < lease.expiresAt)
            continue;
        end(table, lease);
        ended.push_back({ id, lease.instance.incarnation });
    }
    pruneEndedLeases(table, now);
    return ended;
}

bool hasNoLease(const LeaseTable& table, const Common::InstanceId& id, Common::Incarnation incarnation, TimePoint now)
{
    if (mayEarlierLeasesRemain(table, now))
        return false;
    auto it = table.leases.find(id);
    if (it == table.leases.end() || it->second.instance.incarnation != incarnation)
        return true;
    return !isHeld(it->second, now);
}

std::vector<EndedLease> endedHolders(const LeaseTable& table, const LeaseHolders& holders, TimePoint now)
{
    std::vector<EndedLease> ended;
    for (const auto& [id, instance] : holders) {
        if (hasNoLease(table, id, instance.incarnation, now))
            ended.push_back({ id, instance.incarnation });
    }
    return ended;
}

RevisionStatus revisionStatus(const LeaseTable& table, Common::Revision revision, TimePoint now)
{
    RevisionStatus status;
    status.newLeader = !table.hasImportedHolders;
    for (const auto& [id, lease] : table.leases) {
        if (isHeld(lease, now) && lease.applied < revision)
            status.missing.push_back(id);
    }
    bool isInForce = status.missing.empty() && !status.newLeader;
    status.state = isInForce ? RevisionState::InForce : RevisionState::Applying;
    return status;
}

LiveChanges liveChangesSince(const LeaseTable& table, const LiveListNumber& since)
{
    LiveChanges changes;
    changes.number = table.listNumber;
    bool isComparable = since.term == table.listNumber.term && since.number <= table.listNumber.number;
    changes.whole = !isComparable || since.number < table.prunedUpTo;
    for (const auto& [id, lease] : table.leases) {
        if (!changes.whole && lease.changedAt <= since.number)
            continue;
        if (!lease.ended)
            changes.joined.push_back(lease.instance);
        else if (!changes.whole)
            changes.left.push_back(id);
    }
    return changes;
}

} // namespace Control
