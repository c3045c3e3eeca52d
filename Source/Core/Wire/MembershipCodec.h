#pragma once

#include "Common/Error.h"
#include "Membership/Gossip.h"
#include "Observe/Timeline.h"

#include <string>
#include <string_view>
#include <vector>

namespace Wire {

// A gossip message with the logical time of its sending.
struct GossipEnvelope {
    Membership::GossipMessage message;
    Observe::LogicalTime time;
};

// Packed Cap'n Proto. Decoding malformed bytes gives an error with Reason::Corrupt.
std::string encodeGossip(const GossipEnvelope&);
Common::Result<GossipEnvelope> decodeGossip(std::string_view bytes);

std::string encodeTimeline(const std::vector<Observe::TimelineEvent>&);
Common::Result<std::vector<Observe::TimelineEvent>> decodeTimeline(std::string_view bytes);

} // namespace Wire
