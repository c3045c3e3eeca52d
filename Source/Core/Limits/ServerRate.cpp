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
    constexpr double millisecondsPerSecond = 1'000;
    // Two keepers stay within one and a half times the rate. The instances without one send a quarter of it together.
    constexpr SharedRateRule rule { 0.9, 0.25, 0, Milliseconds(0), 8, Milliseconds(500) };
    constexpr Milliseconds notTheKeeper { 20 };

    RequestRate bounded(RequestRate rate) { return std::clamp(rate, minimumRate, maximumRate); }

    // What this instance may give out or use itself.
    RateLimit limitOf(RequestRate named, RateRole role, size_t instances)
    {
        double share = role == RateRole::Keeper ? rule.keeperShare
                                                : rule.aloneShare / static_cast<double>(std::max<size_t>(instances, 1));
        RequestRate own = named * share;
        return { own, own.value() * burst.value() / millisecondsPerSecond };
    }

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

RateRole roleOf(const ServerRate& rate, RateRole intended, TimePoint now)
{
    return intended == RateRole::Asker && now < rate.shared.keeperSilentUntil ? RateRole::Alone : intended;
}

bool tryTakeToken(ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    auto named = rateOf(rate.named, incarnation);
    if (!named)
        return true;
    if (role == RateRole::Asker)
        return takeGrantedToken(rate.shared, now);
    rate.shared.bucket = bucketOf(rate);
    return takeTokens(rate.shared.bucket, limitOf(*named, role, instances), 1, now) == 1;
}

bool isWithinRate(const ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    return !rateReopensIn(rate, incarnation, role, instances, now);
}

std::optional<Milliseconds> rateReopensIn(
    const ServerRate& rate, Incarnation incarnation, RateRole role, size_t instances, TimePoint now)
{
    auto named = rateOf(rate.named, incarnation);
    if (!named)
        return std::nullopt;
    Milliseconds wait = rate.shared.deniedUntil - now;
    if (role != RateRole::Asker)
        wait = untilToken(bucketOf(rate), limitOf(*named, role, instances), now);
    else if (hasGrantedToken(rate.shared, now))
        return std::nullopt;
    return wait > Milliseconds(0) ? std::optional(wait) : std::nullopt;
}

std::optional<RateClaim> ask(
    ServerRate& rate, const Common::BackendServerId& server, Incarnation incarnation, size_t wanted, TimePoint now)
{
    auto named = rateOf(rate.named, incarnation);
    auto tokens = named ? ask(rate.shared, rule, wanted, now) : std::nullopt;
    if (!tokens)
        return std::nullopt;
    return RateClaim { server, incarnation, *named, now - rate.named.at, *tokens };
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
    mergeRate(rate.named, claim.incarnation, claim.rate, now - std::max(claim.age, Milliseconds(0)));
    auto named = rateOf(rate.named, claim.incarnation);
    if (role != RateRole::Keeper || claim.incarnation < rate.named.incarnation)
        return { 0, notTheKeeper, notTheKeeper };
    // The keeper may know that the limit has ended; the asker learns it from the answer to its next request.
    RateLimit limit = limitOf(named.value_or(bounded(claim.rate)), role, 1);
    rate.shared.bucket = bucketOf(rate);
    return grant(rate.shared, rule, limit, role, claim.wanted, now);
}

} // namespace Limits
