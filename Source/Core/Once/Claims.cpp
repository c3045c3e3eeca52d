#include "Once/Claims.h"

#include "Common/Assert.h"
#include "Common/Hash.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <string_view>
#include <tuple>
#include <utility>

namespace Once {

namespace {

    constexpr size_t maximumEndedAttempts = 8;

    // Limits how long one Expire blocks the log shard.
    constexpr size_t maximumDropsPerExpire = 20'000;

    uint64_t tombstoneOf(const Common::RequestId& id) { return Common::hash64(id.value()); }

    // Ids whose own timestamp is earlier are refused without a record or a tombstone.
    LogTime expiryHorizon(const Claims& claims)
    {
        uint64_t now = claims.logTime.value();
        uint64_t retention = claims.settings.retentionMs;
        return LogTime(now > retention ? now - retention : 0);
    }

    bool isBeforeHorizon(const Claims& claims, const Common::RequestId& id)
    {
        auto time = idTime(id);
        return time && *time < expiryHorizon(claims);
    }

    bool isForgotten(const Claims& claims, const Common::RequestId& id)
    {
        return isBeforeHorizon(claims, id)
            || std::binary_search(claims.tombstones.begin(), claims.tombstones.end(), tombstoneOf(id));
    }

    bool isOrphaned(const Claims& claims, const AttemptRef& by)
    {
        auto it = claims.orphaned.find(by.owner);
        return it != claims.orphaned.end() && by.incarnation <= it->second;
    }

    bool isFull(const Claims& claims)
    {
        return claims.records.size() >= claims.settings.maximumRecords
            || claims.keptBytes >= claims.settings.maximumKeptBytes;
    }

    uint64_t bodyBytes(const Record& record)
    {
        if (!record.done)
            return 0;
        return std::visit([](const auto& answer) { return uint64_t { answer.body.size() }; }, record.done->outcome);
    }

    bool hasEnded(const Record& record, const AttemptRef& by)
    {
        return std::find(record.ended.begin(), record.ended.end(), by) != record.ended.end();
    }

    void rememberEnded(Record& record, const AttemptRef& by)
    {
        if (hasEnded(record, by))
            return;
        if (record.ended.size() == maximumEndedAttempts)
            record.ended.erase(record.ended.begin());
        record.ended.push_back(by);
    }

    void removeFromRunning(Claims& claims, const Common::RequestId& id, const Record& record)
    {
        auto it = claims.runningByOwner.find(record.by.owner);
        if (it == claims.runningByOwner.end())
            return;
        it->second.erase(id);
        if (it->second.empty())
            claims.runningByOwner.erase(it);
    }

    // Every transition out of Running or Unknown goes through here.
    void settle(Claims& claims, const Common::RequestId& id, Record& record, RecordState state)
    {
        CORIANDERLOCK_INVARIANT(record.state != RecordState::Done, "a recorded outcome is never overwritten");
        if (record.state == RecordState::Running)
            removeFromRunning(claims, id, record);
        record.state = state;
        record.settledAt = claims.logTime;
        claims.settled.push_back({ claims.logTime, id });
    }

    ClaimOutcome grant(Claims& claims, Record& record, const Claim& claim)
    {
        CORIANDERLOCK_INVARIANT(
            record.state == RecordState::Released, "a claim is granted only while no attempt may have run");
        record.route = claim.route;
        record.body = claim.body;
        record.by = claim.by;
        record.claimed = true;
        record.reportedUnknown = false;
        record.state = RecordState::Running;
        claims.runningByOwner[claim.by.owner].insert(claim.id);
        return Granted {};
    }

    ClaimOutcome claimReleased(Claims& claims, Record& record, const Claim& claim)
    {
        if (isOrphaned(claims, claim.by))
            return Refused { ClaimRefusal::Orphaned };
        if (hasEnded(record, claim.by))
            return Refused { ClaimRefusal::Superseded };
        return grant(claims, record, claim);
    }

    ClaimOutcome answerClaimed(const Claims& claims, Record& record, const Claim& claim)
    {
        switch (record.state) {
        case RecordState::Running:
            if (record.by != claim.by)
                return Running { record.by };
            // The same claim was sent again because its reply was lost.
            CORIANDERLOCK_INVARIANT(!isOrphaned(claims, claim.by), "no claim of an orphaned incarnation runs");
            return Granted {};
        case RecordState::Unknown:
            // HeldUnknown ends the claiming attempt, so a delayed copy of its claim must not be granted later.
            if (record.by != claim.by)
                rememberEnded(record, claim.by);
            return HeldUnknown { record.by };
        case RecordState::Done:
            return *record.done;
        case RecordState::Released:
            break;
        }
        return Refused { ClaimRefusal::Superseded };
    }

    template <typename Answer> Answer limitBody(Answer answer, uint64_t maximumBodyBytes)
    {
        if (answer.body.size() <= maximumBodyBytes)
            return answer;
        answer.body.clear();
        answer.body.shrink_to_fit();
        answer.bodyDropped = true;
        return answer;
    }

    template <typename Answer>
    RecordResult recordAnswer(Claims& claims, Record& record, const Outcome& outcome, const Answer& answer)
    {
        if (record.by != outcome.by || record.state == RecordState::Released)
            return RecordResult::Stale;
        Done done { limitBody(answer, claims.settings.maximumBodyBytes) };
        if (record.state == RecordState::Done)
            return *record.done == done ? RecordResult::AlreadyRecorded : RecordResult::Stale;
        settle(claims, outcome.id, record, RecordState::Done);
        record.done = std::move(done);
        claims.keptBytes += bodyBytes(record);
        return RecordResult::Recorded;
    }

    RecordResult recordUnknown(Claims& claims, Record& record, const Outcome& outcome)
    {
        if (record.by != outcome.by)
            return RecordResult::Stale;
        if (record.state == RecordState::Running)
            settle(claims, outcome.id, record, RecordState::Unknown);
        else if (record.state != RecordState::Unknown)
            return RecordResult::Stale;
        return std::exchange(record.reportedUnknown, true) ? RecordResult::AlreadyRecorded : RecordResult::Recorded;
    }

    RecordResult recordNotRun(Claims& claims, Record& record, const Outcome& outcome)
    {
        if (record.state == RecordState::Released) {
            if (hasEnded(record, outcome.by))
                return RecordResult::AlreadyRecorded;
            // The attempt's claim may still arrive. It must not be granted, because its owner has abandoned it.
            rememberEnded(record, outcome.by);
            return RecordResult::Recorded;
        }
        if (record.by != outcome.by) {
            rememberEnded(record, outcome.by);
            return RecordResult::Stale;
        }
        // The owner of an orphaned claim may still report that it never dispatched, unless it has reported Unknown.
        if (record.state == RecordState::Done || record.reportedUnknown)
            return RecordResult::Stale;
        settle(claims, outcome.id, record, RecordState::Released);
        rememberEnded(record, outcome.by);
        return RecordResult::Recorded;
    }

    // Records a NotRun that arrived before its claim, so that the claim is refused.
    RecordResult blockAttempt(Claims& claims, const Outcome& outcome)
    {
        if (claims.records.size() >= claims.settings.maximumRecords)
            return RecordResult::Stale;
        Record record;
        record.route = outcome.route;
        record.state = RecordState::Released;
        record.claimed = false;
        record.settledAt = claims.logTime;
        record.ended.push_back(outcome.by);
        claims.records.emplace(outcome.id, std::move(record));
        claims.settled.push_back({ claims.logTime, outcome.id });
        return RecordResult::Recorded;
    }

    // A released id has not run and may be claimed again. An id before the expiry horizon is refused by its timestamp.
    bool needsTombstone(const Claims& claims, const Common::RequestId& id, const Record& record)
    {
        return record.state != RecordState::Released && !isBeforeHorizon(claims, id);
    }

    bool isUnchangedSince(const Record& record, LogTime at)
    {
        return record.state != RecordState::Running && record.settledAt == at;
    }

