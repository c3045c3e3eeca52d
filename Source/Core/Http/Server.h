#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

// Limits on the size and duration of a caller's requests.
struct CallerLimits {
    Common::Bytes maximumBody { 1 << 20 };
    // A request whose body is incomplete by then is answered 408, and its connection is closed.
    Common::Milliseconds bodyTimeout { 10'000 };
    Common::Bytes maximumHead { 64 << 10 };
    Common::Milliseconds headTimeout { 10'000 };
    // A connection without a request is closed after this time.
    Common::Milliseconds idleTimeout { 60'000 };
};

struct ServerOptions {
    Common::Address listen;
    CallerLimits limits;
};

// Sends the answer to one request. Called once, from any thread.
using Responder = std::function<void(Response)>;
// Called on an event loop thread: must not block.
using Handler = std::function<void(Request, Responder)>;

// An HTTP/1.1 server. Pipelined requests are answered in order. Counts requests in flight, so that a graceful shutdown
// can wait for the last answer.
class Server {
public:
    static Common::Result<std::unique_ptr<Server>> open(const ServerOptions&, Handler);
    ~Server();

    // Applies to requests that start from now on.
    void setLimits(const CallerLimits&);
    // Requests whose answer has not been written to the connection.
    size_t inFlight() const;
    // Each further answer closes its connection.
    void closeAfterAnswers();
    // Graceful shutdown: stops accepting, closes idle connections, and waits up to the bound until the others have been
    // answered and closed. Returns the number of requests still in flight.
    size_t finish(Common::Milliseconds bound);
    // Starts to answer the open requests: those not read completely yet with 503, and those without an answer of the
    // handler with 502, since they may have run. Later answers of the handler are dropped. Closes idle connections.
    void endRequests();
    // Waits up to the bound until all connections have been closed. Returns the number of requests in flight.
    size_t waitUntilClosed(Common::Milliseconds bound);
    // Waits up to the bound until nothing is in flight. Returns the number of requests still in flight.
    size_t waitForAnswers(Common::Milliseconds bound);
    // Stops listening and closes all connections. Requests in flight are lost: call waitForAnswers() first.
    void close();

private:
    struct Private;
    explicit Server(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

// Sets the number of event loop threads that all HTTP servers and clients of this process share. Call it once, before
// the first of them is created.
void setThreadCount(int);

} // namespace Http
