#include "Http/Loops.h"

#include "Http/Server.h"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <charconv>
#include <memory>
#include <thread>
#include <vector>

namespace Http {

namespace {

    std::atomic<int> threadCount { 2 };

    struct Loop {
        boost::asio::io_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard { context.get_executor() };
        std::thread thread;
    };

    thread_local boost::asio::io_context* currentLoop = nullptr;

    struct LoopPool {
        LoopPool()
        {
            for (int i = 0; i < threadCount; ++i) {
                auto loop = std::make_unique<Loop>();
                loop->thread = std::thread([context = &loop->context] {
                    currentLoop = context;
                    context->run();
                });
                loops.push_back(std::move(loop));
            }
        }

        ~LoopPool()
        {
            for (auto& loop : loops) {
                loop->context.stop();
                loop->thread.join();
            }
        }

        std::vector<std::unique_ptr<Loop>> loops;
        std::atomic<size_t> nextIndex { 0 };
    };

    LoopPool& loopPool()
    {
        static LoopPool instance;
        return instance;
    }

} // namespace

namespace Loops {

    boost::asio::io_context& next()
    {
        LoopPool& pool = loopPool();
        return pool.loops[pool.nextIndex++ % pool.loops.size()]->context;
    }

    boost::asio::io_context& currentOrNext() { return currentLoop ? *currentLoop : next(); }

    std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address)
    {
        size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        unsigned short port = 0;
        boost::system::error_code error;
        auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
        const char* end = address.data() + address.size();
        auto read = std::from_chars(address.data() + colon + 1, end, port);
        if (error || read.ec != std::errc() || read.ptr != end)
            return std::nullopt;
        return boost::asio::ip::tcp::endpoint(ip, port);
    }

} // namespace Loops

void setThreadCount(int n) { threadCount = n > 0 ? n : 1; }

} // namespace Http
