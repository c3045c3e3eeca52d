#include "Http/ProcessMemory.h"
#include "Http/RawClient.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using Common::Clock;
using Common::Milliseconds;
using HttpTest::RawClient;

namespace {

constexpr size_t maximumBody = 1'000;
constexpr Milliseconds bodyTimeout { 500 };
constexpr Milliseconds slack { 1'000 };
constexpr Milliseconds bound { 5'000 };

// A server that answers with the path and the body length, and delays answers to /slow until release().
class RequestBody : public testing::Test {
protected:
    void SetUp() override
    {
        Http::ServerOptions options { {}, { Common::Bytes(maximumBody), bodyTimeout } };
        m_server = HttpTest::openServer(
            options, [this](const Http::Request& request, const Http::Responder& done) { handle(request, done); });
        m_address = options.listen;
        ASSERT_TRUE(m_server);
    }

    void TearDown() override { EXPECT_EQ(m_server->waitForAnswers(bound), 0u); }

    void handle(const Http::Request& request, const Http::Responder& done)
    {
        ++m_calls;
        Http::Response response;
        response.body = request.path + " " + std::to_string(request.body.size());
        if (request.path != "/slow") {
            done(response);
            return;
        }
        std::lock_guard lock(m_mutex);
        m_held = [done, response] { done(response); };
    }

    void release()
    {
        auto until = Clock::now() + bound;
        for (;;) {
            std::function<void()> held;
            {
                std::lock_guard lock(m_mutex);
                held = std::move(m_held);
                m_held = nullptr;
            }
            if (held) {
                held();
                return;
            }
            ASSERT_LT(Clock::now(), until);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    static std::string post(const std::string& path, size_t length)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    static std::string chunkedPost(const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static std::string chunk(const std::string& text)
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx", text.size());
        return size + ("\r\n" + text) + "\r\n";
    }

    // Checks that another caller is answered in the meantime.
    void expectOthersAreServed()
    {
        RawClient other(m_address);
        auto begun = Clock::now();
        other.send(post("/other", 2) + "ab");
        EXPECT_EQ(other.readAnswer(bound), "HTTP/1.1 200 OK /other 2");
        EXPECT_LT(Clock::now() - begun, bodyTimeout);
    }

    Common::Address m_address;
    std::atomic<int> m_calls { 0 };
    std::mutex m_mutex; // Guards m_held.
    std::function<void()> m_held;
    std::unique_ptr<Http::Server> m_server;
};

} // namespace

TEST_F(RequestBody, LateBodyIsAnswered408)
{
    RawClient client(m_address);
    auto begun = Clock::now();
    ASSERT_TRUE(client.send(post("/late", 100) + "half"));
    expectOthersAreServed();
    EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 408");
    auto took = Clock::now() - begun;
    EXPECT_GE(took, bodyTimeout);
    EXPECT_LT(took, bodyTimeout + slack);
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_EQ(m_calls, 1) << "the late request was handed to the handler";
}

// Guards against a process that ends because it reserves the announced length.
TEST_F(RequestBody, AbsurdLengthIsAnswered413)
{
    for (const char* length : { "2000", "9000000000", "9000000000000000000" }) {
        RawClient client(m_address);
        ASSERT_TRUE(
            client.send(std::string("POST /long HTTP/1.1\r\nHost: x\r\nContent-Length: ") + length + "\r\n\r\nabc"));
        EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 413") << length;
        EXPECT_TRUE(client.isClosed(bound));
        expectOthersAreServed();
    }
}

// Guards against chunk extensions and trailers without end, which the parser leaves in the buffer.
TEST_F(RequestBody, EndlessChunkExtensionOrTrailerEndsTheConnection)
{
    const std::string filler(16'384, 'a');
    for (const std::string& start : { std::string("4;"), "4\r\nabcd\r\n0\r\nX-Field: " + filler }) {
        RawClient client(m_address);
        ASSERT_TRUE(client.send(chunkedPost("/endless") + start));
        auto begun = Clock::now();
        size_t before = HttpTest::residentBytes();
        size_t peak = before;
        while (Clock::now() - begun < bodyTimeout + slack && client.send(filler))
            peak = std::max(peak, HttpTest::residentBytes());
        EXPECT_LT(Clock::now() - begun, bodyTimeout + slack);
        EXPECT_LT(peak - before, size_t { 16 } << 20);
        expectOthersAreServed();
    }
}

TEST_F(RequestBody, TricklingDoesNotExtendTheTimeout)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(chunkedPost("/trickle")));
    auto begun = Clock::now();
    while (Clock::now() - begun < bodyTimeout + slack && client.send(chunk("x")))
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_LT(Clock::now() - begun, bodyTimeout + slack) << "the connection stays open while bytes trickle in";
    EXPECT_EQ(m_calls, 0);
}

TEST_F(RequestBody, ChunkedBodyIsAccepted)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(chunkedPost("/pieces")));
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(client.send(chunk(std::string(100, 'a'))));
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    ASSERT_TRUE(client.send("0\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /pieces 500");
}

TEST_F(RequestBody, OversizeChunkedBodyIsAnswered413)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(chunkedPost("/large") + chunk(std::string(600, 'a')) + chunk(std::string(600, 'b'))));
    ASSERT_TRUE(client.send("0\r\n\r\n"));
    EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 413");
    EXPECT_EQ(m_calls, 0);
}

