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
        if (static_cast<int64_t>(server.load.inFlight.size()) >= limit.value())
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

void ServerPool::keepOnly(const std::vector<Common::BackendServerId>& ids)
{
    std::set<Common::BackendServerId> kept(ids.begin(), ids.end());
    m_servers.eraseIf([&](const Common::BackendServerId& id, const Server& server) {
        return server.load.inFlight.empty() && !kept.count(id);
    });
}

} // namespace Relay
