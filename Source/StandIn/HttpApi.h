#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "StandIn/Backend.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace StandIn {

// Actions of admin requests on the connections of the server.
struct ConnectionActions {
    std::function<void()> silence;
    std::function<void()> close;
};

// Serves the HTTP API of one Backend, as specified in docs/BACKEND-PROTOCOL.md.
class HttpApi {
public:
    // Listens on a loopback port that the kernel chooses.
    static Common::Result<std::unique_ptr<HttpApi>> open(Backend&, uint32_t defaultShardCount);
    // Listens on the given address.
    static Common::Result<std::unique_ptr<HttpApi>> openAt(
        Backend&, uint32_t defaultShardCount, const Common::Address&);
    ~HttpApi();
    HttpApi(const HttpApi&) = delete;
    HttpApi& operator=(const HttpApi&) = delete;

    // Must be called before the first request.
    void setConnectionActions(ConnectionActions);
    Common::Address address() const;
    // Closes the connections of requests that are deliberately unanswered, then waits until all other requests have an
    // answer. Returns false on timeout.
    bool waitUntilIdle(Common::Milliseconds timeout);

private:
    struct Private;
    explicit HttpApi(std::shared_ptr<Private>);

    std::shared_ptr<Private> m_private;
};

} // namespace StandIn
