#include "Suspects/Evidence.h"

#include "Common/Hash.h"

#include <algorithm>
#include <set>

namespace Suspects {

using Common::GroupName;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // An incarnation can be lost once: one that breaks connections and lives on is no evidence of its own.
    bool isSameLoss(const Strike& a, const Strike& b) { return a.server == b.server && a.incarnation == b.incarnation; }

    bool mergeStrike(GroupEvidence& evidence, const Strike& strike, const Rule& rule)
    {
        auto it = std::find_if(evidence.strikes.begin(), evidence.strikes.end(),
            [&](const Strike& known) { return isSameLoss(known, strike); });
        if (it != evidence.strikes.end()) {
            bool isNews = strike.isRefuted && !it->isRefuted;
            it->isRefuted = it->isRefuted || strike.isRefuted;
            return isNews;
        }
        bool isFull = evidence.strikes.size() >= rule.maximumStrikes;
        if (isFull && strike.at <= evidence.strikes.front().at)
            return false;
        auto later = std::find_if(evidence.strikes.begin(), evidence.strikes.end(),
            [&](const Strike& known) { return known.at > strike.at; });
        evidence.strikes.insert(later, strike);
        if (isFull)
            evidence.strikes.erase(evidence.strikes.begin());
        return true;
    }

    GroupEvidence* groupOf(Evidence& evidence, const GroupName& group, const Rule& rule)
    {
        auto it = evidence.groups.find(group);
        if (it != evidence.groups.end())
            return &it->second;
        return evidence.groups.size() < rule.maximumGroups ? &evidence.groups[group] : nullptr;
    }

} // namespace

const char* standingName(Standing standing)
{
    switch (standing) {
    case Standing::Clear:
        return "clear";
    case Standing::Suspect:
        return "suspect";
    case Standing::Quarantined:
        return "quarantined";
    }
    return "";
}

RunId runOf(const Common::RequestId& request, bool isRetry)
{
    return RunId(Common::hash64(request.value(), isRetry ? 1 : 0));
}

bool addStrike(Evidence& evidence, const GroupName& group, const Strike& strike, const Rule& rule)
{
    GroupEvidence* known = groupOf(evidence, group, rule);
    if (!known || !mergeStrike(*known, strike, rule))
        return false;
    evidence.changedAt = std::max(evidence.changedAt, strike.at);
    return true;
}

bool recordCompletion(Evidence& evidence, const GroupName& group, TimePoint now)
{
    auto it = evidence.groups.find(group);
    if (it == evidence.groups.end() || it->second.strikes.empty())
        return false;
    ++it->second.round;
    it->second.strikes.clear();
    evidence.changedAt = now;
    return true;
}

bool recordHeartbeat(
    Evidence& evidence, const Common::BackendServerId& server, Common::Incarnation incarnation, uint64_t sequence)
{
    bool isChanged = false;
    for (auto& [name, group] : evidence.groups) {
        for (Strike& strike : group.strikes) {
            if (strike.isRefuted || strike.server != server || strike.incarnation != incarnation)
                continue;
            if (!strike.heardSequence)
                strike.heardSequence = sequence;
            else if (sequence > *strike.heardSequence)
                isChanged = strike.isRefuted = true;
        }
    }
    return isChanged;
}

bool merge(Evidence& evidence, const GroupName& name, const GroupEvidence& other, const Rule& rule, TimePoint now)
{
    GroupEvidence* known = groupOf(evidence, name, rule);
    if (!known || other.round < known->round)
        return false;
    bool isChanged = other.round > known->round;
    if (isChanged)
        *known = { other.round, {} };
    for (const Strike& strike : other.strikes)
        isChanged = mergeStrike(*known, strike, rule) || isChanged;
    if (isChanged)
        evidence.changedAt = now;
    return isChanged;
}

Verdict judge(const Evidence& evidence, const Rule& rule, TimePoint now)
{
    std::set<RunId> runs;
    std::set<GroupName> groups;
    TimePoint newest;
    bool hasCompleted = false;
    for (auto& [name, group] : evidence.groups) {
        for (const Strike& strike : group.strikes) {
            if (strike.isRefuted || now - strike.at >= rule.quarantineFor + rule.suspectFor)
                continue;
            runs.insert(strike.run);
            groups.insert(name);
            hasCompleted = hasCompleted || group.round > 0;
            newest = std::max(newest, strike.at);
        }
    }
    Verdict verdict;
    if (runs.size() < rule.suspectAfterRuns)
        return verdict;
    verdict.standing = Standing::Suspect;
    if (groups.size() == 1)
        verdict.group = *groups.begin();
    Milliseconds length = hasCompleted ? rule.quarantineCompletedFor : rule.quarantineFor;
    Milliseconds remaining = newest + length - now;
    if (runs.size() >= rule.quarantineAfterRuns && remaining > Milliseconds(0)) {
        verdict.standing = Standing::Quarantined;
        verdict.remaining = remaining;
    }
    return verdict;
}

bool isExpired(const Evidence& evidence, const Rule& rule, TimePoint now)
{
    return now - evidence.changedAt >= rule.quarantineFor + rule.suspectFor;
}

bool maySend(const Verdict& verdict, const GroupName& group, bool isFirstSend)
{
    if (verdict.standing == Standing::Clear || (verdict.group && *verdict.group != group))
        return true;
    return verdict.standing == Standing::Suspect && isFirstSend;
}

} // namespace Suspects
