#include "Suspects/Board.h"

#include <algorithm>
#include <array>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace Suspects {

using Common::ContentDigest;
using Common::GroupName;
using Common::Revision;
using Common::TimePoint;

namespace {

    constexpr size_t shardCount = 4;
    constexpr size_t maximumContents = 256; // In each shard.
    constexpr size_t maximumCompletions = 1'024; // In each shard.

    using CompletionKey = uint64_t;

    CompletionKey completionKey(const ContentDigest& content, const GroupName& group)
    {
        return content.low ^ std::hash<GroupName> {}(group);
    }

    struct Entry {
        Evidence evidence;
        Revision changedAt;
        bool wasSuspect { false };
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<ContentDigest, Entry> entries;
        std::unordered_set<Common::BackendServerId> struckServers; // With strikes that are not refuted.
        Revision revision;
        std::unordered_map<CompletionKey, TimePoint> completions; // The time at which the request was sent.
        std::deque<CompletionKey> completionOrder; // Oldest first.
    };

    size_t strikesOf(const Evidence& evidence)
    {
        size_t n = 0;
        for (auto& [name, group] : evidence.groups)
            n += group.strikes.size();
        return n;
    }

    void dropLeastImportant(Shard& shard)
    {
        if (shard.entries.size() <= maximumContents)
            return;
        auto it = std::min_element(shard.entries.begin(), shard.entries.end(), [](const auto& a, const auto& b) {
            return std::pair(strikesOf(a.second.evidence), a.second.evidence.changedAt)
                < std::pair(strikesOf(b.second.evidence), b.second.evidence.changedAt);
        });
        shard.entries.erase(it);
    }

    void listStruckServers(Shard& shard)
    {
        shard.struckServers.clear();
        for (auto& [content, entry] : shard.entries) {
            for (auto& [name, group] : entry.evidence.groups) {
                for (const Strike& strike : group.strikes) {
                    if (!strike.isRefuted)
                        shard.struckServers.insert(strike.server);
                }
            }
        }
    }

    void noteChange(Shard& shard, Entry& entry, const Rule& rule, TimePoint now)
    {
        shard.revision += Revision(1);
        entry.changedAt = shard.revision;
        entry.wasSuspect = entry.wasSuspect || judge(entry.evidence, rule, now).standing != Standing::Clear;
    }

    void rememberCompletion(Shard& shard, CompletionKey key, TimePoint sentAt)
    {
        auto [it, isNew] = shard.completions.try_emplace(key, sentAt);
        it->second = std::max(it->second, sentAt);
        if (!isNew)
            return;
        shard.completionOrder.push_back(key);
        if (shard.completionOrder.size() <= maximumCompletions)
            return;
        shard.completions.erase(shard.completionOrder.front());
        shard.completionOrder.pop_front();
    }

    // Whether this instance has had an answer to the content after the first of the strikes.
    bool hasCompletedSince(const Shard& shard, const ContentDigest& content, const GroupName& name,
        const std::map<GroupName, GroupEvidence>& groups)
    {
        auto group = groups.find(name);
        auto it = shard.completions.find(completionKey(content, name));
        return group != groups.end() && !group->second.strikes.empty() && it != shard.completions.end()
            && it->second > group->second.strikes.front().at;
    }

    Record recordOf(const ContentDigest& content, const GroupName& group, const GroupEvidence& evidence, TimePoint now)
    {
        Record record { content, group, evidence.round, {} };
        for (const Strike& strike : evidence.strikes)
            record.strikes.push_back(
                { strike.server, strike.incarnation, strike.run, now - strike.at, strike.isRefuted });
        return record;
    }

    GroupEvidence evidenceOf(const Record& record, TimePoint now)
    {
        GroupEvidence evidence { record.round, {} };
        for (const ReportedStrike& strike : record.strikes) {
            Common::Milliseconds age = std::max(strike.age, Common::Milliseconds(0));
            evidence.strikes.push_back(
                { strike.server, strike.incarnation, strike.run, now - age, strike.isRefuted, std::nullopt });
        }
        return evidence;
    }

    bool isWanted(const Entry& entry, Scope scope, Revision from)
    {
        return entry.changedAt > from && (scope == Scope::All || entry.wasSuspect);
    }

} // namespace

struct Board::Private {
    const Rule rule;
    std::array<Shard, shardCount> shards;
    std::function<void()> listener;

    Shard& shardOf(const ContentDigest& content) { return shards[content.high % shardCount]; }

    void notify() const
    {
        if (listener)
            listener();
    }
};

