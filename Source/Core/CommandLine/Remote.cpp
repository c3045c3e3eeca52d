#include "CommandLine/Remote.h"

#include "Http/Connection.h"

#include <future>

using Common::Result;

namespace CommandLine {

namespace {

    Result<Http::Response> sendTo(
        const Common::Address& server, const Http::Request& request, Common::Milliseconds timeout)
    {
        Http::Connection connection(server, Http::Reuse::Never, timeout);
        std::promise<Result<Http::Response>> promise;
        auto future = promise.get_future();
        connection.send(request, [&](Result<Http::Response> result) { promise.set_value(std::move(result)); });
        return future.get();
    }

    bool shouldTryNextServer(const Result<Http::Response>& result)
    {
        return !result || (result.value().status >= 502 && result.value().status <= 504);
    }

} // namespace

Result<Http::Response> call(const Remote& remote, const Http::Request& request)
{
    Result<Http::Response> result
        = Common::makeError(Common::Reason::InvalidInput, "call", "no server is given, use --server");
    for (const Common::Address& server : remote.servers) {
        result = sendTo(server, request, remote.timeout);
        if (!shouldTryNextServer(result))
            break;
    }
    return result;
}

} // namespace CommandLine
