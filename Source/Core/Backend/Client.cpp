#include "Backend/Client.h"

#include "Backend/Json.h"
#include "Common/ShardedMap.h"
#include "Http/Connection.h"
#include "Membership/ConnectionHealth.h"
#include "Observe/Log.h"
#include "Routing/LatencyStats.h"

#include <algorithm>
#include <atomic>
#include <optional>

using Common::BackendServerId;
using Common::ConnectionId;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Observe::Part;

namespace Backend {

namespace {

    constexpr Milliseconds longestRequest { 120'000 };
    // How long after its deadline a request may still bring its answer before its connection is closed.
    constexpr Milliseconds answerGrace { 50 };
    // How long a server may take to say that it cancelled a request.
    constexpr Milliseconds cancelGrace { 500 };
    constexpr Milliseconds probeTimeout { 300 };
    constexpr Milliseconds probePause { 20 };
    constexpr int probeTries = 3;
    constexpr double slowShare = 0.99;

    // One connection in use.
    struct Lease {
        BackendServerId server;
        ConnectionId id;
        std::shared_ptr<Http::Connection> connection;
    };

    struct Peer {
        Target target;
        Common::Connections share { 1 };
        int64_t open { 0 };
        std::vector<Lease> idle;
        Membership::PeerHealth health;
        Routing::LatencyStats latency;
    };

    struct Call {
        Lease lease;
        std::string queryId;
        Common::ShardId shard;
        bool cancelled { false };
    };

    // Closes one of the idle connections.
    void dropIdle(Peer& peer, size_t at)
    {
        Membership::connectionClosed(peer.health, peer.idle[at].id);
        peer.idle.erase(peer.idle.begin() + static_cast<long>(at));
        --peer.open;
    }

    // Why a connection's request ended, as far as the pool has to know.
    enum class Ended {
        Answered,
        Broken,
    };

    Result<SearchAnswer> toSearchAnswer(const Result<Http::Response>& result, const std::string& peer)
    {
        if (!result)
            return result.error();
        const Http::Response& response = result.value();
        if (response.status == 200) {
            auto answer = decodeSearchAnswer(response.body);
            if (answer && answer.value().truncated)
                return Common::makeError(Reason::Corrupt, "read-sub-answer", "the server cut its answer short", peer);
            return answer;
        }
        std::string reason = decodeErrorReason(response.body);
        std::string message = "status " + std::to_string(response.status) + " " + reason;
        if (response.status == 409 || response.status == 400 || !Http::headerOf(response.headers, "x-not-run").empty())
            return Common::makeError(Reason::Refused, "search", message, peer);
        if (response.status == 499)
            return Common::makeError(Reason::Cancelled, "search", message, peer);
        if (response.status == 504)
            return Common::makeError(Reason::DeadlineExceeded, "search", message, peer);
        return Common::makeError(Reason::Internal, "search", message, peer);
    }

    Result<RunAnswer> toRunAnswer(const Result<Http::Response>& result, const std::string& peer)
    {
        if (!result)
            return result.error();
        const Http::Response& response = result.value();
        if (!Http::headerOf(response.headers, "x-not-run").empty())
            return Common::makeError(Reason::Refused, "run", decodeErrorReason(response.body), peer);
        // Any other server error says nothing about whether the request ran.
        if (response.status >= 500)
            return Common::makeError(Reason::ConnectionLost, "run", "status " + std::to_string(response.status), peer);
        return RunAnswer { response.status, response.contentType, response.body };
    }

    Http::Request makeSearch(const SearchRequest& request)
    {
        Http::Request out;
        out.method = "POST";
        out.path = "/v1/search";
        out.body = encodeSearch(request);
        return out;
    }

    Http::Request makeCancel(const Call& call)
    {
        Http::Request out;
        out.method = "DELETE";
        out.path = "/v1/search/" + call.queryId + "/" + std::to_string(call.shard.value());
        return out;
    }

} // namespace

struct Client::Private : std::enable_shared_from_this<Client::Private> {
    Private(Common::Timers& t, Observe::Metrics& m)
        : timers(t)
        , metrics(m)
    {
    }

