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
    // The bucket holds what is given out in this time, for requests that come unevenly.
    constexpr Milliseconds burst { 250 };
    // Of a cold server: tokens that are given out over their lifetime, this and 1 s of nine tenths of the rate stay
    // within one and a half times the rate.
    constexpr Milliseconds coldBurst { 125 };
    constexpr double millisecondsPerSecond = 1'000;
    // Two keepers stay within one and a half times the rate. The instances without one send a quarter of it together.
    constexpr SharedRateRule rule { 0.9, 0.25, 0, Milliseconds(0), 8, Milliseconds(500) };
    constexpr Milliseconds notTheKeeper { 20 };

    RequestRate bounded(RequestRate rate) { return std::clamp(rate, minimumRate, maximumRate); }

    // What this instance may give out or use itself.
    RateLimit limitOf(RequestRate inForce, RateRole role, size_t instances, Milliseconds window)
    {
        double share = role == RateRole::Keeper ? rule.keeperShare
                                                : rule.aloneShare / static_cast<double>(std::max<size_t>(instances, 1));
        RequestRate own = inForce * share;
        return { own, own.value() * window.value() / millisecondsPerSecond };
    }

    bool isColdAt(const ServerRate& server, TimePoint now) { return server.cold && now < server.cold->until; }

    Milliseconds burstOf(const ServerRate& server, TimePoint now) { return isColdAt(server, now) ? coldBurst : burst; }

    // Tokens accrue from the answer that named the rate, or from the last request.
    RateBucket bucketOf(const ServerRate& server)
    {
        const RateBucket& bucket = server.shared.bucket;
        return bucket.filledAt == TimePoint() ? RateBucket { bucket.tokens, server.named.at } : bucket;
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
    rate.shared.bucket = { 0, now };
    rate.shared.granted = 0;
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
    return intended == RateRole::Asker && now < rate.shared.keeperSilentUntil ? RateRole::Alone : intended;
}

bool tryTakeToken(ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    auto inForce = rateInForce(rate, incarnation, now);
    if (!inForce)
        return true;
    bool mayUseRate = role == RateRole::Keeper || role == RateRole::Asker;
    if (!mayUseRate && isCold(rate, incarnation, now))
        return false;
    if (role == RateRole::Asker)
        return takeGrantedToken(rate.shared, now);
    rate.shared.bucket = bucketOf(rate);
    return takeTokens(rate.shared.bucket, limitOf(*inForce, role, instances, burstOf(rate, now)), 1, now) == 1;
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
    Milliseconds wait = rate.shared.deniedUntil - now;
    if (role == RateRole::Alone && isCold(rate, incarnation, now)) {
        wait = rate.cold->until - now;
        if (now < rate.shared.keeperSilentUntil)
            wait = std::min(wait, rate.shared.keeperSilentUntil - now);
    } else if (role != RateRole::Asker)
        wait = untilToken(bucketOf(rate), limitOf(*inForce, role, instances, burstOf(rate, now)), now);
    else if (hasGrantedToken(rate.shared, now))
        return std::nullopt;
    return wait > Milliseconds(0) ? std::optional(wait) : std::nullopt;
}

std::optional<RateClaim> ask(
    ServerRate& rate, const Common::BackendServerId& server, Incarnation incarnation, size_t wanted, TimePoint now)
{
    auto inForce = rateInForce(rate, incarnation, now);
    auto tokens = inForce ? ask(rate.shared, rule, wanted, now) : std::nullopt;
    if (!tokens)
        return std::nullopt;
    RequestRate named = rateOf(rate.named, incarnation).value_or(RequestRate(0));
    return RateClaim { server, incarnation, named, now - rate.named.at, *tokens };
}

// The incarnation in a grant is of no use here: two keepers at once are within the limit.
void answerAsk(ServerRate& rate, const std::optional<RateGrant>& answer, TimePoint now)
{
    auto fromKeeper = answer;
    if (fromKeeper) {
        fromKeeper->isKeeper = true;
        fromKeeper->incarnation = {};
    }
    answerAsk(rate.shared, rule, {}, fromKeeper, now);
}

RateGrant grant(ServerRate& rate, const RateClaim& claim, RateRole role, TimePoint now)
{
    bool isNamed = claim.rate > RequestRate(0);
    if (isNamed)
        mergeRate(rate.named, claim.incarnation, claim.rate, now - std::max(claim.age, Milliseconds(0)));
    auto inForce = rateInForce(rate, claim.incarnation, now);
    if (role != RateRole::Keeper || claim.incarnation < rate.named.incarnation || (!isNamed && !inForce))
        return { 0, notTheKeeper, notTheKeeper };
    // The keeper may know that the limit has ended; the asker learns it from the answer to its next request.
    RateLimit limit = limitOf(inForce.value_or(bounded(claim.rate)), role, 1, burstOf(rate, now));
    rate.shared.bucket = bucketOf(rate);
    return grant(rate.shared, rule, limit, role, claim.wanted, now);
}

} // namespace Limits
