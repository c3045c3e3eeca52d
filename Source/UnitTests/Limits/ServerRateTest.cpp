#include "Limits/ServerRate.h"

#include <gtest/gtest.h>

using namespace Limits;
using Common::BackendServerId;
using Common::Incarnation;
using Common::Milliseconds;
using Common::RequestRate;
using Common::TimePoint;

namespace {

const Incarnation first { 1 };
const Incarnation second { 2 };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

ServerNotice naming(double perSecond)
{
    ServerNotice notice;
    notice.limit = RequestRate(perSecond);
    return notice;
}

ServerNotice unusable()
{
    ServerNotice notice;
    notice.hasUnusableLimit = true;
    return notice;
}

size_t takenIn(ServerRate& rate, RateRole role, size_t instances, double from, double until)
{
    size_t taken = 0;
    for (double ms = from; ms < until; ms += 5)
        taken += tryTakeToken(rate, first, role, instances, at(ms)) ? 1 : 0;
    return taken;
}

} // namespace

TEST(ServerRate, IsInForceForAsLongAsAnswersNameIt)
{
    NamedRate named;
    EXPECT_TRUE(recordRate(named, first, naming(10), true, at(0)));
    EXPECT_EQ(rateOf(named, first), RequestRate(10));
    EXPECT_FALSE(recordRate(named, first, {}, false, at(1))) << "a refusal without a limit does not end it";
    EXPECT_FALSE(recordRate(named, first, unusable(), true, at(2))) << "nor does one that can't be read";
    EXPECT_EQ(rateOf(named, first), RequestRate(10));
    EXPECT_FALSE(rateOf(named, second)) << "nor does it apply to the next start";
    EXPECT_TRUE(recordRate(named, first, {}, true, at(3)));
    EXPECT_FALSE(rateOf(named, first));
    recordRate(named, second, naming(5), true, at(4));
    EXPECT_FALSE(recordRate(named, first, naming(9), true, at(5))) << "a late answer of the earlier start";
    EXPECT_EQ(rateOf(named, second), RequestRate(5));
}

TEST(ServerRate, IsBounded)
{
    NamedRate named;
    recordRate(named, first, naming(0), true, at(0));
    EXPECT_GT(rateOf(named, first)->value(), 0) << "the server must be asked to say that the limit has ended";
    EXPECT_LT(rateOf(named, first)->value() * 4, 5);
    recordRate(named, first, naming(1e300), true, at(1));
    EXPECT_LE(rateOf(named, first)->value(), 1e6);
}

TEST(ServerRate, TheKeeperUsesMostOfIt)
{
    ServerRate rate;
    recordRate(rate.named, first, naming(20), true, at(0));
    size_t taken = takenIn(rate, RateRole::Keeper, 9, 0, 10'000);
    EXPECT_GE(taken, 170u);
    EXPECT_LE(taken, 185u);
}

TEST(ServerRate, InstancesWithoutAKeeperShareAQuarter)
{
    size_t taken = 0;
    for (int i = 0; i < 10; ++i) {
        ServerRate rate;
        recordRate(rate.named, first, naming(20), true, at(0));
        taken += takenIn(rate, RateRole::Alone, 10, 0, 10'000);
    }
    EXPECT_LE(taken, 60u);
    EXPECT_GE(taken, 40u);
}

TEST(ServerRate, AKeeperThatDoesNotAnswerIsLeftAloneForAWhile)
{
    ServerRate rate;
    recordRate(rate.named, first, naming(20), true, at(0));
    ASSERT_TRUE(ask(rate, BackendServerId("s"), first, 1, at(0)));
    answerAsk(rate, std::nullopt, at(60));
    EXPECT_EQ(roleOf(rate, RateRole::Asker, at(61)), RateRole::Alone);
    EXPECT_EQ(roleOf(rate, RateRole::Asker, at(1'061)), RateRole::Asker);
}

TEST(ServerRate, TokensOfTheKeeperExpire)
{
    ServerRate rate;
    recordRate(rate.named, first, naming(20), true, at(0));
    ask(rate, BackendServerId("s"), first, 3, at(0));
    answerAsk(rate, RateGrant { 3, {} }, at(0));
    EXPECT_FALSE(ask(rate, BackendServerId("s"), first, 1, at(1))) << "tokens are left";
    EXPECT_TRUE(tryTakeToken(rate, first, RateRole::Asker, 9, at(499)));
    EXPECT_FALSE(tryTakeToken(rate, first, RateRole::Asker, 9, at(500)));
}

TEST(ServerRate, TheKeeperLearnsTheRateFromThoseWhoAsk)
{
    ServerRate keeper;
    RateClaim claim { BackendServerId("s"), first, RequestRate(10), Milliseconds(100), 5 };
    EXPECT_EQ(grant(keeper, claim, RateRole::Keeper, at(1'000)).tokens, 0u);
    EXPECT_EQ(rateOf(keeper.named, first), RequestRate(10));
    auto later = grant(keeper, claim, RateRole::Keeper, at(1'400));
    EXPECT_GE(later.tokens, 2u);
    EXPECT_LE(later.tokens, 3u);
    EXPECT_EQ(grant(keeper, claim, RateRole::Asker, at(9'000)).tokens, 0u) << "another instance keeps the tokens";
    claim.rate = RequestRate(99);
    claim.age = Milliseconds(60'000);
    grant(keeper, claim, RateRole::Keeper, at(9'000));
    EXPECT_EQ(rateOf(keeper.named, first), RequestRate(10)) << "older than what is known";
}
