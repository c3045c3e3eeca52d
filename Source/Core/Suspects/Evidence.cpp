#include "Suspects/Evidence.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace Suspects {

using Common::GroupName;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    bool isSameServer(const Strike& a, const Strike& b)
    {
        return a.server == b.server && a.incarnation == b.incarnation;
    }

    auto orderOf(const Strike& strike)
    {
        return std::tie(strike.at, strike.server, strike.incarnation, strike.variant);
    }

    bool isOpen(const Strike& strike, const Rule& rule, TimePoint now)
    {
        return !strike.isRefuted && !strike.isAnswered && now - strike.at < rule.quarantineFor + rule.suspectFor;
    }

    bool isSeparate(const Strike& strike, const Strike& earlier, const Rule& rule)
    {
        return strike.sentAt >= earlier.at || strike.at - earlier.at >= rule.simultaneousWithin
            || strike.domain != earlier.domain;
    }

    // Of a run, the open strikes with the lowest server ids are kept, so that all instances keep the same. The others
    // don't take their place: those servers may be alive, and the ones left out lost.
    bool makeRoomInRun(Evidence& evidence, const Strike& strike, const Rule& rule)
    {
        auto isOfRun = [&](const Strike& known) {
            return known.run == strike.run && known.variant == strike.variant && !known.isRefuted && !known.isAnswered;
        };
        auto n = std::count_if(evidence.strikes.begin(), evidence.strikes.end(), isOfRun);
        if (static_cast<size_t>(n) < rule.maximumStrikesOfRun)
            return true;
        auto last = evidence.strikes.end();
        for (auto it = evidence.strikes.begin(); it != evidence.strikes.end(); ++it) {
            if (isOfRun(*it) && (last == evidence.strikes.end() || last->server < it->server))
                last = it;
        }
        if (last->server < strike.server)
            return false;
        evidence.strikes.erase(last);
        return true;
    }

    // Strikes that no longer count make room first.
    bool makeRoom(Evidence& evidence, const Strike& strike, const Rule& rule)
    {
        if (evidence.strikes.size() < rule.maximumStrikes)
            return true;
        auto it = std::find_if(evidence.strikes.begin(), evidence.strikes.end(),
            [](const Strike& known) { return known.isRefuted || known.isAnswered; });
        if (it == evidence.strikes.end()) {
            it = evidence.strikes.begin();
            if (strike.at <= it->at)
                return false;
        }
        evidence.strikes.erase(it);
        return true;
    }

    size_t maximumLossesOfVariant(Breadth breadth, const Rule& rule)
    {
        switch (breadth) {
        case Breadth::Content:
            return rule.maximumLossesOfAddress;
        case Breadth::Pattern:
            return rule.maximumLossesOfQuery;
        case Breadth::Request:
            break;
        }
        return rule.maximumStrikes;
    }

    // The open strikes that count as losses of their own, oldest first.
    std::vector<const Strike*> separateLosses(const Evidence& evidence, const Rule& rule, TimePoint now)
    {
        std::vector<const Strike*> losses;
        auto count = [&](auto predicate) { return std::count_if(losses.begin(), losses.end(), predicate); };
        for (const Strike& strike : evidence.strikes) {
            if (!isOpen(strike, rule, now))
                continue;
            bool isKnown = count([&](const Strike* known) { return known->run == strike.run; })
                || count([&](const Strike* known) { return isSameServer(*known, strike); });
            auto ofVariant = count([&](const Strike* known) { return known->variant == strike.variant; });
            bool isAccountedFor = static_cast<size_t>(ofVariant) >= maximumLossesOfVariant(evidence.breadth, rule);
            auto overlapping = count([&](const Strike* known) { return !isSeparate(strike, *known, rule); });
            if (!isKnown && !isAccountedFor && !overlapping)
                losses.push_back(&strike);
        }
        return losses;
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

RunId runOf(const Common::RequestId& request, uint64_t purpose)
{
    return RunId(Common::hash64(request.value(), purpose));
}

VariantId variantOf(const Keys& keys) { return VariantId(keys.request.low); }

bool addStrike(Evidence& evidence, const Strike& strike, const Rule& rule)
{
    auto& strikes = evidence.strikes;
    // An incarnation can be lost once: one that breaks connections and lives on is no evidence of its own.
    auto it = std::find_if(strikes.begin(), strikes.end(),
        [&](const Strike& known) { return isSameServer(known, strike) && known.variant == strike.variant; });
    if (it != strikes.end()) {
        bool isNews = (strike.isRefuted && !it->isRefuted) || (strike.isAnswered && !it->isAnswered)
            || (strike.wasAnswered && !it->wasAnswered);
        it->isRefuted = it->isRefuted || strike.isRefuted;
        it->wasAnswered = it->wasAnswered || strike.wasAnswered;
        it->isAnswered = it->isAnswered || strike.isAnswered;
        it->isAnsweredByOther = it->isAnsweredByOther || strike.isAnsweredByOther;
        if (!isNews)
            return false;
    } else {
        if (!makeRoomInRun(evidence, strike, rule) || !makeRoom(evidence, strike, rule))
            return false;
        auto later = std::find_if(
            strikes.begin(), strikes.end(), [&](const Strike& known) { return orderOf(known) > orderOf(strike); });
        it = strikes.insert(later, strike);
        it->addedAt = evidence.revision;
    }
    it->changedAt = evidence.revision;
    evidence.changedAt = std::max(evidence.changedAt, strike.at);
    return true;
}

bool recordAnswer(Evidence& evidence, const GroupName& group, VariantId variant, TimePoint sentAt, TimePoint now)
{
    Strike* answered = nullptr;
    for (Strike& strike : evidence.strikes) {
        if (strike.group != group || strike.isRefuted || strike.isAnswered || strike.at > sentAt)
            continue;
        if (!answered || (strike.variant == variant && answered->variant != variant))
            answered = &strike;
    }
    if (!answered)
        return false;
    answered->isAnswered = true;
    answered->isAnsweredByOther = answered->variant != variant;
    answered->changedAt = evidence.revision;
    evidence.changedAt = now;
    return true;
}

bool recordHeartbeat(
    Evidence& evidence, const Common::BackendServerId& server, Common::Incarnation incarnation, uint64_t sequence)
{
    bool isChanged = false;
    for (Strike& strike : evidence.strikes) {
        if (strike.isRefuted || strike.server != server || strike.incarnation != incarnation)
            continue;
        if (!strike.heardSequence)
            strike.heardSequence = sequence;
        else if (sequence > *strike.heardSequence) {
            isChanged = strike.isRefuted = true;
            strike.changedAt = evidence.revision;
        }
    }
    return isChanged;
}

size_t countLosses(const Evidence& evidence, const Rule& rule, TimePoint now)
{
    return separateLosses(evidence, rule, now).size();
}

Verdict judge(const Evidence& evidence, const Rule& rule, TimePoint now)
{
    Verdict verdict;
    verdict.breadth = evidence.breadth;
    size_t losses = countLosses(evidence, rule, now);
    bool hasAnswered = std::any_of(evidence.strikes.begin(), evidence.strikes.end(),
        [](const Strike& strike) { return strike.isAnswered || strike.wasAnswered; });
    size_t factor = hasAnswered ? rule.answeredFactor : 1;
    if (losses < rule.suspectAfterLosses * factor)
        return verdict;
    std::set<GroupName> groups;
    TimePoint newest;
    for (const Strike& strike : evidence.strikes) {
        if (!isOpen(strike, rule, now))
            continue;
        groups.insert(strike.group);
        newest = std::max(newest, strike.at);
    }
    verdict.standing = Standing::Suspect;
    if (groups.size() == 1)
        verdict.group = *groups.begin();
    size_t allowed = rule.quarantineAfterLosses * factor;
    if (losses < allowed)
        return verdict;
    Milliseconds length = rule.quarantineFor;
    if (hasAnswered) {
        double growth = std::pow(rule.quarantineGrowth, static_cast<double>(losses - allowed));
        length = std::min(length, rule.quarantineAnsweredFor * growth);
    }
    Milliseconds remaining = newest + length - now;
    if (remaining > Milliseconds(0)) {
        verdict.standing = Standing::Quarantined;
        verdict.remaining = remaining;
    }
    return verdict;
}

bool isExpired(const Evidence& evidence, const Rule& rule, TimePoint now)
{
    return now - evidence.changedAt >= rule.quarantineFor + rule.suspectFor;
}

bool maySend(const Verdicts& verdicts, const GroupName& group, bool isFirstSend)
{
    return std::all_of(verdicts.begin(), verdicts.end(), [&](const Verdict& verdict) {
        if (verdict.standing == Standing::Clear || (verdict.group && *verdict.group != group))
            return true;
        return verdict.standing == Standing::Suspect && isFirstSend;
    });
}

Standing worstStanding(const Verdicts& verdicts)
{
    Standing worst = Standing::Clear;
    for (const Verdict& verdict : verdicts)
        worst = std::max(worst, verdict.standing);
    return worst;
}

Standing standingInAllGroups(const Verdicts& verdicts)
{
    Standing worst = Standing::Clear;
    for (const Verdict& verdict : verdicts)
        worst = verdict.group ? worst : std::max(worst, verdict.standing);
    return worst;
}

Milliseconds remainingOf(const Verdicts& verdicts)
{
    Milliseconds remaining;
    for (const Verdict& verdict : verdicts)
        remaining = std::max(remaining, verdict.remaining);
    return remaining;
}

} // namespace Suspects
