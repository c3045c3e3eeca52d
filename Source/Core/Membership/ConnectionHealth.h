#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

// Activity of one connection. A request is waiting from the last byte sent until the first byte of its response.
struct ConnectionHealth {
    Common::TimePoint openedAt;
    size_t waiting { 0 };
    // When the oldest waiting request was sent, or the last response arrived if that was later.
    std::optional<Common::TimePoint> waitingSince;
};

// Activity of a peer over all connections to it.
struct PeerHealth {
    std::optional<Common::TimePoint> lastAnswerAt; // On any connection.
    // Opening time of the newest connection that has received at least one response.
    std::optional<Common::TimePoint> latestAnsweringOpenedAt;
    std::unordered_map<Common::ConnectionId, ConnectionHealth> connections;
};

// Response times of the peer, measured by the caller.
struct LatencyEstimate {
    Common::Milliseconds typical; // The median or a mean.
    Common::Milliseconds slow; // A high percentile.
};

enum class ConnectionStatus {
    Healthy,
    Suspect, // A response is late, but the whole peer may be slow.
    Silent, // The peer responds on other connections but not on this one, which is considered broken.
};

void connectionOpened(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
void connectionClosed(PeerHealth&, Common::ConnectionId);
void requestSent(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
void answerReceived(PeerHealth&, Common::ConnectionId, Common::TimePoint now);
// The caller stopped waiting for a request, which may never get a response.
void requestAbandoned(PeerHealth&, Common::ConnectionId);

ConnectionStatus assess(const PeerHealth&, const ConnectionHealth&, Common::TimePoint now, const LatencyEstimate&);

// The silent connections and, if there are any, all connections opened before the newest one that has responded.
std::vector<Common::ConnectionId> connectionsToReplace(
    const PeerHealth&, Common::TimePoint now, const LatencyEstimate&);

} // namespace Membership
