#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Peer/Types.h"

#include <functional>
#include <memory>
#include <string>

namespace Peer {

struct ClientOptions {
    Common::InstanceId self; // Told to the peer with each call.
    int threads { 1 }; // Peers are spread over them by address.
    Common::Milliseconds callTimeout { 2000 }; // Of calls that name none.
    // A machine without power answers no request to connect, and the system asks again only after a second.
    Common::Milliseconds connectTimeout { 300 };
    Common::Milliseconds heartbeat { 500 }; // Between two heartbeats while an answer is awaited.
    Common::Milliseconds silenceTimeout { 1500 }; // A connection that owes an answer for so long is replaced.
    Common::Bytes maximumPending { 64 << 20 }; // Of unanswered payloads to one peer.
    LogicalTimeHooks logicalTime;
};

// Calls our other processes, over one connection to each, opened at the first call and replaced when it is lost.
class Client {
public:
    using Done = std::function<void(Common::Result<std::string>)>;

    explicit Client(ClientOptions);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // From any thread; never blocks. done is called once, on a network thread, and must not block. A timeout of 0
    // means ClientOptions::callTimeout. An error of the peer's handler comes back as that handler gave it. Of this
    // side's errors:
    // ConnectionFailed, Overloaded, Unavailable: no byte of the call can have reached the peer.
    // ConnectionLost, DeadlineExceeded: the call may have run.
    void call(const Common::Address& to, Service, std::string payload, Common::Milliseconds timeout, Done done);
    // Fails what is pending and joins the threads. Not from a network thread. Later calls fail with Unavailable, at
    // once and on the caller's thread.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Peer