    // Records that settled before the first Expire have no time yet. Their retention starts now.
    void setInitialSettledTimes(Claims& claims, LogTime now)
    {
        for (auto& [id, record] : claims.records) {
            if (record.state != RecordState::Running)
                record.settledAt = now;
        }
        for (Claims::Settled& entry : claims.settled)
            entry.at = now;
    }

    bool isEarlier(const Claims::Settled& a, const Claims::Settled& b)
    {
        return std::tie(a.at, a.id) < std::tie(b.at, b.id);
    }

    // Removes and returns the entries of the earliest log time. They are sorted, because a replica restored from a
    // snapshot holds them in another order than one that applied the commands.
    std::vector<Claims::Settled> takeEarliest(Claims& claims)
    {
        LogTime earliest = claims.settled.front().at;
        auto isLater = [&](const Claims::Settled& entry) { return entry.at > earliest; };
        auto end = std::find_if(claims.settled.begin(), claims.settled.end(), isLater);
        std::vector<Claims::Settled> entries(
            std::make_move_iterator(claims.settled.begin()), std::make_move_iterator(end));
        claims.settled.erase(claims.settled.begin(), end);
        std::sort(entries.begin(), entries.end(), isEarlier);
        return entries;
    }

    struct PendingDrops {
        size_t records { 0 };
        std::vector<uint64_t> tombstones;
    };

    // Drops the record unless it changed later. Returns false if the tombstone limit requires keeping it.
    bool dropRecord(Claims& claims, const Claims::Settled& entry, PendingDrops& drops)
    {
        auto it = claims.records.find(entry.id);
        if (it == claims.records.end() || !isUnchangedSince(it->second, entry.at))
            return true;
        if (needsTombstone(claims, entry.id, it->second)) {
            if (claims.tombstones.size() + drops.tombstones.size() >= claims.settings.maximumTombstones)
                return false;
            drops.tombstones.push_back(tombstoneOf(entry.id));
        }
        ++drops.records;
        claims.keptBytes -= bodyBytes(it->second);
        claims.records.erase(it);
        return true;
    }

    void addTombstones(Claims& claims, std::vector<uint64_t> added)
    {
        std::sort(added.begin(), added.end());
        auto middle = static_cast<std::ptrdiff_t>(claims.tombstones.size());
        claims.tombstones.insert(claims.tombstones.end(), added.begin(), added.end());
        std::inplace_merge(claims.tombstones.begin(), claims.tombstones.begin() + middle, claims.tombstones.end());
    }

