#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Peer/Types.h"

#include <memory>

namespace Peer {

// RPC server for calls from our other processes. Connections are distributed over the network threads.
class Server {
public:
    // Binds the address (IP and port; port 0 lets the kernel choose). Accepts no connection before start().
    static Common::Result<std::unique_ptr<Server>> listen(const Common::Address&, int threads);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Must be called before start(). Calls to a service without a handler fail with Reason::NotFound.
    void handle(Service, Handler);
    void setLogicalTimeHooks(LogicalTimeHooks);
    void start();
    // Contains the port that the kernel assigned.
    Common::Address address() const;
    // Closes all connections and joins the threads. Later replies are dropped. Must not be called on a network thread.
    void stop();

private:
    struct Private;
    explicit Server(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Peer
