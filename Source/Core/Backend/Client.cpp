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

    constexpr Milliseconds maximumRequestTime { 120'000 };
    // How long after its deadline a request may still be answered before its connection is closed.
    constexpr Milliseconds answerGrace { 50 };
    // How long a server may take to confirm a cancellation before the connection is closed.
    constexpr Milliseconds cancelGrace { 500 };
    constexpr Milliseconds probeTimeout { 300 };
    constexpr Milliseconds probeRetryDelay { 20 };
    constexpr int probeAttempts = 3;
    constexpr double slowQuantile = 0.99;

    struct PooledConnection {
        BackendServerId server;
        ConnectionId id;
        std::shared_ptr<Http::Connection> connection;
    };

    struct Peer {
        Target target;
        Common::Connections share { 1 };
        int64_t open { 0 };
        std::vector<PooledConnection> idle;
        Membership::PeerHealth health;
        Routing::LatencyStats latency;
    };

    struct Call {
        PooledConnection pooled;
        std::string queryId;
        Common::ShardId shard;
        bool cancelled { false };
    };

    void closeIdle(Peer& peer, size_t index)
    {
        Membership::connectionClosed(peer.health, peer.idle[index].id);
        peer.idle.erase(peer.idle.begin() + static_cast<long>(index));
        --peer.open;
    }

    // Whether an exchange leaves its connection usable.
    enum class ExchangeOutcome {
        Answered,
        Failed,
    };

    Result<SearchAnswer> toSearchAnswer(const Result<Http::Response>& result, const std::string& peer)
    {
        if (!result)
            return result.error();
        const Http::Response& response = result.value();
        if (response.status == 200) {
            auto answer = decodeSearchAnswer(response.body);
            if (answer && answer.value().truncated)
                return Common::makeError(Reason::Corrupt, "read-sub-answer", "the server truncated its answer", peer);
            return answer;
        }
        std::string reason = decodeErrorReason(response.body);
        std::string message = "status " + std::to_string(response.status) + " " + reason;
        if (response.status == 409 || response.status == 400 || Http::findField(response.fields, "x-not-run"))
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
        if (Http::findField(response.fields, "x-not-run"))
            return Common::makeError(Reason::Refused, "run", decodeErrorReason(response.body), peer);
        // Any other 5xx leaves it unknown whether the request was executed.
        if (response.status >= 500)
            return Common::makeError(Reason::ConnectionLost, "run", "status " + std::to_string(response.status), peer);
        return RunAnswer { response.status, response.contentType, response.body };
    }

    Http::Request makeSearchRequest(const SearchRequest& request)
    {
        Http::Request out;
        out.method = "POST";
        out.path = "/v1/search";
        out.body = encodeSearch(request);
        return out;
    }

    Http::Request makeCancelRequest(const Call& call)
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

    PooledConnection openConnection(Peer&, const Target&, Http::Reuse);
    Result<PooledConnection> acquire(const Target&, Http::Reuse);
    void release(const PooledConnection&, ExchangeOutcome, Milliseconds took, bool keep);
    void probe(const Target&, std::function<void(bool)>, int attemptsLeft);
    void closeAfter(CallId, Milliseconds);
    void sendCancel(const Target&, const Call&);
    void exchange(
        const PooledConnection&, const Http::Request&, std::function<void(Result<Http::Response>)>, bool keep);
    void replaceConnections(const BackendServerId&, const std::vector<ConnectionId>&);
};

PooledConnection Client::Private::openConnection(Peer& peer, const Target& target, Http::Reuse reuse)
{
    PooledConnection pooled { target.server, ConnectionId(nextId++), nullptr };
    pooled.connection = std::make_shared<Http::Connection>(target.address, reuse, maximumRequestTime);
    ++peer.open;
    Membership::connectionOpened(peer.health, pooled.id, Common::Clock::now());
    metrics.set(Observe::Gauge::Connections, static_cast<double>(peer.open), target.server.value());
    return pooled;
}

