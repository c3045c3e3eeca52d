#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

// Whether a request may use a connection that an earlier request left open. No request is ever resent.
enum class Reuse {
    Allowed,
    Never,
};

// Receives the response or an error. ConnectionFailed: no byte reached the peer. ConnectionLost, DeadlineExceeded and
// Cancelled: it is unknown whether the request was executed.
using Done = std::function<void(Common::Result<Response>)>;

// Numbers the requests of one connection.
using ExchangeId = Common::Quantity<struct ExchangeIdTag, uint64_t>;

// At most one TCP connection to one peer, carrying one request at a time.
class Connection {
public:
    // timeout bounds each request. A caller with an earlier deadline calls cancel().
    Connection(const Common::Address& peer, Reuse, Common::Milliseconds timeout);
    // Cancels a request in progress.
    ~Connection();

    // Calls done once, on an event loop thread and never from inside send(). Only one request may be in progress.
    void send(const Request&, Done done);
    // The same for an encoded request.
    void send(std::string text, bool isHead, Done done);
    // The id that the next send() uses. Only the holder of the connection may rely on it.
    ExchangeId nextExchange() const;
    // Closes the connection if this request is in progress; its done receives Cancelled.
    void cancel(ExchangeId);
    // The same for the request that was sent last.
    void cancel();
    // Whether the next request can be sent without opening a new connection.
    bool isOpen() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Http
