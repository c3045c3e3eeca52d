#include "Peer/Channel.h"

#include "Peer/Codec.h"

#include <algorithm>
#include <utility>

namespace Peer {

namespace {

    constexpr Common::Milliseconds firstBackoff { 20 };
    constexpr Common::Milliseconds maximumBackoff { 500 };
    // Shorter than the pauses of callers that retry, so that none of their calls meets the backoff.
    constexpr Common::Milliseconds eagerBackoff { 10 };
    // A machine that is still down drops the SYN. Attempts are added, since a slow process may notice late that one has
    // succeeded.
    constexpr Common::Milliseconds eagerInterval { 60 };

    kj::Duration toDuration(Common::Milliseconds d) { return Common::Clock::toChrono(d).count() * kj::MICROSECONDS; }

} // namespace

Channel::Connection::Connection(kj::Own<kj::AsyncIoStream> s, kj::TaskSet::ErrorHandler& handler)
    : stream(kj::mv(s))
    , client(*stream)
    , endpoint(client.bootstrap().castAs<Schema::Endpoint>())
    , lastAnswer(Common::Clock::now())
    , tasks(handler)
{
}

Channel::Channel(kj::AsyncIoContext& io, const ClientOptions& options, Common::Address address)
    : m_timer(io.provider->getTimer())
    , m_network(io.provider->getNetwork())
    , m_options(options)
    , m_address(std::move(address))
    , m_tasks(*this)
{
}

Channel::~Channel()
{
    disconnect("the client is stopping");
    for (auto& [id, call] : std::exchange(m_queued, {}))
        complete(call, error(Common::Reason::Unavailable, "call", "the client is stopping"));
}

void Channel::submit(Call call)
{
    auto pending = std::make_shared<Call>(std::move(call));
    if (!m_connection && !m_isConnecting && Common::Clock::now() < m_nextAttempt)
        return complete(pending, error(Common::Reason::ConnectionFailed, "connect", "backoff after a failed attempt"));
    const uint64_t id = m_nextId++;
    if (m_connection)
        return send(id, pending);
    m_queued.emplace(id, pending);
    m_tasks.add(m_timer.afterDelay(toDuration(pending->timeout)).then([this, id] {
        auto it = m_queued.find(id);
        if (it == m_queued.end())
            return;
        auto timedOut = std::move(it->second);
        m_queued.erase(it);
        complete(timedOut, error(Common::Reason::ConnectionFailed, "connect", "no connection before the timeout"));
    }));
    if (!m_isConnecting)
        connect();
}

void Channel::connect()
{
    m_isConnecting = true;
    m_tasks.add(m_timer.timeoutAfter(toDuration(m_options.connectTimeout), attempt())
                    .then([this](kj::Own<kj::AsyncIoStream>&& it) { onConnected(kj::mv(it)); },
                        [this](kj::Exception&& e) { onConnectFailed(e.getDescription().cStr()); }));
}

bool Channel::isEager() const { return Common::Clock::now() < m_options.eagerUntil; }

kj::Promise<kj::Own<kj::AsyncIoStream>> Channel::attempt()
{
    auto stream = m_network.parseAddress(m_address.value()).then([](kj::Own<kj::NetworkAddress>&& address) {
        auto promise = address->connect();
        return promise.attach(kj::mv(address));
    });
    if (!isEager())
        return stream;
    return stream.exclusiveJoin(m_timer.afterDelay(toDuration(eagerInterval)).then([this] { return attempt(); }));
}

void Channel::onConnected(kj::Own<kj::AsyncIoStream> stream)
{
    m_isConnecting = false;
    m_backoff = Common::Milliseconds(0);
    m_connection = std::make_unique<Connection>(kj::mv(stream), static_cast<kj::TaskSet::ErrorHandler&>(*this));
    const uint64_t connectionId = ++m_connectionId;
    m_tasks.add(monitor(connectionId));
    m_connection->tasks.add(
        m_connection->client.onDisconnect().then([this] { disconnectLater("the peer closed the connection"); }));
    for (auto& [id, call] : std::exchange(m_queued, {}))
        send(id, call);
}

void Channel::onConnectFailed(const std::string& why)
{
    m_isConnecting = false;
    if (!isEager())
        m_backoff = std::clamp(m_backoff * 2, firstBackoff, maximumBackoff);
    m_nextAttempt = Common::Clock::now() + (isEager() ? eagerBackoff : m_backoff);
    for (auto& [id, call] : std::exchange(m_queued, {}))
        complete(call, error(Common::Reason::ConnectionFailed, "connect", why));
}

void Channel::send(uint64_t id, const CallPtr& call)
{
    auto request = m_connection->endpoint.callRequest();
    request.setService(static_cast<uint16_t>(call->service));
    request.setFrom(m_options.self.value());
    if (m_options.logicalTime.stamp)
        request.setLogicalTime(m_options.logicalTime.stamp());
    request.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(call->payload.data()), call->payload.size()));
    call->payload = std::string();
    if (!isAwaitingAnswer())
        m_connection->lastAnswer = Common::Clock::now();
    m_connection->hasUnansweredSend = true;
    m_connection->inFlight.emplace(id, call);
    auto answer = request.send().then(
        [this, id](capnp::Response<Schema::Endpoint::CallResults>&& response) { onAnswer(id, response); },
        [this, id](kj::Exception&& e) { onCallFailed(id, e); });
    auto timeout = m_timer.afterDelay(toDuration(call->timeout)).then([this, call] {
        complete(call, error(Common::Reason::DeadlineExceeded, "call", "no answer before the timeout"));
    });
    // The last lambda is a temporary: for a named function object, kj would keep only a reference.
    m_connection->tasks.add(
        answer.exclusiveJoin(kj::mv(timeout)).then([this, id] { m_connection->inFlight.erase(id); }));
}

