#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "StandIn/Backend.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace StandIn {

// What the admin requests do to connections.
struct ConnectionActions {
    std::function<void()> silence;
    std::function<void()> close;
};

// Speaks docs/BACKEND-PROTOCOL.md over HTTP for one Backend.
class HttpApi {
public:
    // Listens on a loopback port that the kernel chooses.
    static Common::Result<std::unique_ptr<HttpApi>> open(Backend&, uint32_t defaultShardCount);
    // On the given address instead.
    static Common::Result<std::unique_ptr<HttpApi>> openAt(
        Backend&, uint32_t defaultShardCount, const Common::Address&);
    ~HttpApi();
    HttpApi(const HttpApi&) = delete;
    HttpApi& operator=(const HttpApi&) = delete;

    // Before the first request.
    void setConnectionActions(ConnectionActions);
    Common::Address address() const;
    // Waits until each request has its answer, but not longer than the bound; returns whether all had. Connections of
    // requests that are left unanswered are closed first.
    bool waitUntilIdle(Common::Milliseconds bound);

private:
    struct Private;
    explicit HttpApi(std::shared_ptr<Private>);

    std::shared_ptr<Private> m_private;
};

} // namespace StandIn
