#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

struct ServerOptions {
    Common::Address listen;
    Common::Bytes maximumBody { 1 << 20 };
    // A body that has not arrived whole by then is answered 408, and its connection closed.
    Common::Milliseconds bodyTimeout { 10'000 };
};

// Sends the answer to one request. Called once, from any thread.
using Responder = std::function<void(Response)>;
// Called on a thread of the library: must not block.
using Handler = std::function<void(Request, Responder)>;

// An HTTP listener that counts its requests, so that a planned stop can wait for the last answer.
class Server {
public:
    static Common::Result<std::unique_ptr<Server>> open(ServerOptions, Handler);
    ~Server();

    // Requests whose answer has not been handed to the connection.
    size_t inFlight() const;
    // From now on each answer closes its connection.
    void closeAfterAnswers();
    // Waits until nothing is in flight or the bound is over; returns how many were still in flight.
    size_t waitForAnswers(Common::Milliseconds bound);
    // Stops listening. Requests in flight are lost, so wait for them first.
    void close();

private:
    struct Private;
    explicit Server(std::unique_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

// Sets the number of threads that carry all HTTP servers and clients of this process. Call it once, before any.
void setThreadCount(int);

} // namespace Http