void Channel::onAnswer(uint64_t id, capnp::Response<Schema::Endpoint::CallResults>& response)
{
    recordAnswer();
    if (m_options.logicalTime.observe)
        m_options.logicalTime.observe(response.getLogicalTime());
    complete(m_connection->inFlight.at(id), readResult(response, m_address.value()));
}

void Channel::onCallFailed(uint64_t id, const kj::Exception& e)
{
    const std::string why = e.getDescription().cStr();
    if (e.getType() == kj::Exception::Type::DISCONNECTED) {
        complete(m_connection->inFlight.at(id), error(Common::Reason::ConnectionLost, "call", why));
        return disconnectLater(why);
    }
    complete(m_connection->inFlight.at(id), error(Common::Reason::Internal, "call", why));
}

// True also after a call that timed out, since its connection may be broken.
bool Channel::isAwaitingAnswer() const { return m_connection->hasUnansweredSend || !m_connection->inFlight.empty(); }

void Channel::recordAnswer()
{
    m_connection->lastAnswer = Common::Clock::now();
    m_connection->hasUnansweredSend = false;
}

// While an answer is outstanding, sends heartbeats if the peer is silent, and closes a connection that accepts bytes
// without answering for longer than the silence timeout. An idle connection carries no heartbeats.
kj::Promise<void> Channel::monitor(uint64_t connectionId)
{
    return m_timer.afterDelay(toDuration(m_options.heartbeat)).then([this, connectionId]() -> kj::Promise<void> {
        if (!m_connection || m_connectionId != connectionId)
            return kj::READY_NOW;
        Common::Milliseconds silent = Common::Clock::now() - m_connection->lastAnswer;
        if (isAwaitingAnswer() && silent > m_options.silenceTimeout) {
            disconnect("no answer within the silence timeout");
            return kj::READY_NOW;
        }
        // Half an interval, since answers just after each check would otherwise double the time between heartbeats.
        if (isAwaitingAnswer() && silent * 2 > m_options.heartbeat)
            sendHeartbeat();
        return monitor(connectionId);
    });
}

void Channel::sendHeartbeat()
{
    m_connection->tasks.add(m_connection->endpoint.heartbeatRequest().send().then(
        [this](auto&&) { recordAnswer(); }, [this](kj::Exception&& e) { disconnectLater(e.getDescription().cStr()); }));
}

// A task can't destroy its own connection, since that would destroy the task. The channel does it in the next turn of
// the event loop.
void Channel::disconnectLater(std::string why)
{
    m_tasks.add(kj::evalLater([this, connectionId = m_connectionId, why = std::move(why)] {
        if (m_connectionId == connectionId)
            disconnect(why);
    }));
}

void Channel::disconnect(const std::string& why)
{
    auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    auto inFlight = std::exchange(connection->inFlight, {});
    connection.reset();
    for (auto& [id, call] : inFlight)
        complete(call, error(Common::Reason::ConnectionLost, "call", why));
}

void Channel::complete(const CallPtr& call, Common::Result<std::string> result)
{
    auto done = std::exchange(call->done, nullptr);
    if (done)
        done(std::move(result));
}

Common::Error Channel::error(Common::Reason reason, const char* step, const std::string& message) const
{
    return Common::makeError(reason, step, message, m_address.value());
}

void Channel::taskFailed(kj::Exception&& e) { disconnectLater(e.getDescription().cStr()); }

} // namespace Peer
