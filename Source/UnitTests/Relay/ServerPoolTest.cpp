#include "Relay/ServerPool.h"

#include <gtest/gtest.h>

using Common::BackendServerId;
using Common::Connections;
using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const TimePoint now { Milliseconds(1'000) };

Roster::EligibleServer server(int i)
{
    Roster::EligibleServer it;
    it.server = BackendServerId("s" + std::to_string(i));
    it.address = Common::Address("127.0.0.1:1");
    it.incarnation = Incarnation(1);
    return it;
}

Relay::Targets targetsOf(const Roster::EligibleServer& server)
{
    return { std::make_shared<const std::vector<Roster::EligibleServer>>(1, server), {} };
}

// A request after which the server says that it leaves.
void leave(Relay::ServerPool& pool, const Roster::EligibleServer& leaving)
{
    auto lease = pool.acquire(targetsOf(leaving), 0, Connections(1), now);
    ASSERT_TRUE(lease);
    pool.record(leaving.server, leaving.incarnation, { true, {} }, true, true, now);
    pool.release(leaving.server, lease->connection, now, { Relay::Outcome::Kind::Answered, Milliseconds(1) }, now);
}

} // namespace

TEST(ServerPool, ALeavingServerIsRememberedWhenItIsReportedAgain)
{
    Relay::ServerPool pool;
    leave(pool, server(1));
    EXPECT_FALSE(pool.acquire(targetsOf(server(1)), 0, Connections(1), now));
    pool.keepOnly({});
    EXPECT_FALSE(pool.acquire(targetsOf(server(1)), 0, Connections(1), now));
    EXPECT_FALSE(pool.hasOpenServer(targetsOf(server(1)), {}, now));
    Roster::EligibleServer restarted = server(1);
    restarted.incarnation = Incarnation(2);
    EXPECT_TRUE(pool.acquire(targetsOf(restarted), 0, Connections(1), now));
}

// Each release of a service leaves such servers behind, so what is remembered of them must not grow.
TEST(ServerPool, RemembersABoundedNumberOfServersThatLeft)
{
    constexpr int servers = 1'500;
    Relay::ServerPool pool;
    for (int i = 0; i < servers; ++i)
        leave(pool, server(i));
    pool.keepOnly({});
    int remembered = 0;
    for (int i = 0; i < servers; ++i)
        remembered += pool.hasOpenServer(targetsOf(server(i)), {}, now) ? 0 : 1;
    EXPECT_EQ(remembered, 1'000);
}

TEST(ServerPool, AServerThatNamesARateNeedsATokenUntilItNamesNone)
{
    Relay::ServerPool pool;
    auto targets = targetsOf(server(1));
    targets.access = { { Limits::RateRole::Keeper, {}, 1 } };
    Limits::ServerNotice notice;
    notice.limit = Common::RequestRate(10);
    auto lease = pool.acquire(targets, 0, Connections(9), now);
    ASSERT_TRUE(lease);
    EXPECT_FALSE(pool.hasNamedRates());
    EXPECT_TRUE(pool.record(server(1).server, Incarnation(1), notice, true, true, now));
    EXPECT_TRUE(pool.hasNamedRates());
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), now));
    EXPECT_FALSE(pool.hasOpenServer(targets, {}, now));
    auto reopens = pool.reopensIn(targets, now);
    ASSERT_TRUE(reopens);
    EXPECT_NEAR(reopens->value(), 1'000 / 9.0, 1);
    auto later = now + Milliseconds(120);
    EXPECT_TRUE(pool.hasOpenServer(targets, {}, later));
    EXPECT_TRUE(pool.acquire(targets, 0, Connections(9), later));
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), later));
    EXPECT_TRUE(pool.record(server(1).server, Incarnation(1), {}, true, true, later));
    EXPECT_TRUE(pool.acquire(targets, 0, Connections(9), later));
}

