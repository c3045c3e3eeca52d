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

    std::atomic<int> wantedThreads { 2 };

    struct Loop {
        boost::asio::io_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
        std::thread thread;
    };

    thread_local boost::asio::io_context* current = nullptr;

    struct All {
        All()
        {
            for (int i = 0; i < wantedThreads; ++i) {
                auto loop = std::make_unique<Loop>();
                loop->thread = std::thread([context = &loop->context] {
                    current = context;
                    context->run();
                });
                loops.push_back(std::move(loop));
            }
        }

        ~All()
        {
            for (auto& loop : loops) {
                loop->context.stop();
                loop->thread.join();
            }
        }

        std::vector<std::unique_ptr<Loop>> loops;
        std::atomic<size_t> turn { 0 };
    };

    All& all()
    {
        static All instance;
        return instance;
    }

} // namespace

namespace Loops {

    boost::asio::io_context& next()
    {
        All& loops = all();
        return loops.loops[loops.turn++ % loops.loops.size()]->context;
    }

    boost::asio::io_context& currentOrNext() { return current ? *current : next(); }

    std::optional<boost::asio::ip::tcp::endpoint> readEndpoint(const std::string& address)
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

void setThreadCount(int n) { wantedThreads = n > 0 ? n : 1; }

} // namespace Http
