#include "Membership/ConnectionHealth.h"

#include <gtest/gtest.h>

using namespace Membership;
using Common::ConnectionId;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const TimePoint start { Milliseconds(1'000) };
const LatencyEstimate latency { Milliseconds(4), Milliseconds(100) };
const ConnectionId oldIdle { 1 };
const ConnectionId oldBusy { 2 };
const ConnectionId fresh { 3 };

TimePoint at(double milliseconds) { return start + Milliseconds(milliseconds); }

// A peer with two old connections. A request was sent on one of them and got no response.
PeerHealth peerWithAWaitingConnection()
{
    PeerHealth peer;
    connectionOpened(peer, oldIdle, at(0));
    connectionOpened(peer, oldBusy, at(0));
    requestSent(peer, oldBusy, at(1'000));
    return peer;
}

ConnectionStatus statusAt(const PeerHealth& peer, ConnectionId id, TimePoint now)
{
    return assess(peer, peer.connections.at(id), now, latency);
}

} // namespace

TEST(ConnectionHealth, ASlowPeerIsNotSilent)
{
    PeerHealth peer = peerWithAWaitingConnection();
    EXPECT_EQ(statusAt(peer, oldBusy, at(1'100)), ConnectionStatus::Healthy);
    EXPECT_EQ(statusAt(peer, oldBusy, at(1'300)), ConnectionStatus::Suspect);
    EXPECT_EQ(statusAt(peer, oldBusy, at(60'000)), ConnectionStatus::Suspect);
    EXPECT_EQ(statusAt(peer, oldIdle, at(60'000)), ConnectionStatus::Healthy);
    EXPECT_TRUE(connectionsToReplace(peer, at(60'000), latency).empty());
}

TEST(ConnectionHealth, ASilentConnectionIsReplacedWithAllOlderOnes)
{
    PeerHealth peer = peerWithAWaitingConnection();
    connectionOpened(peer, fresh, at(1'400));
    requestSent(peer, fresh, at(1'400));
    answerReceived(peer, fresh, at(1'410));
    EXPECT_EQ(statusAt(peer, oldBusy, at(1'700)), ConnectionStatus::Suspect) << "a slow response may take this long";
    EXPECT_EQ(statusAt(peer, oldBusy, at(1'800)), ConnectionStatus::Silent);
    EXPECT_EQ(connectionsToReplace(peer, at(1'800), latency), (std::vector { oldIdle, oldBusy }));
}

TEST(ConnectionHealth, AResponseMakesTheConnectionHealthy)
{
    PeerHealth peer = peerWithAWaitingConnection();
    requestSent(peer, oldBusy, at(1'000));
    answerReceived(peer, oldBusy, at(1'900));
    EXPECT_EQ(statusAt(peer, oldBusy, at(2'000)), ConnectionStatus::Healthy)
        << "the wait for the second request starts at the first response";
    answerReceived(peer, oldBusy, at(2'100));
    EXPECT_EQ(statusAt(peer, oldBusy, at(60'000)), ConnectionStatus::Healthy);
}

TEST(ConnectionHealth, AnAbandonedRequestIsNoEvidenceOfSilence)
{
    PeerHealth peer = peerWithAWaitingConnection();
    requestAbandoned(peer, oldBusy);
    requestSent(peer, oldIdle, at(5'000));
    answerReceived(peer, oldIdle, at(5'004));
    EXPECT_EQ(statusAt(peer, oldBusy, at(6'000)), ConnectionStatus::Suspect);
    requestSent(peer, oldBusy, at(6'000));
    EXPECT_EQ(statusAt(peer, oldBusy, at(6'010)), ConnectionStatus::Healthy);
    connectionClosed(peer, oldBusy);
    answerReceived(peer, oldBusy, at(6'020)); // A late response on a closed connection.
    EXPECT_EQ(peer.connections.size(), 1u);
}
