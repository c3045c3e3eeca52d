#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Peer/Types.h"

#include <memory>

namespace Peer {

// Takes calls of our other processes. Connections are spread over the network threads.
class Server {
public:
    // Binds the address (IP and port; port 0 lets the kernel choose) and takes no connection before start().
    static Common::Result<std::unique_ptr<Server>> listen(const Common::Address&, int threads);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Before start(). A call for a service without a handler is answered with Reason::NotFound.
    void handle(Service, Handler);
    void setLogicalTimeHooks(LogicalTimeHooks);
    void start();
    // With the port that the kernel gave.
    Common::Address address() const;
    // Closes all connections and joins the threads; replies that come later are dropped. Not from a network thread.
    void stop();

private:
    struct Private;
    explicit Server(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Peer
