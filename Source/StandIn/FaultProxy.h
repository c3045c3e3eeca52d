#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <memory>
#include <string>

namespace StandIn {

// I/O threads that are shared by several proxies.
class FaultProxyThreads {
public:
    explicit FaultProxyThreads(int threads);
    // All proxies must be closed first.
    ~FaultProxyThreads();
    FaultProxyThreads(const FaultProxyThreads&) = delete;
    FaultProxyThreads& operator=(const FaultProxyThreads&) = delete;

private:
    friend class FaultProxy;
    struct Private;
    std::unique_ptr<Private> m_private;
};

struct FaultProxyOptions {
    Common::Address listen; // The kernel chooses the port if it is 0.
    Common::Connections limit; // 0: unlimited. Further connections are closed immediately.
    Common::Milliseconds connectTime; // Delay before a new connection forwards data.
};

// A TCP proxy in front of the HTTP listener of a server. It limits, counts, silences and closes connections, which the
// HTTP library doesn't expose.
class FaultProxy {
public:
    static Common::Result<std::unique_ptr<FaultProxy>> open(
        FaultProxyThreads&, const FaultProxyOptions&, const Common::Address& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    // The listening address with the actual port.
    Common::Address address() const;
    // From now on, the currently open connections discard all requests without an answer.
    void silenceConnections();
    void closeConnections();
    // Stops listening and closes all connections.
    void close();
    uint64_t peakConnections() const;
    uint64_t refusedConnections() const;

private:
    struct Private;
    explicit FaultProxy(std::shared_ptr<Private>);

    std::shared_ptr<Private> m_private;
};

struct HostAndPort {
    std::string host;
    uint16_t port { 0 };
};
// Splits "IP:PORT". Fails with Reason::InvalidInput.
Common::Result<HostAndPort> splitAddress(const Common::Address&);

} // namespace StandIn
