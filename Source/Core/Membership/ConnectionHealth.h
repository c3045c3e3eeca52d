#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

// What one connection has done. A request counts as waiting from its last byte sent to the first byte of its answer.
struct ConnectionHealth {
    Common::TimePoint opened;
    size_t waiting { 0 };
    std::optional<Common::TimePoint> waitingSince; // Of the oldest request since the last byte that came in.
};

// What is known of a peer over all connections to it.
struct PeerHealth {
    std::optional<Common::TimePoint> lastAnswer; // On any connection.
    // When the latest connection that has answered at least once was opened.
    std::optional<Common::TimePoint> lastGoodOpening;
    std::unordered_map<Common::ConnectionId, ConnectionHealth> connections;
};

// Answers of the peer, as observed by the caller.
struct LatencyEstimate {
    Common::Milliseconds typical; // The median, or a mean.
    Common::Milliseconds slow; // A high percentile: later than this is rare.
};

enum class ConnectionStatus {
    Healthy,
    Suspect, // Late, but the peer as a whole may be slow.
    Silent, // The peer answers others: this connection will not come back.
};

void connectionOpened(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
void connectionClosed(PeerHealth&, Common::ConnectionId);
void requestSent(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
void answerReceived(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
// The caller gave up on a request, which may get no answer now.
void requestAbandoned(PeerHealth&, Common::ConnectionId);

ConnectionStatus assess(const PeerHealth&, const ConnectionHealth&, Common::TimePoint now, const LatencyEstimate&);

// If any connection is silent: it, and all that were opened before the latest good opening. Empty otherwise.
std::vector<Common::ConnectionId> connectionsToReplace(
    const PeerHealth&, Common::TimePoint now, const LatencyEstimate&);

} // namespace Membership
