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

// One call that is queued or in flight. Internal to this library.
struct Call {
    Service service {};
    std::string payload;
    Common::Milliseconds timeout;
    Client::Callback done; // Empty after it was called.
};

// Calls to one peer: at most one connection, and the calls that wait for it or for their answer. Reconnects with
// backoff. Used on the event loop's thread only. Internal to this library.
class Channel : private kj::TaskSet::ErrorHandler {
public:
    // The io context and the options must outlive the channel.
    Channel(kj::AsyncIoContext&, const ClientOptions&, Common::Address);
    // Fails all pending calls.
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    void submit(Call);

private:
    using CallPtr = std::shared_ptr<Call>;
    using CallMap = std::unordered_map<uint64_t, CallPtr>;

    // A connection with the calls and tasks that end with it.
    struct Connection {
        Connection(kj::Own<kj::AsyncIoStream>, kj::TaskSet::ErrorHandler&);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        Schema::Endpoint::Client endpoint;
        Common::TimePoint lastAnswer; // Or the time of the first send after an idle period.
        bool hasUnansweredSend { false }; // Nothing was received since the last call was sent.
        CallMap inFlight;
        kj::TaskSet tasks; // Declared last, so destroyed first.
    };

    void connect();
    kj::Promise<kj::Own<kj::AsyncIoStream>> attempt();
    bool isEager() const;
    void onConnected(kj::Own<kj::AsyncIoStream>);
    void onConnectFailed(const std::string& why);
    void send(uint64_t id, const CallPtr&);
    void onAnswer(uint64_t id, capnp::Response<Schema::Endpoint::CallResults>&);
    void onCallFailed(uint64_t id, const kj::Exception&);
    kj::Promise<void> monitor(uint64_t connectionId);
    bool isAwaitingAnswer() const;
    void recordAnswer();
    void sendHeartbeat();
    void disconnectLater(std::string why);
    void disconnect(const std::string& why);
    static void complete(const CallPtr&, Common::Result<std::string>);
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
    CallMap m_queued;
    std::unique_ptr<Connection> m_connection;
    kj::TaskSet m_tasks; // Declared last, so destroyed first.
};

} // namespace Peer
