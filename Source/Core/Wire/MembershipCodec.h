#pragma once

#include "Common/Error.h"
#include "Membership/Gossip.h"
#include "Observe/Timeline.h"

#include <string>
#include <string_view>
#include <vector>

namespace Wire {

// A gossip message and the logical time at which it was sent.
struct GossipEnvelope {
    Membership::GossipMessage message;
    Observe::LogicalTime time;
};

// Packed Cap'n Proto. Decoding bytes that make no sense gives an error with Reason::Corrupt, never a crash.
std::string encodeGossip(const GossipEnvelope&);
Common::Result<GossipEnvelope> decodeGossip(std::string_view bytes);

std::string encodeTimeline(const std::vector<Observe::TimelineEvent>&);
Common::Result<std::vector<Observe::TimelineEvent>> decodeTimeline(std::string_view bytes);

} // namespace Wire
