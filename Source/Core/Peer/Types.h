#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Peer {

// Selects the handler of a call in the other process. This library does not interpret the payload.
enum class Service : uint16_t { Consensus, Control, Gossip, Observe, Roster, Relay };

// Answers a call. Thread-safe; may be called after the handler has returned. Calls after the first are ignored. If all
// copies are destroyed without a call, the answer is an error with Reason::Internal.
using Reply = std::function<void(Common::Result<std::string>)>;

// Called on a network thread; must not block. The payload is valid only during the call.
using Handler = std::function<void(const Common::InstanceId& from, std::string_view payload, Reply reply)>;

// Exchange logical time with peers, for the event timeline. Either may be empty. Called on network threads.
struct LogicalTimeHooks {
    std::function<uint64_t()> stamp; // Returns the logical time to send with a message.
    std::function<void(uint64_t)> observe; // Receives the logical time of an incoming message.
};

} // namespace Peer
