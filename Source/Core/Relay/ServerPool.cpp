#include "Relay/ServerPool.h"

#include <algorithm>
#include <set>

namespace Relay {

using Common::Connections;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // Latency added to servers of other failure domains, since traffic between domains has a cost. About the time of
    // two queued requests: beyond that, an answer in time is worth more than the traffic.
    constexpr Milliseconds otherDomainCost { 80 };
    // Servers that said that they leave or are closed are remembered in case they are reported again, at most this
    // many.
    constexpr size_t maximumRemembered = 1'000;
    // Timeout of one request on a connection. Queries end earlier.
    constexpr Milliseconds requestBound { 70'000 };

} // namespace

std::vector<Routing::Candidate> ServerPool::candidates(const std::vector<Roster::EligibleServer>& servers,
    Connections limit, const Common::FailureDomain& own, TimePoint now)
{
    std::vector<Routing::Candidate> out;
    out.reserve(servers.size());
    for (const Roster::EligibleServer& usable : servers) {
        Routing::Candidate candidate;
        candidate.server = usable.server;
        candidate.domain = usable.domain;
        candidate.limit = static_cast<double>(limit.value());
        candidate.cold = usable.warmAt > now;
        m_servers.withValue(usable.server, [&](Server& server) {
            candidate.inFlight = static_cast<int64_t>(server.load.inFlight.size());
            candidate.latency = expectedLatency(server.load, now);
            candidate.paused = server.load.pausedUntil > now;
        });
        if (usable.domain != own)
            candidate.latency += otherDomainCost / static_cast<double>(candidate.inFlight + 1);
        out.push_back(std::move(candidate));
    }
    return out;
}

std::optional<ServerPool::Lease> ServerPool::acquire(
    const Roster::EligibleServer& usable, Connections limit, TimePoint now)
{
    return m_servers.withValue(usable.server, [&](Server& server) -> std::optional<Lease> {
        size_t inFlight = server.load.inFlight.size();
        if (static_cast<int64_t>(inFlight) >= limit.value()
            || !Limits::mayReceive(server.notices, usable.incarnation, inFlight, now))
            return std::nullopt;
        begin(server.load, now);
        while (!server.idle.empty()) {
            ConnectionPtr connection = std::move(server.idle.back());
            server.idle.pop_back();
            if (connection->isOpen())
                return Lease { std::move(connection), false };
        }
        return Lease { std::make_shared<Http::Connection>(usable.address, Http::Reuse::Allowed, requestBound), true };
    });
}

void ServerPool::release(const Common::BackendServerId& id, ConnectionPtr connection, TimePoint sentAt,
    const Outcome& outcome, TimePoint now)
{
    m_servers.ifPresent(id, [&](Server& server) {
        end(server.load, sentAt, outcome, now);
        bool isTrusted = outcome.kind != Outcome::Kind::Misdirected && outcome.kind != Outcome::Kind::Unusable;
        if (connection->isOpen() && isTrusted)
            server.idle.push_back(std::move(connection));
    });
}

void ServerPool::record(const Common::BackendServerId& id, Common::Incarnation incarnation,
    const Limits::ServerNotice& notice, bool isServed, TimePoint now)
{
    m_servers.ifPresent(
        id, [&](Server& server) { Limits::recordNotice(server.notices, incarnation, notice, isServed, now); });
}

bool ServerPool::hasOpenServer(const std::vector<Roster::EligibleServer>& servers,
    const std::vector<Common::BackendServerId>& avoid, TimePoint now)
{
    return std::any_of(servers.begin(), servers.end(), [&](const Roster::EligibleServer& usable) {
        bool isOpen = std::find(avoid.begin(), avoid.end(), usable.server) == avoid.end();
        if (isOpen) {
            m_servers.ifPresent(usable.server,
                [&](Server& server) { isOpen = Limits::mayReceive(server.notices, usable.incarnation, 0, now); });
        }
        return isOpen;
    });
}

std::optional<Milliseconds> ServerPool::reopensIn(const std::vector<Roster::EligibleServer>& servers, TimePoint now)
{
    std::optional<Milliseconds> first;
    for (const Roster::EligibleServer& usable : servers) {
        m_servers.ifPresent(usable.server, [&](Server& server) {
            auto time = Limits::reopensIn(server.notices, usable.incarnation, now);
            if (time)
                first = std::min(first.value_or(*time), *time);
        });
    }
    return first;
}

void ServerPool::keepOnly(const std::vector<Common::BackendServerId>& ids)
{
    std::set<Common::BackendServerId> kept(ids.begin(), ids.end());
    size_t remembered = 0;
    m_servers.eraseIf([&](const Common::BackendServerId& id, const Server& server) {
        if (!server.load.inFlight.empty() || kept.count(id))
            return false;
        bool isClosed = server.notices.isLeaving || server.notices.isReopening;
        return !isClosed || ++remembered > maximumRemembered;
    });
}

} // namespace Relay
