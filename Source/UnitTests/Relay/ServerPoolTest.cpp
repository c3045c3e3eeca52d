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

// A request after which the server says that it leaves.
void leave(Relay::ServerPool& pool, const Roster::EligibleServer& leaving)
{
    auto lease = pool.acquire(leaving, Connections(1), now);
    ASSERT_TRUE(lease);
    pool.record(leaving.server, leaving.incarnation, { true, {} }, true, now);
    pool.release(leaving.server, lease->connection, now, { Relay::Outcome::Kind::Answered, Milliseconds(1) }, now);
}

} // namespace

TEST(ServerPool, ALeavingServerIsRememberedWhenItIsReportedAgain)
{
    Relay::ServerPool pool;
    leave(pool, server(1));
    EXPECT_FALSE(pool.acquire(server(1), Connections(1), now));
    pool.keepOnly({});
    EXPECT_FALSE(pool.acquire(server(1), Connections(1), now));
    EXPECT_FALSE(pool.hasOpenServer({ server(1) }, {}, now));
    Roster::EligibleServer restarted = server(1);
    restarted.incarnation = Incarnation(2);
    EXPECT_TRUE(pool.acquire(restarted, Connections(1), now));
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
        remembered += pool.hasOpenServer({ server(i) }, {}, now) ? 0 : 1;
    EXPECT_EQ(remembered, 1'000);
}
