#include "Limits/SharedRate.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr Milliseconds keeperPause { 1'000 };
    constexpr Milliseconds shortestDenial { 20 };
    constexpr Milliseconds longestDenial { 5'000 };
    constexpr double millisecondsPerSecond = 1'000;

    double depthOf(const RateLimit& limit) { return std::max(1.0, limit.depth); }

    void forgetReserve(SharedRate& rate, const SharedRateRule& rule, TimePoint now)
    {
        std::erase_if(rate.reserveTakenAt, [&](TimePoint taken) { return taken + rule.reserveWindow < now; });
    }

    RateGrant grantReserve(SharedRate& rate, const SharedRateRule& rule, size_t wanted, TimePoint now)
    {
        forgetReserve(rate, rule, now);
        RateGrant given;
        given.isKeeper = false;
        size_t left = rule.reserveTokens - std::min(rule.reserveTokens, rate.reserveTakenAt.size());
        given.tokens = std::min(wanted, left);
        rate.reserveTakenAt.insert(rate.reserveTakenAt.end(), given.tokens, now);
        if (given.tokens < wanted) {
            Milliseconds wait
                = rate.reserveTakenAt.empty() ? keeperPause : rate.reserveTakenAt.front() + rule.reserveWindow - now;
            given.retryIn = std::clamp(wait, shortestDenial, keeperPause);
            given.closedFor = given.retryIn;
        }
        return given;
    }

} // namespace

double tokensAt(const RateBucket& bucket, const RateLimit& limit, TimePoint now)
{
    double added = limit.rate.value() * (now - bucket.filledAt).value() / millisecondsPerSecond;
    return std::min(depthOf(limit), bucket.tokens + std::max(0.0, added));
}

void emptyBucket(SharedRate& rate, TimePoint at)
{
    if (rate.bucket.filledAt < at)
        rate.bucket = { 0, at };
}

size_t takeTokens(RateBucket& bucket, const RateLimit& limit, size_t wanted, TimePoint now)
{
    double tokens = tokensAt(bucket, limit, now);
    auto taken = std::min(wanted, static_cast<size_t>(tokens));
    bucket = { tokens - static_cast<double>(taken), std::max(now, bucket.filledAt) };
    return taken;
}

Milliseconds untilToken(const RateBucket& bucket, const RateLimit& limit, TimePoint now)
{
    double missing = 1 - tokensAt(bucket, limit, now);
    return Milliseconds(std::max(0.0, missing) * millisecondsPerSecond / limit.rate.value());
}

RateGrant grant(
    SharedRate& rate, const SharedRateRule& rule, const RateLimit& limit, RateRole role, size_t wanted, TimePoint now)
{
    wanted = std::min(wanted, rule.largestClaim);
    if (role == RateRole::Settling || role == RateRole::Substitute)
        return grantReserve(rate, rule, wanted, now);
    if (role != RateRole::Keeper)
        return { 0, keeperPause, keeperPause, false, {} };
    RateGrant given;
    given.tokens = takeTokens(rate.bucket, limit, wanted, now);
    if (given.tokens == wanted)
        return given;
    given.closedFor = untilToken(rate.bucket, limit, now);
    TimePoint next = std::max(now + given.closedFor, rate.promisedUntil);
    given.retryIn = std::min(next - now, longestDenial);
    Milliseconds spacing { millisecondsPerSecond / limit.rate.value() };
    rate.promisedUntil = std::min(next + spacing * static_cast<double>(wanted - given.tokens), now + longestDenial);
    return given;
}

std::optional<size_t> ask(SharedRate& rate, const SharedRateRule& rule, size_t wanted, TimePoint now)
{
    if (rate.isAsking || hasGrantedToken(rate, now) || now < rate.deniedUntil)
        return std::nullopt;
    rate.isAsking = true;
    rate.askedAt = now;
    return std::clamp<size_t>(wanted, 1, rule.largestClaim);
}

void answerAsk(SharedRate& rate, const SharedRateRule& rule, const RateGrantor& from,
    const std::optional<RateGrant>& answer, TimePoint now)
{
    rate.isAsking = false;
    rate.granted = 0;
    TimePoint& pausedUntil = from.isSubstitute ? rate.substituteClosedUntil : rate.keeperSilentUntil;
    bool isEarlier = answer && from.address == rate.grantedBy && answer->incarnation < rate.grantorIncarnation;
    if (!answer || isEarlier) {
        pausedUntil = now + keeperPause;
        return;
    }
    rate.grantedBy = from.address;
    rate.grantorIncarnation = answer->incarnation;
    rate.granted = std::min(answer->tokens, rule.largestClaim);
    rate.grantedUntil = rate.askedAt + rule.tokenLifetime;
    if (rate.granted && answer->closedFor <= Milliseconds(0))
        return;
    if (answer->isKeeper)
        rate.deniedUntil = now + std::clamp(answer->closedFor, shortestDenial, longestDenial);
    else
        pausedUntil = now + std::clamp(answer->closedFor, shortestDenial, keeperPause);
}

bool hasGrantedToken(const SharedRate& rate, TimePoint now) { return rate.granted && now < rate.grantedUntil; }

bool takeGrantedToken(SharedRate& rate, TimePoint now)
{
    if (!hasGrantedToken(rate, now))
        return false;
    --rate.granted;
    return true;
}

bool isAtRest(const SharedRate& rate, const SharedRateRule& rule, const RateLimit& limit, TimePoint now)
{
    bool isReserveFull = rate.reserveTakenAt.empty() || rate.reserveTakenAt.back() + rule.reserveWindow < now;
    bool isFull = tokensAt(rate.bucket, limit, now) >= depthOf(limit);
    return isFull && isReserveFull && !rate.isAsking && !hasGrantedToken(rate, now) && now >= rate.deniedUntil
        && now >= rate.keeperSilentUntil && now >= rate.substituteClosedUntil && now >= rate.promisedUntil;
}

} // namespace Limits