TEST_F(RequestBody, EndlessBodyEndsTheConnection)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(chunkedPost("/endless")));
    auto begun = Clock::now();
    size_t sent = 0;
    while (Clock::now() - begun < bound && client.send(chunk(std::string(10'000, 'a'))))
        sent += 10'000;
    EXPECT_LT(Clock::now() - begun, bodyTimeout + slack) << "still taken after " << sent << " bytes";
    EXPECT_EQ(m_calls, 0);
    expectOthersAreServed();
}

TEST_F(RequestBody, OversizeContentLengthIsAnswered413Immediately)
{
    RawClient client(m_address);
    auto begun = Clock::now();
    ASSERT_TRUE(client.send(post("/huge", 1'000'000'000)));
    EXPECT_EQ(client.readAnswer(bound).substr(0, 12), "HTTP/1.1 413");
    EXPECT_LT(Clock::now() - begun, bodyTimeout);
    EXPECT_TRUE(client.isClosed(bound));
    EXPECT_EQ(m_calls, 0);
}

TEST_F(RequestBody, HalfClosedConnectionIsAnswered)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(post("/slow", 3) + "abc"));
    client.finishSending();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release();
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /slow 3");
}

// PipelineTest.cpp checks that each pipelined request is answered.
TEST_F(RequestBody, PipelinedRequestNeverReceivesAnotherAnswer)
{
    RawClient client(m_address);
    ASSERT_TRUE(client.send(post("/slow", 1) + "a" + post("/second", 2) + "ab"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release();
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /slow 1");
    client.send(post("/third", 3) + "abc");
    std::string next = client.readAnswer(bound);
    EXPECT_TRUE(next == "HTTP/1.1 200 OK /second 2" || next == "HTTP/1.1 200 OK /third 3") << next;
}

TEST_F(RequestBody, DisconnectDuringTheBodyBlocksNothing)
{
    {
        RawClient client(m_address);
        ASSERT_TRUE(client.send(post("/gone", 100) + "half"));
    }
    EXPECT_EQ(m_server->waitForAnswers(bound), 0u);
    expectOthersAreServed();
}

TEST_F(RequestBody, SlowHeadersDoNotBlockOthers)
{
    std::vector<std::unique_ptr<RawClient>> slow;
    for (int i = 0; i < 100; ++i) {
        slow.push_back(std::make_unique<RawClient>(m_address));
        ASSERT_TRUE(slow.back()->send("POST /slow-head HTTP/1.1\r\nX-Part: "));
    }
    expectOthersAreServed();
}
