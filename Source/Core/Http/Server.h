#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

// What a caller may send, and how long it may take.
struct CallerLimits {
    Common::Bytes maximumBody { 1 << 20 };
    // A body that has not arrived whole by then is answered 408, and its connection closed.
    Common::Milliseconds bodyTimeout { 10'000 };
    Common::Bytes maximumHead { 64 << 10 };
    Common::Milliseconds headTimeout { 10'000 };
    // A connection without a request is closed after that.
    Common::Milliseconds idleTimeout { 60'000 };
};

struct ServerOptions {
    Common::Address listen;
    CallerLimits limits;
};

// Sends the answer to one request. Called once, from any thread.
using Responder = std::function<void(Response)>;
// Called on a thread of the library: must not block.
using Handler = std::function<void(Request, Responder)>;

// An HTTP/1.1 listener. Pipelined requests are answered in their order. It counts its requests, so that a planned stop
// can wait for the last answer.
class Server {
public:
    static Common::Result<std::unique_ptr<Server>> open(const ServerOptions&, Handler);
    ~Server();

    // For what arrives from now on.
    void setLimits(const CallerLimits&);
    // Requests whose answer has not been handed to the connection.
    size_t inFlight() const;
    // From now on each answer closes its connection.
    void closeAfterAnswers();
    // Takes no new connection, closes those without a request, and waits until the others have been answered and closed
    // or the bound is over; returns how many requests were still in flight.
    size_t finish(Common::Milliseconds bound);
    // Waits until nothing is in flight or the bound is over; returns how many were still in flight.
    size_t waitForAnswers(Common::Milliseconds bound);
    // Stops listening and closes all connections. Requests in flight are lost, so wait for them first.
    void close();

private:
    struct Private;
    explicit Server(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

// Sets the number of threads that carry all HTTP servers and clients of this process. Call it once, before any.
void setThreadCount(int);

} // namespace Http