TEST(ServerPool, AnAskerSendsWithTokensOfTheKeeperOnly)
{
    Relay::ServerPool pool;
    Relay::ServerPool keeper;
    auto targets = targetsOf(server(1));
    targets.access = { { Limits::RateRole::Asker, Common::Address("k:1"), 3 } };
    Limits::ServerNotice notice;
    notice.limit = Common::RequestRate(10);
    ASSERT_TRUE(pool.acquire(targets, 0, Connections(9), now));
    pool.record(server(1).server, Incarnation(1), notice, true, true, now);
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), now));
    EXPECT_TRUE(pool.hasOpenServer(targets, {}, now)) << "the keeper can be asked";
    auto later = now + Milliseconds(500);
    auto claim = pool.ask(targets, 0, 1, later);
    ASSERT_TRUE(claim);
    EXPECT_FALSE(pool.ask(targets, 0, 1, later)) << "one question at a time";
    EXPECT_EQ(keeper.grant(*claim, Limits::RateRole::Asker, later).tokens, 0u) << "not the keeper in its own view";
    auto grant = keeper.grant(*claim, Limits::RateRole::Keeper, later);
    EXPECT_EQ(grant.tokens, 1u);
    pool.answerAsk(server(1).server, grant, later);
    EXPECT_TRUE(pool.acquire(targets, 0, Connections(9), later));
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), later));
    pool.ask(targets, 0, 1, later);
    pool.answerAsk(server(1).server, Limits::RateGrant { 0, Milliseconds(80) }, later);
    EXPECT_FALSE(pool.hasOpenServer(targets, {}, later));
    EXPECT_TRUE(pool.hasOpenServer(targets, {}, later + Milliseconds(80)));
}

// The group's rate for cold servers applies like a rate that the server names, until it is warm.
TEST(ServerPool, AColdServerNeedsTokens)
{
    Relay::ServerPool pool;
    Roster::EligibleServer cold = server(1);
    cold.warmAt = now + Milliseconds(3'000);
    auto targets = targetsOf(cold);
    targets.access = { { Limits::RateRole::Keeper, {}, 1, Limits::ColdRate { Common::RequestRate(10), cold.warmAt } } };
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), now)) << "there are no tokens at the beginning";
    EXPECT_FALSE(pool.hasOpenServer(targets, {}, now));
    auto next = pool.nextSendIn(targets, {}, now);
    ASSERT_TRUE(next);
    EXPECT_NEAR(next->value(), 1'000 / 9.0, 1) << "a request can wait for it";
    EXPECT_FALSE(pool.nextSendIn(targets, { cold.server }, now));
    EXPECT_TRUE(pool.acquire(targets, 0, Connections(9), now + Milliseconds(112)));
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), now + Milliseconds(113)));
    targets.access.clear();
    EXPECT_TRUE(pool.acquire(targets, 0, Connections(9), cold.warmAt));
    EXPECT_FALSE(pool.hasNamedRates());
}

// The view may report an earlier end of the cold phase; the former rate must not stay in force.
TEST(ServerPool, AServerThatIsWarmEarlierNeedsNoToken)
{
    Relay::ServerPool pool;
    Roster::EligibleServer cold = server(1);
    cold.warmAt = now + Milliseconds(3'000);
    auto targets = targetsOf(cold);
    targets.access = { { Limits::RateRole::Keeper, {}, 1, Limits::ColdRate { Common::RequestRate(10), cold.warmAt } } };
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(9), now));
    EXPECT_TRUE(pool.acquire(targetsOf(server(1)), 0, Connections(9), now));
}

TEST(ServerPool, ReportsThePacedStateOnce)
{
    Relay::ServerPool pool(Relay::ServerPool::Pace::Adaptive);
    auto targets = targetsOf(server(1));
    auto lease = pool.acquire(targets, 0, Connections(2), now);
    ASSERT_TRUE(lease);
    EXPECT_TRUE(lease->hasEnteredPace);
    EXPECT_EQ(pool.usage().paced, 1u);
    EXPECT_FALSE(pool.acquire(targets, 0, Connections(2), now)) << "one request at a time";
    EXPECT_TRUE(pool.candidates(*targets.servers, Connections(2), {}, now).front().paused);
    Relay::Outcome outcome { Relay::Outcome::Kind::Answered, Milliseconds(5) };
    auto later = now + Milliseconds(5);
    EXPECT_EQ(pool.recordPace(*targets.servers,
                  { server(1).server, Incarnation(1), Common::RouteName("r"), now, outcome }, Connections(2), later),
        Relay::PaceChange::Left);
    pool.release(server(1).server, lease->connection, now, outcome, later);
    EXPECT_EQ(pool.usage().paced, 0u);
    lease = pool.acquire(targets, 0, Connections(2), later);
    ASSERT_TRUE(lease);
    EXPECT_FALSE(lease->hasEnteredPace);
}
