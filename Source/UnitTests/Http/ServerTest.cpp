#include "Http/Server.h"
#include "Http/Connection.h"
#include "Http/RawClient.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using Common::Milliseconds;

namespace {

constexpr Milliseconds timeout { 5'000 };
std::unique_ptr<Http::Server> openServer(const Http::Handler& handler, Common::Address& address)
{
    Http::ServerOptions options { {}, { Common::Bytes(1'000), timeout } };
    auto server = HttpTest::openServer(options, handler);
    address = options.listen;
    return server;
}

std::future<Common::Result<Http::Response>> post(Http::Connection& connection, const std::string& body)
{
    Http::Request request;
    request.method = "POST";
    request.path = "/echo/a b";
    request.query["x"] = "1&2";
    request.body = body;
    auto promise = std::make_shared<std::promise<Common::Result<Http::Response>>>();
    connection.send(request, [promise](Common::Result<Http::Response> r) { promise->set_value(std::move(r)); });
    return promise->get_future();
}

} // namespace

TEST(Server, CarriesPathQueryAndBody)
{
    Common::Address address;
    auto server = openServer(
        [](const Http::Request& request, const Http::Responder& done) {
            Http::Response response;
            response.status = 418;
            response.headers["X-Query"] = request.query.at("x");
            response.body = request.path + " " + request.body;
            done(response);
        },
        address);
    ASSERT_TRUE(server);
    Http::Connection connection(address, Http::Reuse::Allowed, timeout);
    auto result = post(connection, "hello").get();
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().status, 418);
    EXPECT_EQ(result.value().body, "/echo/a b hello");
    const std::string* query = Http::findField(result.value().fields, "x-query");
    ASSERT_TRUE(query);
    EXPECT_EQ(*query, "1&2");
}

TEST(Server, RefusesAnOversizeBodyWithoutCallingTheHandler)
{
    Common::Address address;
    std::atomic<int> calls { 0 };
    auto server = openServer(
        [&](const Http::Request&, const Http::Responder& done) {
            ++calls;
            done({});
        },
        address);
    ASSERT_TRUE(server);
    Http::Connection connection(address, Http::Reuse::Allowed, timeout);
    auto result = post(connection, std::string(2'000, 'x')).get();
    ASSERT_TRUE(result) << result.error();
    EXPECT_EQ(result.value().status, 413);
    EXPECT_EQ(calls, 0);
}

TEST(Server, WaitsForTheLastAnswer)
{
    Common::Address address;
    std::promise<Http::Responder> pending;
    auto server
        = openServer([&](const Http::Request&, const Http::Responder& done) { pending.set_value(done); }, address);
    ASSERT_TRUE(server);
    Http::Connection connection(address, Http::Reuse::Allowed, timeout);
    auto result = post(connection, "slow");
    auto respond = pending.get_future().get();
    EXPECT_EQ(server->inFlight(), 1u);
    EXPECT_EQ(server->waitForAnswers(Milliseconds(20)), 1u);
    server->closeAfterAnswers();
    std::thread later([respond] { respond({}); });
    EXPECT_EQ(server->waitForAnswers(timeout), 0u);
    server->close();
    later.join();
    auto answer = result.get();
    ASSERT_TRUE(answer) << answer.error();
    EXPECT_EQ(answer.value().status, 200);
}

TEST(Server, FinishRefusesNewConnectionsAndAnswersRequestsInFlight)
{
    Common::Address address;
    std::promise<Http::Responder> pending;
    auto server
        = openServer([&](const Http::Request&, const Http::Responder& done) { pending.set_value(done); }, address);
    ASSERT_TRUE(server);
    Http::Connection idle(address, Http::Reuse::Allowed, timeout);
    Http::Connection busy(address, Http::Reuse::Allowed, timeout);
    auto result = post(busy, "slow");
    auto respond = pending.get_future().get();
    auto finished = std::async(std::launch::async, [&] { return server->finish(timeout); });
    EXPECT_EQ(finished.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
    auto refused = post(idle, "late").get();
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, Common::Reason::ConnectionFailed);
    respond({});
    EXPECT_EQ(finished.get(), 0u);
    ASSERT_TRUE(result.get());
}

// Guards against a stop that closes connections on which a request has no answer yet.
TEST(Server, EndsOpenRequestsWithAnAnswer)
{
    Common::Address address;
    Http::Responder pending;
    auto server = openServer([&](const Http::Request&, const Http::Responder& done) { pending = done; }, address);
    ASSERT_TRUE(server);
    HttpTest::RawClient unanswered(address);
    HttpTest::RawClient incomplete(address);
    HttpTest::RawClient idle(address);
    ASSERT_TRUE(unanswered.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na"));
    ASSERT_TRUE(incomplete.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na"));
    while (!server->inFlight())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    server->endRequests();
    EXPECT_EQ(unanswered.readAnswer(timeout).substr(0, 12), "HTTP/1.1 502");
    EXPECT_EQ(incomplete.readAnswer(timeout).substr(0, 12), "HTTP/1.1 503");
    EXPECT_TRUE(idle.isClosed(timeout));
    EXPECT_EQ(server->waitUntilClosed(timeout), 0U);
    pending({}); // Dropped.
    server->close();
}