Result<PooledConnection> Client::Private::acquire(const Target& target, Http::Reuse reuse)
{
    return peers.withValue(target.server, [&](Peer& peer) -> Result<PooledConnection> {
        if (peer.target.address != target.address) {
            // The server restarted at another address; the old connections are stale.
            while (!peer.idle.empty())
                closeIdle(peer, peer.idle.size() - 1);
        }
        peer.target = target;
        if (!peer.idle.empty() && reuse == Http::Reuse::Allowed) {
            PooledConnection pooled = peer.idle.back();
            peer.idle.pop_back();
            return pooled;
        }
        // Frees a slot of the connection budget for a new connection.
        if (!peer.idle.empty())
            closeIdle(peer, peer.idle.size() - 1);
        if (peer.open >= peer.share.value())
            return Common::makeError(
                Reason::Overloaded, "connect", "no connection left in the budget", target.server.value());
        return openConnection(peer, target, reuse);
    });
}

void Client::Private::release(const PooledConnection& pooled, ExchangeOutcome outcome, Milliseconds took, bool keep)
{
    peers.ifPresent(pooled.server, [&](Peer& peer) {
        bool known = peer.health.connections.count(pooled.id);
        if (outcome == ExchangeOutcome::Answered && known) {
            Membership::answerReceived(peer.health, pooled.id, Common::Clock::now());
            Routing::record(peer.latency, took);
        }
        if (outcome == ExchangeOutcome::Answered && known && keep && peer.open <= peer.share.value()) {
            peer.idle.push_back(pooled);
            return;
        }
        Membership::connectionClosed(peer.health, pooled.id);
        --peer.open;
        metrics.set(Observe::Gauge::Connections, static_cast<double>(peer.open), pooled.server.value());
    });
}

void Client::Private::exchange(const PooledConnection& pooled, const Http::Request& request,
    std::function<void(Result<Http::Response>)> done, bool keep)
{
    auto sentAt = Common::Clock::now();
    peers.ifPresent(pooled.server, [&](Peer& peer) { Membership::requestSent(peer.health, pooled.id, sentAt); });
    auto self = shared_from_this();
    pooled.connection->send(
        request, [self, pooled, sentAt, keep, done = std::move(done)](Result<Http::Response> result) {
            self->release(pooled, result ? ExchangeOutcome::Answered : ExchangeOutcome::Failed,
                Common::Clock::now() - sentAt, keep);
            done(std::move(result));
        });
}

// A process that is shutting down may still accept a connection and drop it, so a lost connection is retried. A timeout
// means that the server is slow, not that it is down.
void Client::Private::probe(const Target& target, std::function<void(bool)> done, int attemptsLeft)
{
    auto connection = std::make_shared<Http::Connection>(target.address, Http::Reuse::Never, probeTimeout);
    Http::Request request;
    request.path = "/health";
    auto self = shared_from_this();
    connection->send(request, [self, connection, target, done = std::move(done), attemptsLeft](const auto& result) {
        if (result || result.error().reason == Reason::DeadlineExceeded) {
            done(true);
            return;
        }
        if (result.error().reason == Reason::ConnectionFailed || attemptsLeft <= 1) {
            done(false);
            return;
        }
        self->timers.after(
            probeRetryDelay, [self, target, done, attemptsLeft] { self->probe(target, done, attemptsLeft - 1); });
    });
}

// Closes a call's connection if it has no answer after the delay.
void Client::Private::closeAfter(CallId id, Milliseconds delay)
{
    std::weak_ptr<Private> weak = weak_from_this();
    timers.after(delay, [weak, id] {
        auto self = weak.lock();
        if (!self)
            return;
        std::shared_ptr<Http::Connection> connection;
        self->calls.ifPresent(id, [&](Call& call) { connection = call.pooled.connection; });
        if (connection)
            connection->cancel();
    });
}

void Client::Private::sendCancel(const Target& target, const Call& call)
{
    auto pooled = acquire(target, Http::Reuse::Allowed);
    if (!pooled) {
        // Without a connection for the cancel request, closes the search's own connection instead.
        call.pooled.connection->cancel();
        return;
    }
    exchange(
        pooled.value(), makeCancelRequest(call), [](const Result<Http::Response>&) {}, true);
}