    bool parseHex(std::string_view text, uint64_t& value)
    {
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        return ec == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::optional<LogTime> idTime(const Common::RequestId& id)
{
    constexpr std::string_view pattern = "hhhhhhhh-hhhh-7hhh-hhhh-hhhhhhhhhhhh";
    std::string_view text = id.value();
    if (text.size() != pattern.size())
        return std::nullopt;
    for (size_t i = 0; i < text.size(); ++i) {
        bool fits = pattern[i] == 'h' ? std::isxdigit(static_cast<unsigned char>(text[i])) : text[i] == pattern[i];
        if (!fits)
            return std::nullopt;
    }
    uint64_t high = 0;
    uint64_t low = 0;
    if (!parseHex(text.substr(0, 8), high) || !parseHex(text.substr(9, 4), low))
        return std::nullopt;
    return LogTime((high << 16) | low);
}

Common::LogShardId logShardOf(const Common::RequestId& id, uint32_t logShards)
{
    // A separate seed makes the shard independent of the tombstone hash, so the tombstones of one shard use all 64
    // bits.
    constexpr uint64_t shardSeed = 0x6c6f67;
    return Common::LogShardId(1 + static_cast<uint32_t>(Common::hash64(id.value(), shardSeed) % logShards));
}

ClaimOutcome apply(Claims& claims, const Claim& claim)
{
    auto it = claims.records.find(claim.id);
    if (it == claims.records.end()) {
        if (isForgotten(claims, claim.id))
            return Refused { ClaimRefusal::Expired };
        if (isOrphaned(claims, claim.by))
            return Refused { ClaimRefusal::Orphaned };
        if (isFull(claims))
            return Refused { ClaimRefusal::Full };
        Record& record = claims.records[claim.id];
        record.state = RecordState::Released;
        return grant(claims, record, claim);
    }
    Record& record = it->second;
    if (record.claimed && (record.body != claim.body || record.route != claim.route))
        return Refused { ClaimRefusal::OtherBody };
    if (record.state != RecordState::Released)
        return answerClaimed(claims, record, claim);
    if (isBeforeHorizon(claims, claim.id))
        return Refused { ClaimRefusal::Expired };
    return claimReleased(claims, record, claim);
}

RecordResult apply(Claims& claims, const Outcome& outcome)
{
    auto it = claims.records.find(outcome.id);
    if (it == claims.records.end()) {
        bool isBlocking = std::holds_alternative<NotRun>(outcome.kind) && !isForgotten(claims, outcome.id);
        return isBlocking ? blockAttempt(claims, outcome) : RecordResult::Stale;
    }
    struct Visitor {
        Claims& claims;
        Record& record;
        const Outcome& outcome;

        RecordResult operator()(const Completed& answer) const { return recordAnswer(claims, record, outcome, answer); }
        RecordResult operator()(const RefusedByBackend& answer) const
        {
            return recordAnswer(claims, record, outcome, answer);
        }
        RecordResult operator()(const NotRun&) const { return recordNotRun(claims, record, outcome); }
        RecordResult operator()(const Unknown&) const { return recordUnknown(claims, record, outcome); }
    };
    return std::visit(Visitor { claims, it->second, outcome }, outcome.kind);
}

void apply(Claims& claims, const Orphan& orphan)
{
    Common::Incarnation& highest = claims.orphaned[orphan.owner];
    highest = std::max(highest, orphan.incarnation);
    auto it = claims.runningByOwner.find(orphan.owner);
    if (it == claims.runningByOwner.end())
        return;
    // Sorted by id, so that all replicas settle the claims in the same order.
    std::vector<Common::RequestId> ids(it->second.begin(), it->second.end());
    std::sort(ids.begin(), ids.end());
    for (const Common::RequestId& id : ids) {
        Record& record = claims.records.at(id);
        if (record.by.incarnation <= highest)
            settle(claims, id, record, RecordState::Unknown);
    }
}

void apply(Claims& claims, const Expire& expire)
{
    if (!claims.logTime.value())
        setInitialSettledTimes(claims, expire.now);
    claims.logTime = std::max(claims.logTime, expire.now);
    PendingDrops drops;
    bool hasTombstoneCapacity = true;
    // The limit is checked only between log times and counts dropped records. Both are the same on all replicas.
    while (hasTombstoneCapacity && drops.records < maximumDropsPerExpire && !claims.settled.empty()
        && claims.settled.front().at < expiryHorizon(claims)) {
        std::vector<Claims::Settled> entries = takeEarliest(claims);
        auto firstKept = std::find_if(entries.begin(), entries.end(),
            [&](const Claims::Settled& entry) { return !dropRecord(claims, entry, drops); });
        hasTombstoneCapacity = firstKept == entries.end();
        claims.settled.insert(claims.settled.begin(), firstKept, entries.end());
    }
    addTombstones(claims, std::move(drops.tombstones));
}

std::vector<Orphan> runningOwners(const Claims& claims)
{
    std::vector<Orphan> owners;
    for (const auto& [owner, ids] : claims.runningByOwner) {
        Orphan highest { owner, Common::Incarnation() };
        for (const Common::RequestId& id : ids)
            highest.incarnation = std::max(highest.incarnation, claims.records.at(id).by.incarnation);
        owners.push_back(std::move(highest));
    }
    return owners;
}

void rebuildIndexes(Claims& claims)
{
    claims.runningByOwner.clear();
    claims.settled.clear();
    claims.keptBytes = 0;
    for (const auto& [id, record] : claims.records) {
        if (record.state == RecordState::Running)
            claims.runningByOwner[record.by.owner].insert(id);
        else
            claims.settled.push_back({ record.settledAt, id });
        claims.keptBytes += bodyBytes(record);
    }
    std::sort(claims.settled.begin(), claims.settled.end(), isEarlier);
}

} // namespace Once
