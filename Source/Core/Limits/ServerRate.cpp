#include "Limits/ServerRate.h"

#include <algorithm>

namespace Limits {

using Common::Incarnation;
using Common::Milliseconds;
using Common::RequestRate;
using Common::TimePoint;

namespace {

    // Below the minimum a server would get no request whose answer could end the limit.
    constexpr RequestRate minimumRate { 0.2 };
    constexpr RequestRate maximumRate { 1'000'000 };
    constexpr double keeperShare = 0.9;
    // Of all instances that reach no keeper together.
    constexpr double aloneShare = 0.25;
    // The bucket holds what is given out in this time, for requests that come unevenly.
    constexpr Milliseconds burst { 250 };
    // Of a cold server: tokens that are given out over their lifetime, this and 1 s of nine tenths of the rate stay
    // within one and a half times the rate.
    constexpr Milliseconds coldBurst { 125 };
    constexpr Milliseconds tokenLifetime { 500 };
    constexpr Milliseconds keeperPause { 1'000 };
    constexpr Milliseconds shortestDenial { 20 };
    constexpr Milliseconds longestDenial { 5'000 };
    constexpr size_t maximumWanted { 8 };
    constexpr double millisecondsPerSecond = 1'000;

    RequestRate bounded(RequestRate rate) { return std::clamp(rate, minimumRate, maximumRate); }

    RequestRate ownRate(RequestRate named, RateRole role, size_t instances)
    {
        if (role == RateRole::Keeper)
            return named * keeperShare;
        return named * aloneShare / static_cast<double>(std::max<size_t>(instances, 1));
    }

    bool isColdAt(const ServerRate& server, TimePoint now) { return server.cold && now < server.cold->until; }

    // Tokens accrue from the answer that named the rate, or from the last request.
    double tokensAt(const ServerRate& server, RequestRate rate, TimePoint now)
    {
        const RateBucket& bucket = server.bucket;
        TimePoint since = bucket.filledAt == TimePoint() ? server.named.at : bucket.filledAt;
        Milliseconds window = isColdAt(server, now) ? coldBurst : burst;
        double depth = std::max(1.0, rate.value() * window.value() / millisecondsPerSecond);
        double added = rate.value() * (now - since).value() / millisecondsPerSecond;
        return std::min(depth, bucket.tokens + std::max(0.0, added));
    }

    size_t take(ServerRate& server, RequestRate rate, size_t wanted, TimePoint now)
    {
        double tokens = tokensAt(server, rate, now);
        auto taken = std::min(wanted, static_cast<size_t>(tokens));
        server.bucket = { tokens - static_cast<double>(taken), now };
        return taken;
    }

    Milliseconds untilToken(const ServerRate& server, RequestRate rate, TimePoint now)
    {
        double missing = 1 - tokensAt(server, rate, now);
        return Milliseconds(std::max(0.0, missing) * millisecondsPerSecond / rate.value());
    }

} // namespace

bool recordRate(NamedRate& named, Incarnation incarnation, const ServerNotice& notice, bool hasRun, TimePoint now)
{
    if (incarnation < named.incarnation)
        return false;
    auto before = rateOf(named, incarnation);
    if (incarnation > named.incarnation)
        named = { incarnation, std::nullopt, now };
    if (notice.limit)
        named.rate = bounded(*notice.limit);
    else if (hasRun && !notice.hasUnusableLimit)
        named.rate.reset();
    named.at = now;
    return named.rate != before;
}

void mergeRate(NamedRate& named, Incarnation incarnation, RequestRate rate, TimePoint at)
{
    bool isNewer = incarnation > named.incarnation || (incarnation == named.incarnation && at > named.at);
    if (isNewer)
        named = { incarnation, bounded(rate), at };
}

std::optional<RequestRate> rateOf(const NamedRate& named, Incarnation incarnation)
{
    return incarnation == named.incarnation ? named.rate : std::nullopt;
}

void setCold(ServerRate& rate, Incarnation incarnation, const std::optional<ColdRate>& cold, TimePoint now)
{
    if (incarnation < rate.coldIncarnation)
        return;
    bool wasCold = isCold(rate, incarnation, now);
    rate.coldIncarnation = incarnation;
    rate.cold = cold;
    if (wasCold || !isCold(rate, incarnation, now))
        return;
    rate.bucket = { 0, now };
    rate.granted = 0;
}

bool isCold(const ServerRate& rate, Incarnation incarnation, TimePoint now)
{
    return incarnation == rate.coldIncarnation && isColdAt(rate, now);
}

std::optional<RequestRate> rateInForce(const ServerRate& rate, Incarnation incarnation, TimePoint now)
{
    auto named = rateOf(rate.named, incarnation);
    if (!isCold(rate, incarnation, now))
        return named;
    RequestRate cold = bounded(rate.cold->rate);
    return named ? std::min(*named, cold) : cold;
}

RateRole roleOf(const ServerRate& rate, RateRole intended, TimePoint now)
{
    return intended == RateRole::Asker && now < rate.keeperSilentUntil ? RateRole::Alone : intended;
}

bool tryTakeToken(ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    auto inForce = rateInForce(rate, incarnation, now);
    if (!inForce)
        return true;
    if (role == RateRole::Alone && isCold(rate, incarnation, now))
        return false;
    if (role != RateRole::Asker)
        return take(rate, ownRate(*inForce, role, instances), 1, now) == 1;
    if (!rate.granted || now >= rate.grantedUntil)
        return false;
    --rate.granted;
    return true;
}

bool isWithinRate(const ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    return !rateReopensIn(rate, incarnation, role, instances, now);
}

std::optional<Milliseconds> rateReopensIn(
    const ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    auto inForce = rateInForce(rate, incarnation, now);
    if (!inForce)
        return std::nullopt;
    Milliseconds wait = rate.deniedUntil - now;
    if (role == RateRole::Alone && isCold(rate, incarnation, now)) {
        wait = rate.cold->until - now;
        if (now < rate.keeperSilentUntil)
            wait = std::min(wait, rate.keeperSilentUntil - now);
    } else if (role != RateRole::Asker)
        wait = untilToken(rate, ownRate(*inForce, role, instances), now);
    else if (rate.granted && now < rate.grantedUntil)
        return std::nullopt;
    return wait > Milliseconds(0) ? std::optional(wait) : std::nullopt;
}

std::optional<RateClaim> ask(
    ServerRate& rate, const Common::BackendServerId& server, Incarnation incarnation, size_t wanted, TimePoint now)
{
    auto inForce = rateInForce(rate, incarnation, now);
    bool hasToken = rate.granted && now < rate.grantedUntil;
    if (!inForce || rate.isAsking || hasToken || now < rate.deniedUntil)
        return std::nullopt;
    rate.isAsking = true;
    RequestRate named = rateOf(rate.named, incarnation).value_or(RequestRate(0));
    return RateClaim { server, incarnation, named, now - rate.named.at, std::clamp<size_t>(wanted, 1, maximumWanted) };
}

void answerAsk(ServerRate& rate, const std::optional<RateGrant>& answer, TimePoint now)
{
    rate.isAsking = false;
    if (!answer) {
        rate.keeperSilentUntil = now + keeperPause;
        return;
    }
    if (answer->tokens) {
        rate.granted = std::min(answer->tokens, maximumWanted);
        rate.grantedUntil = now + tokenLifetime;
        return;
    }
    rate.deniedUntil = now + std::clamp(answer->retryIn, shortestDenial, longestDenial);
}

RateGrant grant(ServerRate& rate, const RateClaim& claim, RateRole role, TimePoint now)
{
    bool isNamed = claim.rate > RequestRate(0);
    if (isNamed)
        mergeRate(rate.named, claim.incarnation, claim.rate, now - std::max(claim.age, Milliseconds(0)));
    auto inForce = rateInForce(rate, claim.incarnation, now);
    if (role != RateRole::Keeper || claim.incarnation < rate.named.incarnation || (!isNamed && !inForce))
        return { 0, shortestDenial };
    // The keeper may know that the limit has ended; the asker learns it from the answer to its next request.
    RequestRate own = ownRate(inForce.value_or(bounded(claim.rate)), role, 1);
    size_t tokens = take(rate, own, std::min(claim.wanted, maximumWanted), now);
    return { tokens, tokens ? Milliseconds(0) : untilToken(rate, own, now) };
}

} // namespace Limits
