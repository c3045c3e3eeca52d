#include "Backend/Client.h"
#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <future>

using HttpTest::RawServer;

namespace {

bool isAlive(const Common::Address& address)
{
    Common::Timers timers(1);
    Observe::Metrics metrics;
    Backend::Client client(timers, metrics);
    std::promise<bool> promise;
    client.probe({ Common::BackendServerId("b-1"), address, Common::GroupName("foglalas") },
        [&](bool alive) { promise.set_value(alive); });
    bool alive = promise.get_future().get();
    timers.stop();
    return alive;
}

RawServer::Reply dropRequest(int, int, const std::string&) { return { "", RawServer::After::Close }; }

} // namespace

TEST(Probe, ServerThatDropsConnectionsIsDown)
{
    RawServer server(dropRequest);
    EXPECT_FALSE(isAlive(server.address()));
    EXPECT_EQ(server.count("GET"), 3);
}

TEST(Probe, ServerThatAnswersARetryIsUp)
{
    RawServer server([](int connection, int, const std::string&) {
        return connection ? RawServer::Reply { HttpTest::okReply(), RawServer::After::KeepOpen }
                          : dropRequest(0, 0, {});
    });
    EXPECT_TRUE(isAlive(server.address()));
}

TEST(Probe, SlowServerIsUp)
{
    RawServer server([](int, int, const std::string&) { return RawServer::Reply { "", RawServer::After::Silence }; });
    EXPECT_TRUE(isAlive(server.address()));
}

TEST(Probe, RefusedConnectionMeansDown)
{
    Common::Address gone;
    {
        RawServer server(dropRequest);
        gone = server.address();
    }
    EXPECT_FALSE(isAlive(gone));
}
