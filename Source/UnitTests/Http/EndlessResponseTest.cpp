#include "Http/Connection.h"
#include "Http/ProcessMemory.h"
#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using Common::Milliseconds;
using Common::Reason;
using HttpTest::RawServer;
using HttpTest::residentBytes;

namespace {

constexpr Milliseconds requestTimeout { 3'000 };
// Half of the memory of the smallest machine that the product is deployed on.
constexpr size_t memoryLimit = size_t { 80 } << 20;
constexpr int parallelRequests = 16;
constexpr std::chrono::seconds closeTimeout { 2 };

struct Endless {
    const char* name;
    std::string start;
    std::string repeated;
};

std::vector<Endless> endlessResponses()
{
    const std::string filler(16'384, 'a');
    return {
        { "no response at all", "", filler },
        { "one header field", "HTTP/1.1 200 OK\r\nX-Long: ", filler },
        { "header fields", "HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n" },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a body without a length", "HTTP/1.1 200 OK\r\n\r\n", filler },
        { "a body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", filler },
        { "a body of an absurd length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", filler },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n" },
        { "a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", filler },
        { "trailer fields", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-Field: " + filler + "\r\n" },
    };
}

class EndlessResponse : public testing::TestWithParam<Endless> { };

} // namespace

// Guards against servers that send bytes without end: they must not exhaust memory, hold a request past its timeout or
// keep connections open.
TEST_P(EndlessResponse, IsBoundedInMemoryTimeAndConnections)
{
    RawServer server([](int, int, const std::string&) {
        return RawServer::Reply { GetParam().start, RawServer::After::KeepOpen, "", GetParam().repeated };
    });
    size_t before = residentBytes();
    auto began = Common::Clock::now();
    std::vector<std::unique_ptr<Http::Connection>> connections;
    std::vector<std::future<Common::Result<Http::Response>>> results;
    for (int i = 0; i < parallelRequests; ++i) {
        connections.push_back(
            std::make_unique<Http::Connection>(server.address(), Http::Reuse::Allowed, requestTimeout));
        auto promise = std::make_shared<std::promise<Common::Result<Http::Response>>>();
        results.push_back(promise->get_future());
        connections.back()->send(
            {}, [promise](Common::Result<Http::Response> result) { promise->set_value(std::move(result)); });
    }
    size_t peak = before;
    for (auto& result : results) {
        while (result.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready)
            peak = std::max(peak, residentBytes());
        auto value = result.get();
        ASSERT_FALSE(value);
        EXPECT_TRUE(value.error().reason == Reason::ConnectionLost || value.error().reason == Reason::DeadlineExceeded)
            << value.error();
    }
    EXPECT_LT(Common::Clock::now() - began, requestTimeout + Milliseconds(500));
    EXPECT_LT(peak - before, memoryLimit);
    auto end = std::chrono::steady_clock::now() + closeTimeout;
    while (server.openConnections() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_EQ(server.openConnections(), 0u);
    EXPECT_EQ(server.connections(), parallelRequests);
}

INSTANTIATE_TEST_SUITE_P(
    All, EndlessResponse, testing::ValuesIn(endlessResponses()), [](const testing::TestParamInfo<Endless>& info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });
