#include "Http/Connection.h"
#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <future>

using Common::Milliseconds;
using Common::Reason;
using HttpTest::okReply;
using HttpTest::RawServer;

namespace {

constexpr Milliseconds timeout { 5'000 };

Common::Result<Http::Response> exchange(Http::Connection& connection, const std::string& method)
{
    Http::Request request;
    request.method = method;
    request.path = "/book";
    request.body = "{}";
    std::promise<Common::Result<Http::Response>> promise;
    connection.send(request, [&](Common::Result<Http::Response> result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

// Answers a GET and closes the connection on a POST.
RawServer::Reply closeOnPost(int, int, const std::string& head)
{
    if (head.rfind("POST", 0) == 0)
        return { "", RawServer::After::Close, "" };
    return { okReply(), RawServer::After::KeepOpen, "" };
}

} // namespace

// Guards against a client that resends a POST on a new connection when a reused one is closed.
TEST(Connection, SendsOnceOnAReusedConnection)
{
    RawServer server(closeOnPost);
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    ASSERT_TRUE(exchange(connection, "GET"));
    // Leaves time for the connection to become idle.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    auto result = exchange(connection, "POST");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, Reason::ConnectionLost);
    EXPECT_EQ(server.count("POST"), 1);
    EXPECT_EQ(server.connections(), 1);
}

TEST(Connection, SendsOnceOnAFreshConnection)
{
    RawServer server(closeOnPost);
    for (int i = 1; i <= 3; ++i) {
        Http::Connection connection(server.address(), Http::Reuse::Never, timeout);
        ASSERT_TRUE(exchange(connection, "GET"));
        auto result = exchange(connection, "POST");
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().reason, Reason::ConnectionLost);
        EXPECT_EQ(server.count("POST"), i);
    }
}

TEST(Connection, ReportsThatNothingWasSent)
{
    Common::Address gone;
    {
        RawServer server(closeOnPost);
        gone = server.address();
    }
    Http::Connection connection(gone, Http::Reuse::Never, timeout);
    auto result = exchange(connection, "POST");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, Reason::ConnectionFailed) << result.error();
}

// The close of the idle connection is detected, so the request needs a new connection, which fails before any byte is
// sent.
TEST(Connection, ReportsThatAStoppedServerReceivedNothing)
{
    auto server = std::make_unique<RawServer>(closeOnPost);
    Http::Connection connection(server->address(), Http::Reuse::Allowed, timeout);
    ASSERT_TRUE(exchange(connection, "GET"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    server.reset();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(connection.isOpen());
    auto result = exchange(connection, "POST");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, Reason::ConnectionFailed) << result.error();
}

TEST(Connection, AResponseThatBreaksOffAtAnyByteIsNoResponse)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 20\r\n\r\n01234567890123456789";
    RawServer server([&](int connection, int, const std::string&) {
        return RawServer::Reply { whole.substr(0, static_cast<size_t>(connection)), RawServer::After::Close, "" };
    });
    for (size_t sent = 0; sent <= whole.size(); ++sent) {
        Http::Connection connection(server.address(), Http::Reuse::Never, timeout);
        auto result = exchange(connection, "GET");
        EXPECT_EQ(bool(result), sent == whole.size()) << sent << " bytes";
        if (!result) {
            EXPECT_EQ(result.error().reason, Reason::ConnectionLost) << result.error();
        }
    }
}

TEST(Connection, CancelEndsAnUnansweredRequest)
{
    RawServer server([](int, int, const std::string&) {
        return RawServer::Reply { "", RawServer::After::Silence, "" };
    });
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    std::promise<Common::Result<Http::Response>> promise;
    connection.send({}, [&](Common::Result<Http::Response> result) { promise.set_value(std::move(result)); });
    while (!server.count("GET"))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    connection.cancel();
    auto result = promise.get_future().get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, Reason::Cancelled) << result.error();
}

TEST(Connection, CancelOfAnEarlierRequestLeavesTheNextOneAlone)
{
    RawServer server([](int, int request, const std::string&) {
        return request ? RawServer::Reply { "", RawServer::After::KeepOpen, okReply() }
                       : RawServer::Reply { okReply(), RawServer::After::KeepOpen, "" };
    });
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    Http::ExchangeId first = connection.nextExchange();
    auto answer = exchange(connection, "GET");
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer.value().isOnReusedConnection);
    std::promise<Common::Result<Http::Response>> promise;
    connection.send({}, [&](Common::Result<Http::Response> result) { promise.set_value(std::move(result)); });
    connection.cancel(first);
    auto next = promise.get_future().get();
    ASSERT_TRUE(next) << next.error();
    EXPECT_TRUE(next.value().isOnReusedConnection);
}

TEST(Connection, TimeoutIsReportedAsDeadlineExceeded)
{
    RawServer server([](int, int, const std::string&) {
        return RawServer::Reply { "", RawServer::After::Silence, "" };
    });
    Http::Connection connection(server.address(), Http::Reuse::Never, Milliseconds(50));
    auto result = exchange(connection, "POST");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, Reason::DeadlineExceeded) << result.error();
    EXPECT_EQ(server.count("POST"), 1);
}
