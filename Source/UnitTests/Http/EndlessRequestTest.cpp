#include "Http/ProcessMemory.h"
#include "Http/RawClient.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

using Common::Clock;
using Common::Milliseconds;
using HttpTest::RawClient;
using HttpTest::residentBytes;

namespace {

constexpr size_t maximumBody = 8 << 20;
// Half of the memory of the smallest machine that the product is deployed on.
constexpr size_t memoryLimit = size_t { 80 } << 20;
constexpr int callers = 60;
constexpr Milliseconds bodyTimeout { 4'000 };
constexpr Milliseconds bound { 10'000 };

std::string post(size_t length) { return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"; }

// Sends most of a body of the maximum length. Returns the server's answer to what it has by the timeout.
std::string sendWithoutEnd(const Common::Address& address)
{
    RawClient client(address);
    const std::string part(64 << 10, 'a');
    client.send(post(maximumBody));
    for (size_t sent = 0; sent + 2 * part.size() < maximumBody; sent += part.size()) {
        if (!client.send(part))
            break;
    }
    return client.readAnswer(bound).substr(0, 12);
}

} // namespace

// Guards against a process that runs out of memory because many callers send bodies without end.
TEST(EndlessRequest, IsBoundedInMemoryAndOthersAreServed)
{
    Http::ServerOptions options { {}, { Common::Bytes(maximumBody), bodyTimeout } };
    auto server = HttpTest::openServer(
        options, [](const Http::Request&, const Http::Responder& done) { done(Http::Response()); });
    ASSERT_TRUE(server);
    size_t before = residentBytes();
    std::vector<std::string> answers(callers);
    std::vector<std::thread> threads;
    threads.reserve(answers.size());
    for (std::string& answer : answers)
        threads.emplace_back([&answer, &options] { answer = sendWithoutEnd(options.listen); });
    size_t peak = before;
    auto until = Clock::now() + bodyTimeout / 2;
    for (int i = 0; Clock::now() < until; ++i) {
        RawClient other(options.listen);
        other.send(post(2) + "ab");
        EXPECT_EQ(other.readAnswer(bound).substr(0, 12), "HTTP/1.1 200") << i;
        peak = std::max(peak, residentBytes());
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_LT(peak - before, memoryLimit);
    EXPECT_GT(std::count(answers.begin(), answers.end(), "HTTP/1.1 503"), callers / 2);
    RawClient later(options.listen);
    later.send(post(maximumBody) + std::string(maximumBody, 'a'));
    EXPECT_EQ(later.readAnswer(bound).substr(0, 12), "HTTP/1.1 200") << "the budget is free again";
    EXPECT_EQ(server->waitForAnswers(bound), 0u);
}

// Guards against a process that runs out of memory because many callers read large answers slowly.
TEST(EndlessRequest, AnswersThatAreNotReadAreBoundedInMemory)
{
    Http::ServerOptions options { {}, {} };
    options.limits.idleTimeout = bodyTimeout;
    auto server = HttpTest::openServer(options, [](const Http::Request& request, const Http::Responder& done) {
        Http::Response response;
        if (request.path == "/large")
            response.body.assign(maximumBody, 'a');
        done(response);
    });
    ASSERT_TRUE(server);
    size_t before = residentBytes();
    size_t peak = before;
    std::vector<std::unique_ptr<RawClient>> slow;
    for (int i = 0; i < callers; ++i) {
        slow.push_back(std::make_unique<RawClient>(options.listen));
        slow.back()->send("GET /large HTTP/1.1\r\n\r\n");
    }
    auto until = Clock::now() + bodyTimeout / 2;
    for (int i = 0; Clock::now() < until; ++i) {
        RawClient other(options.listen);
        other.send(post(2) + "ab");
        EXPECT_EQ(other.readAnswer(bound).substr(0, 12), "HTTP/1.1 200") << i;
        peak = std::max(peak, residentBytes());
    }
    EXPECT_LT(peak - before, memoryLimit);
    EXPECT_EQ(slow.back()->readAnswer(bound).substr(0, 12), "HTTP/1.1 502");
    slow.clear();
    EXPECT_EQ(server->waitForAnswers(bound), 0u);
    RawClient later(options.listen);
    later.send("GET /large HTTP/1.1\r\n\r\n");
    EXPECT_EQ(later.readAnswer(bound).substr(0, 12), "HTTP/1.1 200") << "the budget is free again";
}
