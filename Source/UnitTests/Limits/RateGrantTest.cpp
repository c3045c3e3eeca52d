#include "Limits/SharedRate.h"

#include <gtest/gtest.h>

using namespace Limits;
using Common::Address;
using Common::Incarnation;
using Common::Milliseconds;
using Common::RequestRate;
using Common::TimePoint;

namespace {

constexpr SharedRateRule rule { 1, 0, 7, Milliseconds(5'000), 64, Milliseconds(500) };
const RateLimit tenPerSecond { RequestRate(10), 3 };
const RateGrantor keeper { Address("k:1"), false };
const RateGrantor substitute { Address("s:1"), true };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

RateGrant granted(size_t tokens, uint64_t incarnation) { return { tokens, {}, {}, true, Incarnation(incarnation) }; }

} // namespace

// Guards against tokens that are used long after the keeper has counted them.
TEST(RateGrant, ExpiresByTheTimeOfTheClaim)
{
    SharedRate rate;
    EXPECT_EQ(ask(rate, rule, 3, at(1'000)), 3u);
    EXPECT_FALSE(ask(rate, rule, 3, at(1'001))) << "one claim at a time";
    answerAsk(rate, rule, keeper, granted(3, 1), at(1'400));
    EXPECT_TRUE(takeGrantedToken(rate, at(1'499)));
    EXPECT_FALSE(takeGrantedToken(rate, at(1'500)));
}

// Guards against a late answer of a keeper that has restarted with an empty bucket since.
TEST(RateGrant, OfAnEarlierIncarnationIsInvalid)
{
    SharedRate rate;
    ask(rate, rule, 1, at(0));
    answerAsk(rate, rule, keeper, granted(1, 7), at(1));
    EXPECT_TRUE(takeGrantedToken(rate, at(2)));
    ask(rate, rule, 1, at(3));
    answerAsk(rate, rule, keeper, granted(1, 6), at(4));
    EXPECT_FALSE(takeGrantedToken(rate, at(4)));
    EXPECT_LT(at(4), rate.keeperSilentUntil);
    ask(rate, rule, 1, at(5));
    answerAsk(rate, rule, keeper, granted(1, 8), at(6));
    EXPECT_TRUE(takeGrantedToken(rate, at(7)));
}

// Guards against a substitute without tokens that keeps the asker from trying the keeper again.
TEST(RateGrant, ADenialOfTheSubstituteIsNoDenialOfTheKeeper)
{
    SharedRate rate;
    ask(rate, rule, 1, at(0));
    answerAsk(rate, rule, substitute, RateGrant { 0, Milliseconds(900), Milliseconds(900), false }, at(1));
    EXPECT_EQ(rate.keeperSilentUntil, TimePoint());
    EXPECT_EQ(rate.deniedUntil, TimePoint());
    EXPECT_EQ(rate.substituteClosedUntil, at(901));
}

// Guards against callers that retry all at the time of the next token.
TEST(RateGrant, DenialsAreToldDifferentTimes)
{
    SharedRate rate;
    emptyBucket(rate, at(1'000));
    for (int i = 1; i <= 5; ++i) {
        auto denial = grant(rate, rule, tenPerSecond, RateRole::Keeper, 1, at(1'000));
        EXPECT_EQ(denial.tokens, 0u);
        EXPECT_NEAR(denial.retryIn.value(), 100 * i, 1e-6);
        EXPECT_NEAR(denial.closedFor.value(), 100, 1e-6);
    }
    for (int i = 0; i < 100; ++i)
        EXPECT_LE(grant(rate, rule, tenPerSecond, RateRole::Keeper, 1, at(1'000)).retryIn, Milliseconds(5'000));
}

// Guards against more tokens of a reserve than its number in any window, and against those of other roles.
TEST(RateGrant, AReserveHoldsInEachWindow)
{
    SharedRate rate;
    EXPECT_EQ(grant(rate, rule, tenPerSecond, RateRole::Substitute, 4, at(0)).tokens, 4u);
    EXPECT_EQ(grant(rate, rule, tenPerSecond, RateRole::Settling, 4, at(4'000)).tokens, 3u);
    EXPECT_EQ(grant(rate, rule, tenPerSecond, RateRole::Substitute, 9, at(5'000)).tokens, 0u);
    EXPECT_EQ(grant(rate, rule, tenPerSecond, RateRole::Substitute, 9, at(5'001)).tokens, 4u);
    for (RateRole role : { RateRole::Asker, RateRole::Alone }) {
        SharedRate other;
        auto answer = grant(other, rule, tenPerSecond, role, 1, at(90'000));
        EXPECT_EQ(answer.tokens, 0u);
        EXPECT_FALSE(answer.isKeeper);
    }
}
