#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

// Whether a request may use the connection that an earlier one left open. Nothing is ever sent twice.
enum class Reuse {
    Allowed,
    Never,
};

// An answer, or: ConnectionFailed (no byte can have reached the peer), ConnectionLost, DeadlineExceeded, Cancelled
// (each: unknown whether it ran).
using Done = std::function<void(Common::Result<Response>)>;

// One TCP connection at most to one peer, with one request at a time on it.
class Connection {
public:
    // timeout bounds each request; whoever has an earlier deadline calls cancel().
    Connection(const Common::Address& peer, Reuse, Common::Milliseconds timeout);
    // A request under way is cancelled.
    ~Connection();

    // done is called once, on a thread of the library and never from inside send(). Only one request may be under way.
    void send(const Request&, Done done);
    // Closes the connection under a request; done still gets its error.
    void cancel();
    // Whether the next request can go out without a new connection.
    bool isOpen() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Http
