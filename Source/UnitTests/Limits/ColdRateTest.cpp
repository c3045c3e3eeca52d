#include "Limits/ServerRate.h"

#include "Common/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

// The rate of a cold server, over all instances. Answers the load of servers that are easily overloaded for some
// seconds after their start.

using namespace Limits;
using Common::BackendServerId;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Random;
using Common::RequestRate;
using Common::TimePoint;

namespace {

const Incarnation start { 1 };
const BackendServerId server { "s" };
constexpr size_t instances = 83;

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

ColdRate cold(double perSecond, double until) { return { RequestRate(perSecond), at(until) }; }

// The most requests in any second from the instances to a server that is cold for 10 s, with more requests than that.
size_t mostInASecond(double perSecond, uint64_t seed, double aloneShare)
{
    Random random(seed);
    std::vector<ServerRate> rates(instances);
    std::vector<double> learnsAt;
    std::vector<bool> isAlone;
    for (size_t i = 0; i < instances; ++i) {
        learnsAt.push_back(random.unit() * 200);
        isAlone.push_back(i > 0 && random.unit() < aloneShare);
    }
    std::vector<double> sent;
    for (double ms = 0; ms < 10'000; ms += 0.5) {
        size_t i = random.below(instances);
        if (ms < learnsAt[i])
            continue; // It has not heard of this start and sends nothing.
        auto role = !i ? RateRole::Keeper : isAlone[i] ? RateRole::Alone : RateRole::Asker;
        setCold(rates[i], start, cold(perSecond, 10'000), at(ms));
        if (role == RateRole::Asker) {
            if (auto claim = ask(rates[i], server, start, 1 + random.below(8), at(ms))) {
                if (ms >= learnsAt[0])
                    setCold(rates[0], start, cold(perSecond, 10'000), at(ms));
                answerAsk(rates[i], grant(rates[0], *claim, RateRole::Keeper, at(ms)), at(ms));
            }
        }
        if (tryTakeToken(rates[i], start, role, instances, at(ms)))
            sent.push_back(ms);
    }
    size_t most = 0;
    for (size_t from = 0, to = 0; to < sent.size(); ++to) {
        while (sent[from] <= sent[to] - 1'000)
            ++from;
        most = std::max(most, to + 1 - from);
    }
    EXPECT_GT(static_cast<double>(sent.size()), perSecond * 10 * 0.6) << "the rate is hardly used";
    return most;
}

} // namespace

TEST(ColdRate, TheSumOverAllInstancesStaysWithinTheBound)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (double perSecond : { 4.0, 20.0, 100.0, 400.0 }) {
            for (double aloneShare : { 0.0, 0.3 }) {
                EXPECT_LE(static_cast<double>(mostInASecond(perSecond, seed, aloneShare)), perSecond * 1.5 + 5)
                    << "seed " << seed << ", rate " << perSecond;
            }
        }
    }
}

TEST(ColdRate, IsTheLowerOfBothRates)
{
    ServerRate rate;
    setCold(rate, start, cold(20, 1'000), at(0));
    EXPECT_EQ(rateInForce(rate, start, at(1)), RequestRate(20));
    ServerNotice notice;
    notice.limit = RequestRate(10);
    recordRate(rate.named, start, notice, true, at(1));
    EXPECT_EQ(rateInForce(rate, start, at(2)), RequestRate(10));
    notice.limit = RequestRate(50);
    recordRate(rate.named, start, notice, true, at(3));
    EXPECT_EQ(rateInForce(rate, start, at(4)), RequestRate(20));
    EXPECT_EQ(rateInForce(rate, start, at(1'000)), RequestRate(50)) << "warm";
    EXPECT_FALSE(rateInForce(rate, Incarnation(2), at(4)));
}

TEST(ColdRate, AnInstanceThatIsAloneSendsNothing)
{
    ServerRate rate;
    setCold(rate, start, cold(1'000, 3'000), at(0));
    for (double ms = 0; ms < 3'000; ms += 10)
        EXPECT_FALSE(tryTakeToken(rate, start, RateRole::Alone, 1, at(ms)));
    EXPECT_EQ(rateReopensIn(rate, start, RateRole::Alone, 1, at(1'000)), std::optional(Milliseconds(2'000)));
    EXPECT_TRUE(tryTakeToken(rate, start, RateRole::Alone, 1, at(3'000)));
}

// Tokens that the keeper had saved, or had given out, before the server became cold would reach it at once.
TEST(ColdRate, AColdPhaseBeginsWithoutTokens)
{
    ServerRate rate;
    ServerNotice notice;
    notice.limit = RequestRate(100);
    recordRate(rate.named, start, notice, true, at(0));
    ask(rate, server, start, 5, at(1'000));
    answerAsk(rate, RateGrant { 5, {} }, at(1'000));
    setCold(rate, start, cold(20, 5'000), at(1'001));
    EXPECT_FALSE(tryTakeToken(rate, start, RateRole::Asker, instances, at(1'001)));
    EXPECT_FALSE(tryTakeToken(rate, start, RateRole::Keeper, instances, at(1'001)));
    EXPECT_TRUE(tryTakeToken(rate, start, RateRole::Keeper, instances, at(1'060)));
    setCold(rate, start, std::nullopt, at(2'000));
    setCold(rate, start, cold(20, 5'000), at(3'000));
    EXPECT_FALSE(tryTakeToken(rate, start, RateRole::Keeper, instances, at(3'000))) << "cold again";
}

// The keeper may learn of the cold phase later than the asker.
TEST(ColdRate, AKeeperThatDoesNotKnowOfTheColdPhaseGrantsNothing)
{
    ServerRate asker;
    ServerRate keeper;
    setCold(asker, start, cold(20, 5'000), at(0));
    auto claim = ask(asker, server, start, 1, at(500));
    ASSERT_TRUE(claim);
    EXPECT_EQ(grant(keeper, *claim, RateRole::Keeper, at(500)).tokens, 0u);
    setCold(keeper, start, cold(20, 5'000), at(510));
    EXPECT_EQ(grant(keeper, *claim, RateRole::Keeper, at(600)).tokens, 1u);
    EXPECT_FALSE(rateOf(keeper.named, start)) << "the cold rate is not one that the server named";
}
