#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Http {

// Whether the client library may use a connection that an earlier request left open.
// On a reused one the library sends a request again by itself if the connection closes before the status line,
// so what may not be repeated goes out on a fresh one.
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
    ~Connection();

    // done is called once, on a thread of the library. Only one request may be under way.
    void send(const Request&, Done done);
    // Closes the connection under a request; done still gets its error.
    void cancel();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Http
