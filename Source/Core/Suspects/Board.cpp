#include "Suspects/Board.h"

#include "Common/Hash.h"

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
    constexpr size_t maximumKeys = 768; // In each shard.
    constexpr size_t maximumAnswers = 3'072; // In each shard.

    using AnswerKey = uint64_t;

    AnswerKey answerKey(const ContentDigest& key, const GroupName& group)
    {
        return Common::hash64(group.value(), key.low);
    }

    struct Entry {
        Evidence evidence;
        Keys keys;
        Revision suspectSince; // When it became a suspect that the relays are told of; 0 if it never did.
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<ContentDigest, Entry> entries;
        std::unordered_set<Common::BackendServerId> struckServers; // All with strikes that are not refuted.
        Revision revision;
        std::unordered_map<AnswerKey, TimePoint> answers; // The time at which the request was sent.
        std::deque<AnswerKey> answerOrder; // Oldest first.
    };

    void dropLeastImportant(Shard& shard)
    {
        if (shard.entries.size() <= maximumKeys)
            return;
        auto it = std::min_element(shard.entries.begin(), shard.entries.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.evidence.strikes.size(), a.second.evidence.changedAt)
                < std::pair(b.second.evidence.strikes.size(), b.second.evidence.changedAt);
        });
        shard.entries.erase(it);
    }

    void listStruckServers(Shard& shard)
    {
        shard.struckServers.clear();
        for (auto& [key, entry] : shard.entries) {
            for (const Strike& strike : entry.evidence.strikes) {
                if (!strike.isRefuted)
                    shard.struckServers.insert(strike.server);
            }
        }
    }

    // Gives the strikes that change next the next revision. Call before a change, and noteChange() after it.
    void prepareChange(const Shard& shard, Entry& entry) { entry.evidence.revision = shard.revision + Revision(1); }

    // Nobody needs to be told of a wide key with one variant: the request key of that variant is a suspect too, and a
    // reader derives the wide one from it.
    bool isSuspectToReport(const Evidence& evidence, const Rule& rule, TimePoint now)
    {
        if (judge(evidence, rule, now).standing == Standing::Clear)
            return false;
        return evidence.breadth == Breadth::Request
            || std::any_of(evidence.strikes.begin(), evidence.strikes.end(),
                [&](const Strike& strike) { return strike.variant != evidence.strikes.front().variant; });
    }

    void noteChange(Shard& shard, Entry& entry, const Rule& rule, TimePoint now)
    {
        shard.revision += Revision(1);
        if (entry.suspectSince == Revision(0) && isSuspectToReport(entry.evidence, rule, now))
            entry.suspectSince = shard.revision;
    }

    void rememberAnswer(Shard& shard, AnswerKey key, TimePoint sentAt)
    {
        auto [it, isNew] = shard.answers.try_emplace(key, sentAt);
        it->second = std::max(it->second, sentAt);
        if (!isNew)
            return;
        shard.answerOrder.push_back(key);
        if (shard.answerOrder.size() <= maximumAnswers)
            return;
        shard.answers.erase(shard.answerOrder.front());
        shard.answerOrder.pop_front();
    }

    ReportedStrike reportOf(const Strike& strike, TimePoint now)
    {
        return { strike.server, strike.incarnation, strike.group, strike.domain, strike.run, strike.variant,
            now - strike.at, strike.at - strike.sentAt, strike.isRefuted, strike.wasAnswered, strike.isAnswered };
    }

    Strike strikeOf(const ReportedStrike& report, TimePoint now)
    {
        TimePoint at = now - std::max(report.age, Common::Milliseconds(0));
        return { report.server, report.incarnation, report.group, report.domain, report.run, report.variant,
            at - std::max(report.took, Common::Milliseconds(0)), at, report.isRefuted, report.wasAnswered,
            report.isAnswered, std::nullopt };
    }

    bool isWanted(const Entry& entry, const Strike& strike, Scope scope, Revision from)
    {
        bool isToldByOthers = strike.reporter == Reporter::Control && from > Revision(0);
        // Such a reader has missed the strikes before the key became one of a suspect.
        if (scope == Scope::Suspected || isToldByOthers)
            return entry.suspectSince > Revision(0) && std::max(strike.changedAt, entry.suspectSince) > from;
        if (entry.evidence.breadth != Breadth::Request)
            return strike.changedAt > from && strike.isAnsweredByOther; // The others are derived from request keys.
        bool isSettled = strike.isAnswered || strike.isRefuted;
        bool isUnknownToOthers = strike.reporter == Reporter::Itself && strike.addedAt > from;
        return strike.changedAt > from && !(isSettled && isUnknownToOthers);
    }

    enum class AddResult {
        Known,
        News,
        NewsAndAnswered, // Against which an answer stands that was given here before.
    };

    Keys onlyKey(Breadth breadth, const ContentDigest& key)
    {
        Keys keys;
        (breadth == Breadth::Content ? keys.content : keys.pattern) = key;
        return keys;
    }

} // namespace

struct Board::Private {
    const Rule rule;
    std::array<Shard, shardCount> shards;
    std::function<void()> listener;

    Shard& shardOf(const ContentDigest& key) { return shards[key.high % shardCount]; }

    void notify() const
    {
        if (listener)
            listener();
    }

    Verdict verdictOn(const ContentDigest&, TimePoint now);
    AddResult addStrike(Breadth, const Keys&, Strike, TimePoint now);
    bool recordAnswer(const ContentDigest&, const GroupName&, VariantId, TimePoint sentAt, TimePoint now);
    bool recordHeartbeat(Shard&, const Common::BackendServerId&, Common::Incarnation, uint64_t sequence);
};