    Common::Timers& timers;
    Observe::Metrics& metrics;
    std::atomic<uint64_t> nextId { 1 };
    Common::ShardedMap<BackendServerId, Peer> peers;
    Common::ShardedMap<CallId, Call> calls;

    Lease open(Peer&, const Target&, Http::Reuse);
    Result<Lease> acquire(const Target&, Http::Reuse);
    void giveBack(const Lease&, Ended, Milliseconds took, bool keep);
    void probe(const Target&, std::function<void(bool)>, int triesLeft);
    void closeAt(CallId, Milliseconds);
    void requestServerCancel(const Target&, const Call&);
    void exchange(const Lease&, const Http::Request&, std::function<void(Result<Http::Response>)>, bool keep);
    void dropConnections(const BackendServerId&, const std::vector<ConnectionId>&);
};

Lease Client::Private::open(Peer& peer, const Target& target, Http::Reuse reuse)
{
    Lease lease { target.server, ConnectionId(nextId++), nullptr };
    lease.connection = std::make_shared<Http::Connection>(target.address, reuse, longestRequest);
    ++peer.open;
    Membership::connectionOpened(peer.health, lease.id, Common::Clock::now());
    metrics.set(Observe::Gauge::Connections, static_cast<double>(peer.open), target.server.value());
    return lease;
}

Result<Lease> Client::Private::acquire(const Target& target, Http::Reuse reuse)
{
    return peers.withValue(target.server, [&](Peer& peer) -> Result<Lease> {
        if (peer.target.address != target.address) {
            // The server has started anew elsewhere; its old connections lead nowhere.
            while (!peer.idle.empty())
                dropIdle(peer, peer.idle.size() - 1);
        }
        peer.target = target;
        if (!peer.idle.empty() && reuse == Http::Reuse::Allowed) {
            Lease lease = peer.idle.back();
            peer.idle.pop_back();
            return lease;
        }
        // A fresh connection takes the place of an idle one.
        if (!peer.idle.empty())
            dropIdle(peer, peer.idle.size() - 1);
        if (peer.open >= peer.share.value())
            return Common::makeError(
                Reason::Overloaded, "connect", "no connection left in the budget", target.server.value());
        return open(peer, target, reuse);
    });
}

void Client::Private::giveBack(const Lease& lease, Ended ended, Milliseconds took, bool keep)
{
    peers.ifPresent(lease.server, [&](Peer& peer) {
        bool known = peer.health.connections.count(lease.id);
        if (ended == Ended::Answered && known) {
            Membership::answerReceived(peer.health, lease.id, Common::Clock::now());
            Routing::record(peer.latency, took);
        }
        if (ended == Ended::Answered && known && keep && peer.open <= peer.share.value()) {
            peer.idle.push_back(lease);
            return;
        }
        Membership::connectionClosed(peer.health, lease.id);
        --peer.open;
        metrics.set(Observe::Gauge::Connections, static_cast<double>(peer.open), lease.server.value());
    });
}

void Client::Private::exchange(
    const Lease& lease, const Http::Request& request, std::function<void(Result<Http::Response>)> done, bool keep)
{
    auto sentAt = Common::Clock::now();
    peers.ifPresent(lease.server, [&](Peer& peer) { Membership::requestSent(peer.health, lease.id, sentAt); });
    auto self = shared_from_this();
    lease.connection->send(request, [self, lease, sentAt, keep, done = std::move(done)](Result<Http::Response> result) {
        self->giveBack(lease, result ? Ended::Answered : Ended::Broken, Common::Clock::now() - sentAt, keep);
        done(std::move(result));
    });
}

// A process that is ending may still take a connection and drop it, so that is asked about again. One that answers
// nothing in time is slow, not gone.
void Client::Private::probe(const Target& target, std::function<void(bool)> done, int triesLeft)
{
    auto connection = std::make_shared<Http::Connection>(target.address, Http::Reuse::Never, probeTimeout);
    Http::Request request;
    request.path = "/health";
    auto self = shared_from_this();
    connection->send(request, [self, connection, target, done = std::move(done), triesLeft](const auto& result) {
        if (result || result.error().reason == Reason::DeadlineExceeded) {
            done(true);
            return;
        }
        if (result.error().reason == Reason::ConnectionFailed || triesLeft <= 1) {
            done(false);
            return;
        }
        self->timers.after(probePause, [self, target, done, triesLeft] { self->probe(target, done, triesLeft - 1); });
    });
}

// Closes a call's connection if its answer has not come by then.
void Client::Private::closeAt(CallId id, Milliseconds delay)
{
    std::weak_ptr<Private> weak = weak_from_this();
    timers.after(delay, [weak, id] {
        auto self = weak.lock();
        if (!self)
            return;
        std::shared_ptr<Http::Connection> connection;
        self->calls.ifPresent(id, [&](Call& call) { connection = call.lease.connection; });
        if (connection)
            connection->cancel();
    });
}

void Client::Private::requestServerCancel(const Target& target, const Call& call)
{
    auto lease = acquire(target, Http::Reuse::Allowed);
    if (!lease) {
        // No connection to say it on: closing the request's own one is all that is left.
        call.lease.connection->cancel();
        return;
    }
    exchange(
        lease.value(), makeCancel(call), [](const Result<Http::Response>&) {}, true);
}

void Client::Private::dropConnections(const BackendServerId& server, const std::vector<ConnectionId>& ids)
{
    std::vector<std::shared_ptr<Http::Connection>> closing;
    peers.ifPresent(server, [&](Peer& peer) {
        for (ConnectionId id : ids) {
            auto it = std::find_if(peer.idle.begin(), peer.idle.end(), [&](const Lease& l) { return l.id == id; });
            if (it == peer.idle.end())
                continue;
            dropIdle(peer, static_cast<size_t>(it - peer.idle.begin()));
        }
    });
    calls.forEach([&](CallId, Call& call) {
        if (call.lease.server == server && std::find(ids.begin(), ids.end(), call.lease.id) != ids.end())
            closing.push_back(call.lease.connection);
    });
    for (auto& connection : closing)
        connection->cancel();
    metrics.count(Observe::Counter::ConnectionsReplaced, server.value(), ids.size());
    LOG_WARNING(Part::Http, ids.size() << " silent connections to " << server << " are replaced.");
}

Client::Client(Common::Timers& timers, Observe::Metrics& metrics)
    : m_private(std::make_shared<Private>(timers, metrics))
{
}

Client::~Client() = default;

CallId Client::search(const Target& target, const SearchRequest& request, SearchDone done)
{
    auto self = m_private;
    CallId id(self->nextId++);
    auto lease = self->acquire(target, Http::Reuse::Allowed);
    if (!lease) {
        self->timers.after(Milliseconds(0), [done = std::move(done), error = lease.error()] { done(error); });
        return id;
    }
    self->metrics.change(Observe::Gauge::InFlight, 1, target.server.value());
    self->calls.insert(id, Call { lease.value(), request.queryId, request.shard });
    self->closeAt(id, request.timeLeft + answerGrace);
    self->exchange(
        lease.value(), makeSearch(request),
        [self, id, done = std::move(done), peer = target.server.value()](const Result<Http::Response>& result) {
            auto call = self->calls.take(id);
            self->metrics.change(Observe::Gauge::InFlight, -1, peer);
            if (call && call->cancelled) {
                done(Common::makeError(Reason::Cancelled, "search", "cancelled", peer));
                return;
            }
            auto answer = toSearchAnswer(result, peer);
            if (!answer && answer.error().reason == Reason::Cancelled)
                answer = Common::makeError(Reason::DeadlineExceeded, "search", "no whole answer in time", peer);
            done(std::move(answer));
        },
        true);
    return id;
}

void Client::cancelSearch(CallId id)
{
    std::optional<Call> call;
    m_private->calls.ifPresent(id, [&](Call& c) {
        if (!c.cancelled)
            call = c;
        c.cancelled = true;
    });
    if (!call)
        return;
    std::optional<Target> target;
    m_private->peers.ifPresent(call->lease.server, [&](Peer& peer) { target = peer.target; });
    if (target)
        m_private->requestServerCancel(*target, *call);
    m_private->closeAt(id, cancelGrace);
}

void Client::run(const Target& target, RunRequest request, RunDone done)
{
    auto self = m_private;
    auto lease = self->acquire(target, Http::Reuse::Never);
    if (!lease) {
        self->timers.after(Milliseconds(0), [done = std::move(done), error = lease.error()] { done(error); });
        return;
    }
    CallId id(self->nextId++);
    self->metrics.change(Observe::Gauge::InFlight, 1, target.server.value());
    self->calls.insert(id, Call { lease.value(), {}, {} });
    self->closeAt(id, request.timeLeft);
    Http::Request out;
    out.method = "POST";
    out.path = "/v1/run";
    out.headers["x-request-id"] = request.id.value();
    out.headers["x-deadline-ms"] = std::to_string(request.timeLeft.value());
    out.headers["content-type"] = request.contentType;
    out.body = std::move(request.body);
    self->exchange(
        lease.value(), out,
        [self, id, done = std::move(done), peer = target.server.value()](const Result<Http::Response>& result) {
            self->calls.take(id);
            self->metrics.change(Observe::Gauge::InFlight, -1, peer);
            auto answer = toRunAnswer(result, peer);
            if (!answer && answer.error().reason == Reason::Cancelled)
                answer = Common::makeError(Reason::DeadlineExceeded, "run", "no whole answer in time", peer);
            done(std::move(answer));
        },
        false);
}

void Client::probe(const Target& target, std::function<void(bool)> done)
{
    m_private->probe(target, std::move(done), probeTries);
}

void Client::setConnectionShare(const Target& target, Common::Connections share)
{
    m_private->peers.withValue(target.server, [&](Peer& peer) {
        if (peer.target.address.value().empty())
            peer.target = target;
        peer.share = share;
        while (!peer.idle.empty() && peer.open > share.value())
            dropIdle(peer, peer.idle.size() - 1);
    });
}

void Client::warmUp(const Target& target, Common::Connections wanted)
{
    std::vector<Lease> fresh;
    m_private->peers.withValue(target.server, [&](Peer& peer) {
        peer.target = target;
        while (peer.open < std::min(wanted.value(), peer.share.value()))
            fresh.push_back(m_private->open(peer, target, Http::Reuse::Allowed));
    });
    for (const Lease& lease : fresh) {
        Http::Request request;
        request.path = "/health";
        m_private->exchange(
            lease, request, [](const Result<Http::Response>&) {}, true);
    }
}

void Client::forget(const BackendServerId& server)
{
    m_private->peers.take(server);
    m_private->metrics.remove(Observe::Gauge::Connections, server.value());
    m_private->metrics.remove(Observe::Gauge::InFlight, server.value());
}

void Client::replaceSilentConnections(Common::TimePoint now)
{
    std::vector<std::pair<BackendServerId, std::vector<ConnectionId>>> silent;
    m_private->peers.forEach([&](const BackendServerId& server, Peer& peer) {
        Membership::LatencyEstimate estimate { Routing::mean(peer.latency),
            Routing::quantile(peer.latency, slowShare) };
        auto ids = Membership::connectionsToReplace(peer.health, now, estimate);
        if (!ids.empty())
            silent.emplace_back(server, std::move(ids));
    });
    for (auto& [server, ids] : silent)
        m_private->dropConnections(server, ids);
}

} // namespace Backend
