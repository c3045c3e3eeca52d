#include "Http/RawClient.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>

using Common::Milliseconds;
using HttpTest::RawClient;

namespace {

constexpr Milliseconds bound { 5'000 };
constexpr Milliseconds headTimeout { 300 };
constexpr Milliseconds idleTimeout { 600 };
constexpr size_t maximumHead = 2'048;

// Server behaviour at the byte level: headers, keep-alive, timeouts and disconnects.
class CallerConnection : public testing::Test {
protected:
    void SetUp() override
    {
        Http::CallerLimits limits;
        limits.maximumHead = Common::Bytes(maximumHead);
        limits.headTimeout = headTimeout;
        limits.idleTimeout = idleTimeout;
        Http::ServerOptions options { {}, limits };
        m_server = HttpTest::openServer(
            options, [this](const Http::Request& request, const Http::Responder& done) { handle(request, done); });
        m_address = options.listen;
        ASSERT_TRUE(m_server);
    }

    // Answers /held when its caller disconnects, all others immediately. A /next after a /twice repeats the answer to
    // the latter first.
    void handle(const Http::Request& request, const Http::Responder& done)
    {
        ++m_calls;
        {
            std::lock_guard lock(m_mutex);
            m_last = request;
            m_last.caller = nullptr;
        }
        Http::Response response;
        response.body = request.target;
        if (request.path == "/twice")
            m_answerAgain = [done, response] { done(response); };
        if (request.path == "/next" && m_answerAgain)
            m_answerAgain();
        if (request.path != "/held") {
            done(response);
            return;
        }
        request.caller->onDisconnect([this, done, response] {
            done(response);
            m_gone.set_value();
        });
        m_held.set_value();
    }

    Http::Request last()
    {
        std::lock_guard lock(m_mutex);
        return m_last;
    }

    std::unique_ptr<Http::Server> m_server;
    Common::Address m_address;
    std::atomic<int> m_calls { 0 };
    std::promise<void> m_held;
    std::promise<void> m_gone;
    std::function<void()> m_answerAgain;

private:
    std::mutex m_mutex;
    Http::Request m_last;
};

bool isReady(std::promise<void>& promise)
{
    return promise.get_future().wait_for(Common::Clock::toChrono(bound)) == std::future_status::ready;
}

} // namespace

TEST_F(CallerConnection, DisconnectIsDetectedDuringHandling)
{
    {
        RawClient client(m_address);
        ASSERT_TRUE(client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n"));
        ASSERT_TRUE(isReady(m_held));
    }
    EXPECT_TRUE(isReady(m_gone));
    EXPECT_EQ(m_server->waitForAnswers(bound), 0u);
}

TEST_F(CallerConnection, DisconnectAfterPipeliningIsDetected)
{
    {
        RawClient client(m_address);
        ASSERT_TRUE(client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHost: x\r\n\r\n"));
        ASSERT_TRUE(isReady(m_held));
    }
    EXPECT_TRUE(isReady(m_gone));
    EXPECT_EQ(m_server->waitForAnswers(bound), 0u);
}

TEST_F(CallerConnection, ASecondAnswerToARequestIsNotSentToTheNext)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send("GET /twice HTTP/1.1\r\nHost: x\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /twice");
    ASSERT_TRUE(client.send("GET /next HTTP/1.1\r\nHost: x\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /next");
    EXPECT_EQ(m_server->waitForAnswers(bound), 0u);
}

TEST_F(CallerConnection, TargetHeadersAndBodyArePassedUnchanged)
{
    const std::string body("a\0\r\n\xff%41", 8);
    RawClient client(m_address);
    ASSERT_TRUE(client.send("PUT /a%20b//../c%2Fd?x=%31&y&x=+%zz HTTP/1.1\r\nHost: x\r\nX-Twice: 1\r\nx-twice:  2 \r\n"
                            "Content-Encoding: gzip\r\nContent-Length: 8\r\n\r\n"
        + body));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /a%20b//../c%2Fd?x=%31&y&x=+%zz");
    Http::Request seen = last();
    EXPECT_EQ(seen.method, "PUT");
    EXPECT_EQ(seen.body, body);
    const Http::Fields expected { { "Host", "x" }, { "X-Twice", "1" }, { "x-twice", "2" },
        { "Content-Encoding", "gzip" }, { "Content-Length", "8" } };
    EXPECT_EQ(seen.fields, expected);
}

TEST_F(CallerConnection, OversizeHeaderIsAnswered431)
{
    RawClient client(m_address);
    std::string head = "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(maximumHead, 'a') + "\r\n\r\n";
    client.send(head);
    EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 431");
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_EQ(m_calls, 0);
}

TEST_F(CallerConnection, UnfinishedHeaderTimesOut)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send("GET / HTTP/1.1\r\nHost: x\r\n"));
    auto begun = Common::Clock::now();
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_LT(Common::Clock::now() - begun, idleTimeout);
    EXPECT_EQ(m_calls, 0);
}

TEST_F(CallerConnection, MalformedHeaderIsAnswered400)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send("GET / HTTP/1.1\r\nno colon here\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 400");
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_EQ(m_calls, 0);
}

TEST_F(CallerConnection, ConnectionIsKeptUntilTheIdleTimeout)
{
    RawClient client(m_address);
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(client.send("GET /kept HTTP/1.1\r\nHost: x\r\n\r\n"));
        EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /kept");
    }
    auto begun = Common::Clock::now();
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_GE(Common::Clock::now() - begun, idleTimeout - Milliseconds(1));
}

TEST_F(CallerConnection, ConnectionCloseIsHonouredAfterTheAnswer)
{
    for (const char* head :
        { "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "GET /last HTTP/1.0\r\n\r\n" }) {
        RawClient client(m_address);
        ASSERT_TRUE(client.send(head));
        EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /last");
        EXPECT_TRUE(client.isClosed(bound));
    }
}

TEST_F(CallerConnection, Expect100ContinueIsAnswered)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send("POST /body HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 100 Continue ");
    ASSERT_TRUE(client.send("ab"));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /body");
    EXPECT_EQ(last().body, "ab");
}
