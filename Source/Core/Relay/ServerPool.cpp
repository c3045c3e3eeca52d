#include "Relay/ServerPool.h"

#include <algorithm>
#include <set>

namespace Relay {

using Common::Connections;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // What a server of another failure domain has to be faster by, since bytes between domains cost. About the time
    // that two requests ahead take: above that an answer that comes in time is worth more than the bytes.
    constexpr Milliseconds otherDomainCost { 80 };
    // Of one request on a connection; queries end theirs earlier.
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
            candidate.inFlight = static_cast<int64_t>(server.load.live.size());
            candidate.latency = expectedLatency(server.load, now);
            candidate.paused = server.load.pausedUntil > now;
        });
        if (usable.domain != own)
            candidate.latency += otherDomainCost / static_cast<double>(candidate.inFlight + 1);
        out.push_back(std::move(candidate));
    }
    return out;
}

std::optional<ServerPool::Lease> ServerPool::take(
    const Roster::EligibleServer& usable, Connections limit, TimePoint now)
{
    return m_servers.withValue(usable.server, [&](Server& server) -> std::optional<Lease> {
        if (static_cast<int64_t>(server.load.live.size()) >= limit.value())
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

void ServerPool::giveBack(const Common::BackendServerId& id, ConnectionPtr connection, TimePoint sentAt,
    const Outcome& outcome, TimePoint now)
{
    m_servers.ifPresent(id, [&](Server& server) {
        end(server.load, sentAt, outcome, now);
        if (connection->isOpen() && outcome.kind != Outcome::Kind::Misdirected)
            server.idle.push_back(std::move(connection));
    });
}

void ServerPool::keepOnly(const std::vector<Common::BackendServerId>& ids)
{
    std::set<Common::BackendServerId> kept(ids.begin(), ids.end());
    m_servers.eraseIf([&](const Common::BackendServerId& id, const Server& server) {
        return server.load.live.empty() && !kept.count(id);
    });
}

} // namespace Relay
