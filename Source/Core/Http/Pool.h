#pragma once

#include "Http/Connection.h"

#include <memory>

namespace Http {

// Keep-alive connections to any number of peers. Opens one connection per concurrent request, without a limit, and
// reuses idle ones.
class Pool {
public:
    // timeout bounds each request.
    explicit Pool(Common::Milliseconds timeout);
    // Requests in progress continue.
    ~Pool();

    // Calls done once, on an event loop thread and never from inside send(). No request is ever resent.
    void send(const Common::Address& peer, const Request&, Done done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Http
