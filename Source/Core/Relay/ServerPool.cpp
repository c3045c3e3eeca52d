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

    RateAccess accessOf(const Targets& targets, size_t index)
    {
        return targets.access.empty() ? RateAccess {} : targets.access[index];
    }

    void applyCold(Limits::ServerRate& rate, Common::Incarnation incarnation,
        const std::optional<Limits::ColdRate>& cold, TimePoint now)
    {
        if (cold || rate.cold)
            Limits::setCold(rate, incarnation, cold, now);
    }

    Limits::PaceSample sampleOf(const Outcome& outcome, std::optional<Milliseconds> usual)
    {
        switch (outcome.kind) {
        case Outcome::Kind::Answered:
            return Limits::sampleOf(outcome.took, usual);
        case Outcome::Kind::Cancelled: {
            // The time taken is a lower bound.
            auto sample = Limits::sampleOf(outcome.took, usual);
            return sample == Limits::PaceSample::Slow ? sample : Limits::PaceSample::None;
        }
        case Outcome::Kind::Failed:
        case Outcome::Kind::Shed:
        case Outcome::Kind::Unusable:
            return Limits::PaceSample::Refused;
        case Outcome::Kind::Unreachable:
            return Limits::PaceSample::Unreachable;
        case Outcome::Kind::Misdirected:
            return Limits::PaceSample::None;
        }
        return Limits::PaceSample::None;
    }

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
            if (m_pace == Pace::Unlimited)
                return;
            Limits::observe(server.pace, usable.incarnation, candidate.cold);
            if (Limits::paceOpensIn(server.pace, server.load.inFlight.size(), now))
                candidate.paused = true;
        });
        if (usable.domain != own)
            candidate.latency += otherDomainCost / static_cast<double>(candidate.inFlight + 1);
        out.push_back(std::move(candidate));
    }
    return out;
}

