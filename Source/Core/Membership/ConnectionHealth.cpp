#include "Membership/ConnectionHealth.h"

#include <algorithm>

namespace Membership {

namespace {

    // Slow responses are common, so the limits are multiples of the high latency percentile.
    constexpr double suspectFactor = 2;
    constexpr double silentFactor = 8;
    constexpr Common::Milliseconds minimumSuspect { 50 };
    constexpr Common::Milliseconds minimumSilent { 500 };

    Common::Milliseconds suspectAfter(const LatencyEstimate& latency)
    {
        return std::max(minimumSuspect, latency.slow * suspectFactor);
    }

    Common::Milliseconds silentAfter(const LatencyEstimate& latency)
    {
        return std::max(minimumSilent, latency.slow * silentFactor);
    }

    ConnectionHealth* find(PeerHealth& peer, Common::ConnectionId id)
    {
        auto it = peer.connections.find(id);
        return it == peer.connections.end() ? nullptr : &it->second;
    }

} // namespace

void connectionOpened(PeerHealth& peer, Common::ConnectionId id, Common::TimePoint now)
{
    peer.connections[id] = { now, 0, std::nullopt };
}

void connectionClosed(PeerHealth& peer, Common::ConnectionId id) { peer.connections.erase(id); }

void requestSent(PeerHealth& peer, Common::ConnectionId id, Common::TimePoint now)
{
    ConnectionHealth* connection = find(peer, id);
    if (!connection)
        return;
    if (!connection->waiting)
        connection->waitingSince = now;
    ++connection->waiting;
}

void answerReceived(PeerHealth& peer, Common::ConnectionId id, Common::TimePoint now)
{
    peer.lastAnswerAt = now;
    ConnectionHealth* connection = find(peer, id);
    if (!connection)
        return;
    if (connection->waiting)
        --connection->waiting;
    connection->waitingSince = connection->waiting ? std::optional(now) : std::nullopt;
    if (!peer.latestAnsweringOpenedAt || *peer.latestAnsweringOpenedAt < connection->openedAt)
        peer.latestAnsweringOpenedAt = connection->openedAt;
}

void requestAbandoned(PeerHealth& peer, Common::ConnectionId id)
{
    ConnectionHealth* connection = find(peer, id);
    if (connection && connection->waiting)
        --connection->waiting;
}

ConnectionStatus assess(
    const PeerHealth& peer, const ConnectionHealth& connection, Common::TimePoint now, const LatencyEstimate& latency)
{
    if (!connection.waitingSince)
        return ConnectionStatus::Healthy;
    Common::Milliseconds waited = now - *connection.waitingSince;
    if (waited < suspectAfter(latency))
        return ConnectionStatus::Healthy;
    // If all requests on the connection were abandoned, its silence is no evidence that it is broken.
    if (!connection.waiting || waited < silentAfter(latency))
        return ConnectionStatus::Suspect;
    bool othersAnswer = peer.lastAnswerAt && *peer.lastAnswerAt >= *connection.waitingSince + suspectAfter(latency);
    return othersAnswer ? ConnectionStatus::Silent : ConnectionStatus::Suspect;
}

std::vector<Common::ConnectionId> connectionsToReplace(
    const PeerHealth& peer, Common::TimePoint now, const LatencyEstimate& latency)
{
    std::vector<Common::ConnectionId> silent;
    for (const auto& [id, connection] : peer.connections) {
        if (assess(peer, connection, now, latency) == ConnectionStatus::Silent)
            silent.push_back(id);
    }
    if (silent.empty())
        return silent;
    std::vector<Common::ConnectionId> replaced;
    for (const auto& [id, connection] : peer.connections) {
        bool isSilent = std::find(silent.begin(), silent.end(), id) != silent.end();
        bool isOlder = peer.latestAnsweringOpenedAt && connection.openedAt < *peer.latestAnsweringOpenedAt;
        if (isSilent || isOlder)
            replaced.push_back(id);
    }
    std::sort(replaced.begin(), replaced.end());
    return replaced;
}

} // namespace Membership
