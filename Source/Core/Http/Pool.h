#pragma once

#include "Http/Connection.h"

#include <memory>

namespace Http {

// Connections to any number of peers, as many as there are requests at the same time; each is kept for a later request
// to its peer. For callers without a limit on connections of their own.
class Pool {
public:
    // timeout bounds each request.
    explicit Pool(Common::Milliseconds timeout);
    // Requests under way go on.
    ~Pool();

    // done is called once, on a thread of the library and never from inside send(). Nothing is ever sent twice.
    void send(const Common::Address& peer, const Request&, Done done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Http
