#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Peer/Client.h"
#include "Peer/Peer.capnp.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace Peer {

// One call on its way. Part of the private side of this library.
struct Call {
    Service service {};
    std::string payload;
    Common::Milliseconds timeout;
    Client::Done done; // Empty once it was called.
};

// One peer as a client's loop sees it: at most one connection, and the calls that wait for it or for their answer.
// Lives on the loop's thread. Part of the private side of this library.
class Link : private kj::TaskSet::ErrorHandler {
public:
    // The references must outlive the link.
    Link(kj::AsyncIoContext&, const ClientOptions&, Common::Address);
    // Fails all pending calls.
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    void add(Call);

private:
    using CallPtr = std::shared_ptr<Call>;
    using CallMap = std::unordered_map<uint64_t, CallPtr>;

    // A connection and all that ends with it.
    struct Connection {
        Connection(kj::Own<kj::AsyncIoStream>, kj::TaskSet::ErrorHandler&);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        Schema::Endpoint::Client endpoint;
        Common::TimePoint lastAnswer; // While the peer owes none: the last time at which that was so.
        bool isUnheard { false }; // Nothing has come since the last call was sent.
        CallMap sent;
        kj::TaskSet tasks; // Last: goes first.
    };

    void connect();
    void connected(kj::Own<kj::AsyncIoStream>);
    void connectFailed(const std::string& why);
    void send(uint64_t id, const CallPtr&);
    void answered(uint64_t id, capnp::Response<Schema::Endpoint::CallResults>&);
    void failed(uint64_t id, const kj::Exception&);
    kj::Promise<void> watch(uint64_t connectionId);
    bool owesAnswer() const;
    void heard();
    void sendHeartbeat();
    void dropLater(std::string why);
    void drop(const std::string& why);
    static void finish(const CallPtr&, Common::Result<std::string>);
    Common::Error error(Common::Reason, const char* step, const std::string& message) const;
    void taskFailed(kj::Exception&&) override;

    kj::Timer& m_timer;
    kj::Network& m_network;
    const ClientOptions& m_options;
    const Common::Address m_address;
    uint64_t m_nextId { 0 };
    uint64_t m_connectionId { 0 };
    bool m_isConnecting { false };
    Common::Milliseconds m_backoff;
    Common::TimePoint m_nextAttempt;
    CallMap m_waiting;
    std::unique_ptr<Connection> m_connection;
    kj::TaskSet m_tasks; // Last: goes first.
};

} // namespace Peer