std::optional<ServerPool::Lease> ServerPool::acquire(
    const Targets& targets, size_t index, Connections limit, TimePoint now)
{
    const Roster::EligibleServer& usable = (*targets.servers)[index];
    RateAccess access = accessOf(targets, index);
    return m_servers.withValue(usable.server, [&](Server& server) -> std::optional<Lease> {
        size_t inFlight = server.load.inFlight.size();
        if (static_cast<int64_t>(inFlight) >= limit.value()
            || !Limits::mayReceive(server.notices, usable.incarnation, inFlight, now))
            return std::nullopt;
        bool hasEnteredPace = false;
        if (m_pace == Pace::Adaptive) {
            Limits::observe(server.pace, usable.incarnation, usable.warmAt > now);
            if (Limits::paceOpensIn(server.pace, inFlight, now))
                return std::nullopt;
            hasEnteredPace = server.pace.isPaced && !server.isPaceReported;
        }
        applyCold(server.rate, usable.incarnation, access.cold, now);
        auto role = Limits::roleOf(server.rate, access.role, now);
        if (!Limits::tryTakeToken(server.rate, usable.incarnation, role, access.instances, now))
            return std::nullopt;
        begin(server.load, now);
        Limits::paceStarted(server.pace, now);
        server.isPaceReported = server.pace.isPaced;
        while (!server.idle.empty()) {
            ConnectionPtr connection = std::move(server.idle.back());
            server.idle.pop_back();
            if (connection->isOpen())
                return Lease { std::move(connection), false, hasEnteredPace };
        }
        return Lease { std::make_shared<Http::Connection>(usable.address, Http::Reuse::Allowed, requestBound), true,
            hasEnteredPace };
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

// Other servers that are paced themselves count only if there are no others.
ServerPool::UsualTime ServerPool::usualTimeOf(
    const std::vector<Roster::EligibleServer>& servers, const PacedRequest& request)
{
    struct Times {
        std::vector<Milliseconds> longTerm;
        std::vector<Milliseconds> recent;
    };
    Times steady;
    Times paced;
    std::optional<Milliseconds> own;
    for (const Roster::EligibleServer& other : servers) {
        m_servers.ifPresent(other.server, [&](Server& server) {
            auto longTerm = Limits::longTermTime(server.usual, request.route);
            auto recent = Limits::recentTime(server.usual, request.route);
            if (other.server == request.server) {
                own = longTerm;
            } else if (longTerm && recent) {
                Times& times = server.pace.isPaced ? paced : steady;
                times.longTerm.push_back(*longTerm);
                times.recent.push_back(*recent);
            }
        });
    }
    Times& others = steady.recent.empty() ? paced : steady;
    UsualTime usual { Limits::medianTime(std::move(others.longTerm)), Limits::medianTime(std::move(others.recent)) };
    if (!usual.longTerm)
        usual.longTerm = own;
    return usual;
}

PaceChange ServerPool::recordPace(
    const std::vector<Roster::EligibleServer>& servers, const PacedRequest& request, Connections limit, TimePoint now)
{
    if (m_pace == Pace::Unlimited)
        return PaceChange::None;
    auto usual = usualTimeOf(servers, request);
    Limits::PacedEnd ended { request.incarnation, sampleOf(request.outcome, usual.longTerm),
        sampleOf(request.outcome, usual.recent) == Limits::PaceSample::Slow, request.outcome.took, request.sentAt };
    auto change = PaceChange::None;
    m_servers.ifPresent(request.server, [&](Server& server) {
        if (request.outcome.kind == Outcome::Kind::Answered)
            Limits::recordAnswer(server.usual, request.route, request.outcome.took);
        Limits::paceEnded(server.pace, ended, limit, now);
        if (server.pace.isPaced == server.isPaceReported)
            return;
        server.isPaceReported = server.pace.isPaced;
        change = server.pace.isPaced ? PaceChange::Entered : PaceChange::Left;
    });
    return change;
}

bool ServerPool::record(const Common::BackendServerId& id, Common::Incarnation incarnation,
    const Limits::ServerNotice& notice, bool isServed, bool hasRun, TimePoint now)
{
    bool hasRateChanged = false;
    m_servers.ifPresent(id, [&](Server& server) {
        Limits::recordNotice(server.notices, incarnation, notice, isServed, now);
        hasRateChanged = Limits::recordRate(server.rate.named, incarnation, notice, hasRun, now);
    });
    if (notice.limit)
        m_hasNamedRates = true;
    return hasRateChanged;
}

std::optional<Common::RequestRate> ServerPool::namedRate(
    const Common::BackendServerId& id, Common::Incarnation incarnation)
{
    std::optional<Common::RequestRate> rate;
    m_servers.ifPresent(id, [&](Server& server) { rate = Limits::rateOf(server.rate.named, incarnation); });
    return rate;
}

std::optional<Limits::RateClaim> ServerPool::ask(const Targets& targets, size_t index, size_t wanted, TimePoint now)
{
    const Roster::EligibleServer& usable = (*targets.servers)[index];
    RateAccess access = accessOf(targets, index);
    std::optional<Limits::RateClaim> claim;
    m_servers.ifPresent(usable.server, [&](Server& server) {
        applyCold(server.rate, usable.incarnation, access.cold, now);
        if (Limits::roleOf(server.rate, access.role, now) == Limits::RateRole::Asker)
            claim = Limits::ask(server.rate, usable.server, usable.incarnation, wanted, now);
    });
    return claim;
}

void ServerPool::answerAsk(
    const Common::BackendServerId& id, const std::optional<Limits::RateGrant>& answer, TimePoint now)
{
    m_servers.ifPresent(id, [&](Server& server) { Limits::answerAsk(server.rate, answer, now); });
}

Limits::RateGrant ServerPool::grant(
    const Limits::RateClaim& claim, Limits::RateRole role, TimePoint now, const std::optional<Limits::ColdRate>& cold)
{
    // A claim without a rate is for a cold server.
    if (claim.rate > Common::RequestRate(0))
        m_hasNamedRates = true;
    return m_servers.withValue(claim.server, [&](Server& server) {
        applyCold(server.rate, claim.incarnation, cold, now);
        return Limits::grant(server.rate, claim, role, now);
    });
}

bool ServerPool::hasOpenServer(const Targets& targets, const std::vector<Common::BackendServerId>& avoid, TimePoint now)
{
    for (size_t i = 0; i < targets.servers->size(); ++i) {
        const Roster::EligibleServer& usable = (*targets.servers)[i];
        if (std::find(avoid.begin(), avoid.end(), usable.server) != avoid.end())
            continue;
        bool isOpen = true;
        RateAccess access = accessOf(targets, i);
        m_servers.ifPresent(usable.server, [&](Server& server) {
            applyCold(server.rate, usable.incarnation, access.cold, now);
            auto role = Limits::roleOf(server.rate, access.role, now);
            isOpen = Limits::mayReceive(server.notices, usable.incarnation, 0, now)
                && Limits::isWithinRate(server.rate, usable.incarnation, role, access.instances, now);
        });
        if (isOpen)
            return true;
    }
    return false;
}

std::optional<Milliseconds> ServerPool::reopensIn(const Targets& targets, TimePoint now)
{
    std::optional<Milliseconds> first;
    for (size_t i = 0; i < targets.servers->size(); ++i) {
        const Roster::EligibleServer& usable = (*targets.servers)[i];
        RateAccess access = accessOf(targets, i);
        m_servers.ifPresent(usable.server, [&](Server& server) {
            applyCold(server.rate, usable.incarnation, access.cold, now);
            auto role = Limits::roleOf(server.rate, access.role, now);
            auto closed = Limits::reopensIn(server.notices, usable.incarnation, now);
            auto limited = Limits::rateReopensIn(server.rate, usable.incarnation, role, access.instances, now);
            if (closed || limited) {
                Milliseconds time = std::max(closed.value_or(Milliseconds(0)), limited.value_or(Milliseconds(0)));
                first = std::min(first.value_or(time), time);
            }
        });
    }
    return first;
}

std::optional<Milliseconds> ServerPool::nextSendIn(
    const Targets& targets, const std::vector<Common::BackendServerId>& avoid, TimePoint now)
{
    std::optional<Milliseconds> first;
    for (size_t i = 0; i < targets.servers->size(); ++i) {
        const Roster::EligibleServer& usable = (*targets.servers)[i];
        if (std::find(avoid.begin(), avoid.end(), usable.server) != avoid.end())
            continue;
        RateAccess access = accessOf(targets, i);
        m_servers.ifPresent(usable.server, [&](Server& server) {
            if (!Limits::mayReceive(server.notices, usable.incarnation, 0, now))
                return;
            applyCold(server.rate, usable.incarnation, access.cold, now);
            std::optional<Milliseconds> wait;
            if (m_pace == Pace::Adaptive)
                wait = Limits::paceOpensIn(server.pace, server.load.inFlight.size(), now);
            auto role = Limits::roleOf(server.rate, access.role, now);
            auto limited = Limits::rateReopensIn(server.rate, usable.incarnation, role, access.instances, now);
            if (limited && Limits::isCold(server.rate, usable.incarnation, now))
                wait = std::max(wait.value_or(*limited), *limited);
            else if (limited)
                wait.reset(); // A limit that the server names: its end is no reason to wait.
            if (wait)
                first = std::min(first.value_or(*wait), *wait);
        });
    }
    return first;
}

ServerPool::Usage ServerPool::usage()
{
    Usage usage;
    m_servers.forEach([&](const Common::BackendServerId&, Server& server) {
        usage.slots += server.load.inFlight.size();
        usage.paced += server.isPaceReported ? 1 : 0;
        usage.connections += server.load.inFlight.size() + server.idle.size();
    });
    return usage;
}

void ServerPool::keepOnly(const std::vector<Common::BackendServerId>& ids)
{
    std::set<Common::BackendServerId> kept(ids.begin(), ids.end());
    size_t remembered = 0;
    m_servers.eraseIf([&](const Common::BackendServerId& id, const Server& server) {
        if (!server.load.inFlight.empty() || kept.count(id))
            return false;
        bool isClosed = server.notices.isLeaving || server.notices.isReopening || server.rate.named.rate;
        return !isClosed || ++remembered > maximumRemembered;
    });
}

} // namespace Relay