Verdict Board::Private::verdictOn(const ContentDigest& key, TimePoint now)
{
    Shard& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto it = shard.entries.find(key);
    return it == shard.entries.end() ? Verdict {} : judge(it->second.evidence, rule, now);
}

AddResult Board::Private::addStrike(Breadth breadth, const Keys& keys, Strike strike, TimePoint now)
{
    const ContentDigest& key = keyOf(keys, breadth);
    Shard& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto [it, isNewKey] = shard.entries.try_emplace(key);
    Entry& entry = it->second;
    if (isNewKey) {
        entry.evidence.breadth = breadth;
        entry.keys = breadth == Breadth::Request ? keys : onlyKey(breadth, key);
    }
    prepareChange(shard, entry);
    auto answer = shard.answers.find(answerKey(key, strike.group));
    if (answer != shard.answers.end() && answer->second <= strike.at)
        strike.wasAnswered = strike.wasAnswered || strike.at - answer->second <= rule.answeredWithin;
    if (!Suspects::addStrike(entry.evidence, strike, rule))
        return AddResult::Known;
    bool isAnswered = answer != shard.answers.end()
        && Suspects::recordAnswer(entry.evidence, strike.group, strike.variant, answer->second, now);
    if (isAnswered)
        answer->second = TimePoint(); // It stands against one strike.
    noteChange(shard, entry, rule, now);
    dropLeastImportant(shard);
    shard.struckServers.insert(strike.server);
    return isAnswered ? AddResult::NewsAndAnswered : AddResult::News;
}

// Returns whether a strike has changed.
bool Board::Private::recordAnswer(
    const ContentDigest& key, const GroupName& group, VariantId variant, TimePoint sentAt, TimePoint now)
{
    Shard& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto it = shard.entries.find(key);
    bool isChanged = false;
    if (it != shard.entries.end()) {
        prepareChange(shard, it->second);
        isChanged = Suspects::recordAnswer(it->second.evidence, group, variant, sentAt, now);
    }
    if (isChanged)
        noteChange(shard, it->second, rule, now);
    else
        rememberAnswer(shard, answerKey(key, group), sentAt);
    return isChanged;
}

// Called with the shard's mutex held. Returns whether a strike has changed.
bool Board::Private::recordHeartbeat(
    Shard& shard, const Common::BackendServerId& server, Common::Incarnation incarnation, uint64_t sequence)
{
    if (!shard.struckServers.count(server))
        return false;
    bool isChanged = false;
    for (auto& [key, entry] : shard.entries) {
        prepareChange(shard, entry);
        if (!Suspects::recordHeartbeat(entry.evidence, server, incarnation, sequence))
            continue;
        noteChange(shard, entry, rule, entry.evidence.changedAt);
        isChanged = true;
    }
    if (isChanged)
        listStruckServers(shard);
    return isChanged;
}

Board::Board(Rule rule)
    : m_private(new Private { rule, {}, {} })
{
}

Board::~Board() = default;

void Board::onChange(std::function<void()> fn) { m_private->listener = std::move(fn); }

Verdicts Board::verdictsOn(const Keys& keys, TimePoint now) const
{
    Verdicts verdicts;
    for (Breadth breadth : allBreadths) {
        Verdict verdict = m_private->verdictOn(keyOf(keys, breadth), now);
        if (verdict.standing != Standing::Clear)
            verdicts.push_back(std::move(verdict));
    }
    return verdicts;
}

StandingChange Board::addStrike(const Keys& keys, Strike strike)
{
    strike.variant = variantOf(keys);
    StandingChange change { worstStanding(verdictsOn(keys, strike.at)), {} };
    bool isNews = false;
    for (Breadth breadth : allBreadths)
        isNews = m_private->addStrike(breadth, keys, strike, strike.at) != AddResult::Known || isNews;
    change.after = verdictsOn(keys, strike.at);
    if (isNews)
        m_private->notify();
    return change;
}

bool Board::recordAnswer(const Keys& keys, const GroupName& group, TimePoint sentAt, TimePoint now)
{
    bool isChanged = false;
    for (Breadth breadth : allBreadths)
        isChanged = m_private->recordAnswer(keyOf(keys, breadth), group, variantOf(keys), sentAt, now) || isChanged;
    if (isChanged)
        m_private->notify();
    return isChanged;
}

void Board::recordHeartbeat(const Common::BackendServerId& server, Common::Incarnation incarnation, uint64_t sequence)
{
    bool isChanged = false;
    for (Shard& shard : m_private->shards) {
        std::lock_guard lock(shard.mutex);
        isChanged = m_private->recordHeartbeat(shard, server, incarnation, sequence) || isChanged;
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
        for (auto& [key, entry] : shard.entries) {
            Record record { entry.evidence.breadth, entry.keys, {} };
            for (const Strike& strike : entry.evidence.strikes) {
                if (isWanted(entry, strike, scope, from))
                    record.strikes.push_back(reportOf(strike, now));
            }
            if (!record.strikes.empty())
                changes.records.push_back(std::move(record));
        }
    }
    return changes;
}

void Board::merge(const std::vector<Record>& records, Reporter reporter, TimePoint now)
{
    bool isAnsweredHere = false;
    for (const Record& record : records) {
        for (const ReportedStrike& report : record.strikes) {
            Strike strike = strikeOf(report, now);
            strike.reporter = reporter;
            strike.isAnsweredByOther = strike.isAnswered && record.breadth != Breadth::Request;
            for (Breadth breadth : allBreadths) {
                if (record.breadth != Breadth::Request && record.breadth != breadth)
                    continue;
                auto merged = m_private->addStrike(breadth, record.keys, strike, now);
                isAnsweredHere = isAnsweredHere || merged == AddResult::NewsAndAnswered;
            }
        }
    }
    if (isAnsweredHere)
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