void Client::Private::replaceConnections(const BackendServerId& server, const std::vector<ConnectionId>& ids)
{
    std::vector<std::shared_ptr<Http::Connection>> closing;
    peers.ifPresent(server, [&](Peer& peer) {
        for (ConnectionId id : ids) {
            auto it = std::find_if(
                peer.idle.begin(), peer.idle.end(), [&](const PooledConnection& p) { return p.id == id; });
            if (it == peer.idle.end())
                continue;
            closeIdle(peer, static_cast<size_t>(it - peer.idle.begin()));
        }
    });
    calls.forEach([&](CallId, Call& call) {
        if (call.pooled.server == server && std::find(ids.begin(), ids.end(), call.pooled.id) != ids.end())
            closing.push_back(call.pooled.connection);
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
    auto pooled = self->acquire(target, Http::Reuse::Allowed);
    if (!pooled) {
        self->timers.after(Milliseconds(0), [done = std::move(done), error = pooled.error()] { done(error); });
        return id;
    }
    self->metrics.change(Observe::Gauge::InFlight, 1, target.server.value());
    self->calls.insert(id, Call { pooled.value(), request.queryId, request.shard });
    self->closeAfter(id, request.timeLeft + answerGrace);
    self->exchange(
        pooled.value(), makeSearchRequest(request),
        [self, id, done = std::move(done), peer = target.server.value()](const Result<Http::Response>& result) {
            auto call = self->calls.take(id);
            self->metrics.change(Observe::Gauge::InFlight, -1, peer);
            if (call && call->cancelled) {
                done(Common::makeError(Reason::Cancelled, "search", "cancelled", peer));
                return;
            }
            auto answer = toSearchAnswer(result, peer);
            if (!answer && answer.error().reason == Reason::Cancelled)
                answer = Common::makeError(Reason::DeadlineExceeded, "search", "no complete answer in time", peer);
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
    m_private->peers.ifPresent(call->pooled.server, [&](Peer& peer) { target = peer.target; });
    if (target)
        m_private->sendCancel(*target, *call);
    m_private->closeAfter(id, cancelGrace);
}

void Client::run(const Target& target, RunRequest request, RunDone done)
{
    auto self = m_private;
    auto pooled = self->acquire(target, Http::Reuse::Never);
    if (!pooled) {
        self->timers.after(Milliseconds(0), [done = std::move(done), error = pooled.error()] { done(error); });
        return;
    }
    CallId id(self->nextId++);
    self->metrics.change(Observe::Gauge::InFlight, 1, target.server.value());
    self->calls.insert(id, Call { pooled.value(), {}, {} });
    self->closeAfter(id, request.timeLeft);
    Http::Request out;
    out.method = "POST";
    out.path = "/v1/run";
    out.headers["x-request-id"] = request.id.value();
    out.headers["x-deadline-ms"] = std::to_string(request.timeLeft.value());
    out.headers["content-type"] = request.contentType;
    out.body = std::move(request.body);
    self->exchange(
        pooled.value(), out,
        [self, id, done = std::move(done), peer = target.server.value()](const Result<Http::Response>& result) {
            self->calls.take(id);
            self->metrics.change(Observe::Gauge::InFlight, -1, peer);
            auto answer = toRunAnswer(result, peer);
            if (!answer && answer.error().reason == Reason::Cancelled)
                answer = Common::makeError(Reason::DeadlineExceeded, "run", "no complete answer in time", peer);
            done(std::move(answer));
        },
        false);
}

void Client::probe(const Target& target, std::function<void(bool)> done)
{
    m_private->probe(target, std::move(done), probeAttempts);
}

void Client::setConnectionShare(const Target& target, Common::Connections share)
{
    m_private->peers.withValue(target.server, [&](Peer& peer) {
        if (peer.target.address.value().empty())
            peer.target = target;
        peer.share = share;
        while (!peer.idle.empty() && peer.open > share.value())
            closeIdle(peer, peer.idle.size() - 1);
    });
}

void Client::warmUp(const Target& target, Common::Connections wanted)
{
    std::vector<PooledConnection> opened;
    m_private->peers.withValue(target.server, [&](Peer& peer) {
        peer.target = target;
        while (peer.open < std::min(wanted.value(), peer.share.value()))
            opened.push_back(m_private->openConnection(peer, target, Http::Reuse::Allowed));
    });
    for (const PooledConnection& pooled : opened) {
        Http::Request request;
        request.path = "/health";
        m_private->exchange(
            pooled, request, [](const Result<Http::Response>&) {}, true);
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
            Routing::quantile(peer.latency, slowQuantile) };
        auto ids = Membership::connectionsToReplace(peer.health, now, estimate);
        if (!ids.empty())
            silent.emplace_back(server, std::move(ids));
    });
    for (auto& [server, ids] : silent)
        m_private->replaceConnections(server, ids);
}

} // namespace Backend