Board::Board(Rule rule)
    : m_private(new Private { rule, {}, {} })
{
}

Board::~Board() = default;

void Board::onChange(std::function<void()> fn) { m_private->listener = std::move(fn); }

Verdict Board::verdictOn(const ContentDigest& content, TimePoint now) const
{
    Shard& shard = m_private->shardOf(content);
    std::lock_guard lock(shard.mutex);
    auto it = shard.entries.find(content);
    return it == shard.entries.end() ? Verdict {} : judge(it->second.evidence, m_private->rule, now);
}

bool Board::addStrike(const ContentDigest& content, const GroupName& group, const Strike& strike)
{
    Shard& shard = m_private->shardOf(content);
    {
        std::lock_guard lock(shard.mutex);
        Entry& entry = shard.entries[content];
        if (!Suspects::addStrike(entry.evidence, group, strike, m_private->rule))
            return false;
        noteChange(shard, entry, m_private->rule, strike.at);
        dropLeastImportant(shard);
        listStruckServers(shard);
    }
    m_private->notify();
    return true;
}

bool Board::recordCompletion(const ContentDigest& content, const GroupName& group, TimePoint sentAt, TimePoint now)
{
    Shard& shard = m_private->shardOf(content);
    {
        std::lock_guard lock(shard.mutex);
        rememberCompletion(shard, completionKey(content, group), sentAt);
        auto it = shard.entries.find(content);
        if (it == shard.entries.end() || !Suspects::recordCompletion(it->second.evidence, group, now))
            return false;
        noteChange(shard, it->second, m_private->rule, now);
        listStruckServers(shard);
    }
    m_private->notify();
    return true;
}

void Board::recordHeartbeat(const Common::BackendServerId& server, Common::Incarnation incarnation, uint64_t sequence)
{
    bool isChanged = false;
    for (Shard& shard : m_private->shards) {
        std::lock_guard lock(shard.mutex);
        if (!shard.struckServers.count(server))
            continue;
        bool isShardChanged = false;
        for (auto& [content, entry] : shard.entries) {
            if (!Suspects::recordHeartbeat(entry.evidence, server, incarnation, sequence))
                continue;
            noteChange(shard, entry, m_private->rule, entry.evidence.changedAt);
            isShardChanged = true;
        }
        if (isShardChanged)
            listStruckServers(shard);
        isChanged = isChanged || isShardChanged;
    }
    if (isChanged)
        m_private->notify();
}

Changes Board::changesSince(const std::vector<Revision>& known, Scope scope, TimePoint now) const
{
    Changes changes;
    for (size_t i = 0; i < shardCount; ++i) {
        const Shard& shard = m_private->shards[i];
        std::lock_guard lock(shard.mutex);
        Revision from = known.size() == shardCount ? known[i] : Revision(0);
        changes.revisions.push_back(shard.revision);
        for (auto& [content, entry] : shard.entries) {
            if (!isWanted(entry, scope, from))
                continue;
            for (auto& [name, group] : entry.evidence.groups)
                changes.records.push_back(recordOf(content, name, group, now));
        }
    }
    return changes;
}

void Board::merge(const std::vector<Record>& records, TimePoint now)
{
    bool isRefutedHere = false;
    for (const Record& record : records) {
        Shard& shard = m_private->shardOf(record.content);
        std::lock_guard lock(shard.mutex);
        Entry& entry = shard.entries[record.content];
        Evidence& evidence = entry.evidence;
        bool isChanged = Suspects::merge(evidence, record.group, evidenceOf(record, now), m_private->rule, now);
        bool isRefuted = hasCompletedSince(shard, record.content, record.group, evidence.groups)
            && Suspects::recordCompletion(evidence, record.group, now);
        isRefutedHere = isRefutedHere || isRefuted;
        if (!isChanged && !isRefuted)
            continue;
        noteChange(shard, entry, m_private->rule, now);
        dropLeastImportant(shard);
        listStruckServers(shard);
    }
    if (isRefutedHere)
        m_private->notify();
}

void Board::expire(TimePoint now)
{
    for (Shard& shard : m_private->shards) {
        std::lock_guard lock(shard.mutex);
        if (std::erase_if(
                shard.entries, [&](const auto& pair) { return isExpired(pair.second.evidence, m_private->rule, now); }))
            listStruckServers(shard);
    }
}

size_t Board::size() const
{
    size_t n = 0;
    for (const Shard& shard : m_private->shards) {
        std::lock_guard lock(shard.mutex);
        n += shard.entries.size();
    }
    return n;
}

} // namespace Suspects
