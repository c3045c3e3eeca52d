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

    constexpr size_t maximumEnded = 8;

    // Bounds the time that one Expire takes.
    constexpr size_t maximumDropsOfExpire = 20'000;

    uint64_t tombstoneOf(const Common::RequestId& id) { return Common::hash64(id.value()); }

    // Ids whose own time is before it are refused without state.
    LogTime horizon(const Claims& claims)
    {
        uint64_t now = claims.logTime.value();
        uint64_t retention = claims.settings.retentionMs;
        return LogTime(now > retention ? now - retention : 0);
    }

    bool isBeforeHorizon(const Claims& claims, const Common::RequestId& id)
    {
        auto time = idTime(id);
        return time && *time < horizon(claims);
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
        if (record.ended.size() == maximumEnded)
            record.ended.erase(record.ended.begin());
        record.ended.push_back(by);
    }

    void stopRunning(Claims& claims, const Common::RequestId& id, const Record& record)
    {
        auto it = claims.runningByOwner.find(record.by.owner);
        if (it == claims.runningByOwner.end())
            return;
        it->second.erase(id);
        if (it->second.empty())
            claims.runningByOwner.erase(it);
    }

    // The only way out of Running or Unknown.
    void settle(Claims& claims, const Common::RequestId& id, Record& record, RecordState state)
    {
        CORIANDERLOCK_INVARIANT(record.state != RecordState::Done, "a recorded outcome is never overwritten");
        if (record.state == RecordState::Running)
            stopRunning(claims, id, record);
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

    ClaimOutcome claimAnew(Claims& claims, Record& record, const Claim& claim)
    {
        if (isOrphaned(claims, claim.by))
            return Refused { ClaimRefusal::Orphaned };
        if (hasEnded(record, claim.by))
            return Refused { ClaimRefusal::Superseded };
        return grant(claims, record, claim);
    }

    ClaimOutcome answerHeld(const Claims& claims, Record& record, const Claim& claim)
    {
        switch (record.state) {
        case RecordState::Running:
            if (record.by != claim.by)
                return Running { record.by };
            // The answer to this very claim was lost.
            CORIANDERLOCK_INVARIANT(!isOrphaned(claims, claim.by), "no claim of an orphaned incarnation runs");
            return Granted {};
        case RecordState::Unknown:
            // The claimer gives up on this answer: a copy of its claim that comes late must not be granted.
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

    template <typename Answer> Answer bounded(Answer answer, uint64_t maximumBodyBytes)
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
        Done done { bounded(answer, claims.settings.maximumBodyBytes) };
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
            // The attempt's claim may still be on its way: it must not be granted to an owner that gave up.
            rememberEnded(record, outcome.by);
            return RecordResult::Recorded;
        }
        if (record.by != outcome.by) {
            rememberEnded(record, outcome.by);
            return RecordResult::Stale;
        }
        // An orphan's owner may still prove that it never dispatched, but not after it said itself that it may have.
        if (record.state == RecordState::Done || record.reportedUnknown)
            return RecordResult::Stale;
        settle(claims, outcome.id, record, RecordState::Released);
        rememberEnded(record, outcome.by);
        return RecordResult::Recorded;
    }

    // A NotRun that came before its claim bars that claim.
    RecordResult barAttempt(Claims& claims, const Outcome& outcome)
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

    // An id that no attempt can have run may run yet; one before the horizon is refused by its own time.
    bool needsTombstone(const Claims& claims, const Common::RequestId& id, const Record& record)
    {
        return record.state != RecordState::Released && !isBeforeHorizon(claims, id);
    }

    bool isStillSettled(const Record& record, LogTime at)
    {
        return record.state != RecordState::Running && record.settledAt == at;
    }

    // Records that settled before the log had a time count from the first one.
    void setFirstTime(Claims& claims, LogTime now)
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

    // The entries of the earliest log time. Sorted, since a replica that came from a snapshot has them in another order
    // than one that saw them settle.
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

    struct Drops {
        size_t records { 0 };
        std::vector<uint64_t> tombstones;
    };

    // Drops the record unless it changed since. Returns false if it must stay because there is no room for a tombstone.
    bool drop(Claims& claims, const Claims::Settled& entry, Drops& drops)
    {
        auto it = claims.records.find(entry.id);
        if (it == claims.records.end() || !isStillSettled(it->second, entry.at))
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

    void addTombstones(Claims& claims, std::vector<uint64_t> fresh)
    {
        std::sort(fresh.begin(), fresh.end());
        auto middle = static_cast<std::ptrdiff_t>(claims.tombstones.size());
        claims.tombstones.insert(claims.tombstones.end(), fresh.begin(), fresh.end());
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
    // The seed keeps shards and tombstones apart, so that a shard's tombstones spread over all 64 bits.
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
        return answerHeld(claims, record, claim);
    if (isBeforeHorizon(claims, claim.id))
        return Refused { ClaimRefusal::Expired };
    return claimAnew(claims, record, claim);
}

RecordResult apply(Claims& claims, const Outcome& outcome)
{
    auto it = claims.records.find(outcome.id);
    if (it == claims.records.end()) {
        bool bars = std::holds_alternative<NotRun>(outcome.kind) && !isForgotten(claims, outcome.id);
        return bars ? barAttempt(claims, outcome) : RecordResult::Stale;
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
    // In the order of the ids, so that all replicas do the same.
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
        setFirstTime(claims, expire.now);
    claims.logTime = std::max(claims.logTime, expire.now);
    Drops drops;
    bool hasRoom = true;
    // Only whole log times and dropped records count, which are the same on all replicas.
    while (hasRoom && drops.records < maximumDropsOfExpire && !claims.settled.empty()
        && claims.settled.front().at < horizon(claims)) {
        std::vector<Claims::Settled> entries = takeEarliest(claims);
        auto stay = std::find_if(
            entries.begin(), entries.end(), [&](const Claims::Settled& entry) { return !drop(claims, entry, drops); });
        hasRoom = stay == entries.end();
        claims.settled.insert(claims.settled.begin(), stay, entries.end());
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
