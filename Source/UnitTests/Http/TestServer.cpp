#include "Http/TestServer.h"

#include <unistd.h>

namespace HttpTest {

namespace {

    constexpr int firstPort = 28'100;
    constexpr int ports = 3'000;
    constexpr int stride = 100; // Tests that run in parallel start at different ports.

} // namespace

std::unique_ptr<Http::Server> openServer(Http::ServerOptions& options, const Http::Handler& handler)
{
    int offset = (::getpid() * stride) % ports;
    for (int i = 0; i < ports; ++i) {
        int port = firstPort + (offset + i) % ports;
        options.listen = Common::Address("127.0.0.1:" + std::to_string(port));
        auto server = Http::Server::open(options, handler);
        if (server)
            return std::move(server).value();
    }
    return nullptr;
}

} // namespace HttpTest
