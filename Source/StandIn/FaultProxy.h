#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <memory>
#include <string>

namespace StandIn {

// Threads that carry bytes for several gates.
class FaultProxyThreads {
public:
    explicit FaultProxyThreads(int threads);
    // Gates must be closed before.
    ~FaultProxyThreads();
    FaultProxyThreads(const FaultProxyThreads&) = delete;
    FaultProxyThreads& operator=(const FaultProxyThreads&) = delete;

private:
    friend class FaultProxy;
    struct Private;
    std::unique_ptr<Private> m_private;
};

struct FaultProxyOptions {
    Common::Address listen; // Port 0 lets the kernel choose.
    Common::Connections limit; // 0: none. A connection beyond it is closed at once.
    Common::Milliseconds connectTime; // Before a new connection carries its first byte.
};

// A TCP relay before a server's HTTP listener, which knows no connections: limits and counts them, and lets them go
// silent.
class FaultProxy {
public:
    static Common::Result<std::unique_ptr<FaultProxy>> open(
        FaultProxyThreads&, const FaultProxyOptions&, const Common::Address& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    // With the port that the kernel gave.
    Common::Address address() const;
    // The connections that are open now take bytes and answer nothing from now on.
    void silenceConnections();
    void closeConnections();
    // Takes no more connections and closes all.
    void close();
    uint64_t peakConnections() const;
    uint64_t refusedConnections() const;

private:
    struct Private;
    explicit FaultProxy(std::shared_ptr<Private>);

    std::shared_ptr<Private> m_private;
};

// Splits "IP:PORT"; fails with Reason::InvalidInput.
struct HostAndPort {
    std::string host;
    uint16_t port { 0 };
};
Common::Result<HostAndPort> splitAddress(const Common::Address&);

} // namespace StandIn
