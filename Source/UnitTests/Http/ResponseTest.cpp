#include "Http/Connection.h"
#include "Http/Pool.h"
#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using Common::Milliseconds;
using Common::Reason;
using HttpTest::okReply;
using HttpTest::RawServer;

namespace {

constexpr Milliseconds timeout { 5'000 };
// Time for bytes that the peer sends after a response to arrive.
constexpr std::chrono::milliseconds arrival { 200 };

Common::Result<Http::Response> get(Http::Connection& connection, const std::string& body = {})
{
    Http::Request request;
    request.method = body.empty() ? "GET" : "POST";
    request.path = "/part";
    request.body = body;
    std::promise<Common::Result<Http::Response>> promise;
    connection.send(request, [&](Common::Result<Http::Response> result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

// Answers the first request with these bytes, and each later one with a valid response.
RawServer::Script first(std::string bytes, RawServer::After after)
{
    return [bytes = std::move(bytes), after](int connection, int request, const std::string&) {
        if (!connection && !request)
            return RawServer::Reply { bytes, after, "" };
        return RawServer::Reply { okReply("\"second\""), RawServer::After::KeepOpen, "" };
    };
}

// Checks that the next request uses a new connection and receives its own response.
void expectSecondOnNewConnection(Http::Connection& connection, const RawServer& server)
{
    std::this_thread::sleep_for(arrival);
    EXPECT_FALSE(connection.isOpen());
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().body, "\"second\"");
    EXPECT_EQ(server.connections(), 2);
}

} // namespace

TEST(Response, ExtraBytesEndTheConnection)
{
    RawServer server(first(okReply("\"a\"") + okReply("\"of another\""), RawServer::After::KeepOpen));
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().body, "\"a\"");
    expectSecondOnNewConnection(connection, server);
}

TEST(Response, BytesOnAnIdleConnectionEndIt)
{
    RawServer server([](int connection, int, const std::string&) {
        if (!connection)
            return RawServer::Reply { okReply("\"a\""), RawServer::After::KeepOpen, okReply("\"of nobody\"") };
        return RawServer::Reply { okReply("\"second\""), RawServer::After::KeepOpen, "" };
    });
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().body, "\"a\"");
    EXPECT_TRUE(connection.isOpen());
    expectSecondOnNewConnection(connection, server);
}

TEST(Response, BodyWithoutALengthEndsWithTheConnection)
{
    RawServer server(first("HTTP/1.1 200 OK\r\nX-Word: a\r\n\r\nall of it", RawServer::After::Close));
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().body, "all of it");
    expectSecondOnNewConnection(connection, server);
}

TEST(Response, TruncatedResponseIsConnectionLost)
{
    const std::string cut[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
    };
    for (const std::string& bytes : cut) {
        RawServer server(first(bytes, RawServer::After::Close));
        Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
        auto result = get(connection);
        ASSERT_FALSE(result) << bytes;
        EXPECT_EQ(result.error().reason, Reason::ConnectionLost) << bytes;
        EXPECT_EQ(server.count("GET"), 1) << bytes;
        expectSecondOnNewConnection(connection, server);
    }
}

TEST(Response, MalformedResponseIsConnectionLost)
{
    const std::string bad[] = {
        "FTP/9 hello\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nX-Long: " + std::string(70'000, 'a') + "\r\n\r\n",
    };
    for (const std::string& bytes : bad) {
        RawServer server(first(bytes, RawServer::After::KeepOpen));
        Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
        auto result = get(connection);
        ASSERT_FALSE(result) << bytes.substr(0, 60);
        EXPECT_EQ(result.error().reason, Reason::ConnectionLost) << bytes.substr(0, 60);
        expectSecondOnNewConnection(connection, server);
    }
}

// A server in trouble sends status codes that HTTP does not have. They must not reach the caller as its answer.
TEST(Response, StatusOutsideOfHttpIsConnectionLost)
{
    for (const char* status : { "000", "001", "099", "600", "999" }) {
        for (const char* rest :
            { "\r\nContent-Length: 2\r\n\r\nok", " OK\r\n\r\nok", "\r\nX-Server-Stamp: a\r\n\r\n" }) {
            std::string bytes = std::string("HTTP/1.1 ") + status + rest;
            RawServer server(first(bytes, RawServer::After::Close));
            Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
            auto result = get(connection);
            ASSERT_FALSE(result) << bytes << " gave " << result.value().status;
            EXPECT_EQ(result.error().reason, Reason::ConnectionLost) << bytes;
            expectSecondOnNewConnection(connection, server);
        }
    }
}

TEST(Response, InterimResponsesAreSkipped)
{
    RawServer server(first("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + okReply("\"a\""),
        RawServer::After::KeepOpen));
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().status, 200);
    EXPECT_EQ(result.value().body, "\"a\"");
    EXPECT_TRUE(connection.isOpen());
}

TEST(Response, EncodedBodyAndHeadersAreUnchanged)
{
    const std::string body("\x1f\x8b\0\xff", 4);
    RawServer server(first("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nX-Twice: 1\r\nx-twice: 2\r\nContent-Length: 4"
                           "\r\n\r\n"
            + body,
        RawServer::After::KeepOpen));
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection);
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().body, body);
    const Http::Fields expected { { "Content-Encoding", "gzip" }, { "X-Twice", "1" }, { "x-twice", "2" },
        { "Content-Length", "4" } };
    EXPECT_EQ(result.value().fields, expected);
}

// The peer answers after the header and never reads the body. Guards against reuse of a connection whose request is
// still being written.
TEST(Response, ResponseBeforeTheRequestIsWrittenEndsTheConnection)
{
    RawServer server(first("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", RawServer::After::Silence),
        RawServer::Answer::AtHead);
    Http::Connection connection(server.address(), Http::Reuse::Allowed, timeout);
    auto result = get(connection, std::string(32 << 20, 'a'));
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().status, 413);
    std::this_thread::sleep_for(arrival);
    EXPECT_FALSE(connection.isOpen());
}

TEST(Pool, ReusesAConnectionForSequentialRequests)
{
    RawServer server([](int, int, const std::string&) {
        return RawServer::Reply { okReply(), RawServer::After::KeepOpen, "" };
    });
    Http::Pool pool(timeout);
    for (int i = 0; i < 3; ++i) {
        std::promise<bool> promise;
        pool.send(server.address(), {},
            [&](const Common::Result<Http::Response>& result) { promise.set_value(result.has_value()); });
        EXPECT_TRUE(promise.get_future().get());
    }
    EXPECT_EQ(server.connections(), 1);
}

TEST(Pool, OpensOneConnectionPerConcurrentRequest)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    RawServer server([released](int, int, const std::string&) {
        released.wait();
        return RawServer::Reply { okReply(), RawServer::After::KeepOpen, "" };
    });
    Http::Pool pool(timeout);
    std::promise<bool> promises[3];
    for (auto& promise : promises) {
        pool.send(server.address(), {},
            [&promise](const Common::Result<Http::Response>& result) { promise.set_value(result.has_value()); });
    }
    while (server.count("GET") < 3)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    release.set_value();
    for (auto& promise : promises)
        EXPECT_TRUE(promise.get_future().get());
    EXPECT_EQ(server.connections(), 3);
}
