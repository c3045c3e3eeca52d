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
    Common::InstanceId self; // Sent to the peer with each call.
    int threads { 1 }; // Peers are distributed over the threads by address.
    Common::Milliseconds callTimeout { 2000 }; // Default for calls without a timeout.
    // A machine without power does not answer the SYN, and the kernel retransmits it only after a second.
    Common::Milliseconds connectTimeout { 300 };
    // Until then, a failed connection attempt is followed by the next one almost at once, and an unanswered one by a
    // second one beside it: the peer may have started at the same time as this process.
    Common::TimePoint eagerUntil;
    Common::Milliseconds heartbeat { 500 }; // Interval of heartbeats while an answer is outstanding.
    // A connection that stays silent this long while an answer is outstanding is replaced.
    Common::Milliseconds silenceTimeout { 1500 };
    Common::Bytes maximumPending { 64 << 20 }; // Limit on unanswered payloads to one peer.
    LogicalTimeHooks logicalTime;
};

// RPC client for our other processes: one connection per peer, opened at the first call and replaced when it is lost.
class Client {
public:
    using Callback = std::function<void(Common::Result<std::string>)>;

    explicit Client(ClientOptions);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Thread-safe and non-blocking. done is called once, on a network thread, and must not block. A timeout of 0
    // means ClientOptions::callTimeout. Errors of the peer's handler are returned unchanged. Errors of this side:
    // ConnectionFailed, Overloaded, Unavailable: no byte of the call can have reached the peer.
    // ConnectionLost, DeadlineExceeded: the call may have been executed.
    void call(const Common::Address& to, Service, std::string payload, Common::Milliseconds timeout, Callback done);
    // Fails pending calls and joins the threads. Must not be called on a network thread. Later calls fail with
    // Unavailable immediately, on the caller's thread.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Peer
