#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Peer {

// Who in the other process takes the bytes of a call. Peer knows nothing of what they mean.
enum class Service : uint16_t { Consensus, Control, Gossip, Observe, Roster, Relay };

// Answers a call. May be called from any thread, now or later; calls after the first are ignored. A Reply that is
// destroyed without a call answers with Reason::Internal.
using Reply = std::function<void(Common::Result<std::string>)>;

// Called on a network thread: must not block. The payload is valid only during the call.
using Handler = std::function<void(const Common::InstanceId& from, std::string_view payload, Reply reply)>;

// Carries logical time for the time line of events; either may be empty. Called on network threads.
struct LogicalTimeHooks {
    std::function<uint64_t()> stamp; // The logical time to send with a message.
    std::function<void(uint64_t)> observe; // The logical time that came with one.
};

} // namespace Peer
