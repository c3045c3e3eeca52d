#include "Peer/Link.h"

#include "Peer/Codec.h"

#include <algorithm>
#include <utility>

namespace Peer {

namespace {

    constexpr Common::Milliseconds firstBackoff { 20 };
    constexpr Common::Milliseconds maximumBackoff { 500 };

    kj::Duration toDuration(Common::Milliseconds d) { return Common::Clock::toChrono(d).count() * kj::MICROSECONDS; }

} // namespace

Link::Connection::Connection(kj::Own<kj::AsyncIoStream> s, kj::TaskSet::ErrorHandler& handler)
    : stream(kj::mv(s))
    , client(*stream)
    , endpoint(client.bootstrap().castAs<Schema::Endpoint>())
    , lastAnswer(Common::Clock::now())
    , tasks(handler)
{
}

Link::Link(kj::AsyncIoContext& io, const ClientOptions& options, Common::Address address)
    : m_timer(io.provider->getTimer())
    , m_network(io.provider->getNetwork())
    , m_options(options)
    , m_address(std::move(address))
    , m_tasks(*this)
{
}

Link::~Link()
{
    drop("the client stops");
    for (auto& [id, call] : std::exchange(m_waiting, {}))
        finish(call, error(Common::Reason::Unavailable, "call", "the client stops"));
}

void Link::add(Call call)
{
    auto it = std::make_shared<Call>(std::move(call));
    if (!m_connection && !m_isConnecting && Common::Clock::now() < m_nextAttempt)
        return finish(it, error(Common::Reason::ConnectionFailed, "connect", "the last attempt failed just now"));
    const uint64_t id = m_nextId++;
    if (m_connection)
        return send(id, it);
    m_waiting.emplace(id, it);
    m_tasks.add(m_timer.afterDelay(toDuration(it->timeout)).then([this, id] {
        auto found = m_waiting.find(id);
        if (found == m_waiting.end())
            return;
        auto late = std::move(found->second);
        m_waiting.erase(found);
        finish(late, error(Common::Reason::ConnectionFailed, "connect", "no connection in time"));
    }));
    if (!m_isConnecting)
        connect();
}

void Link::connect()
{
    m_isConnecting = true;
    auto stream = m_network.parseAddress(m_address.value()).then([](kj::Own<kj::NetworkAddress>&& address) {
        auto promise = address->connect();
        return promise.attach(kj::mv(address));
    });
    m_tasks.add(m_timer.timeoutAfter(toDuration(m_options.connectTimeout), kj::mv(stream))
                    .then([this](kj::Own<kj::AsyncIoStream>&& it) { connected(kj::mv(it)); },
                        [this](kj::Exception&& e) { connectFailed(e.getDescription().cStr()); }));
}

void Link::connected(kj::Own<kj::AsyncIoStream> stream)
{
    m_isConnecting = false;
    m_backoff = Common::Milliseconds(0);
    m_connection = std::make_unique<Connection>(kj::mv(stream), static_cast<kj::TaskSet::ErrorHandler&>(*this));
    const uint64_t connectionId = ++m_connectionId;
    m_tasks.add(watch(connectionId));
    m_connection->tasks.add(m_connection->client.onDisconnect().then([this] { dropLater("the peer closed"); }));
    for (auto& [id, call] : std::exchange(m_waiting, {}))
        send(id, call);
}

void Link::connectFailed(const std::string& why)
{
    m_isConnecting = false;
    m_backoff = std::clamp(m_backoff * 2, firstBackoff, maximumBackoff);
    m_nextAttempt = Common::Clock::now() + m_backoff;
    for (auto& [id, call] : std::exchange(m_waiting, {}))
        finish(call, error(Common::Reason::ConnectionFailed, "connect", why));
}

void Link::send(uint64_t id, const CallPtr& call)
{
    auto request = m_connection->endpoint.callRequest();
    request.setService(static_cast<uint16_t>(call->service));
    request.setFrom(m_options.self.value());
    if (m_options.logicalTime.stamp)
        request.setLogicalTime(m_options.logicalTime.stamp());
    request.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(call->payload.data()), call->payload.size()));
    call->payload = std::string();
    if (!owesAnswer())
        m_connection->lastAnswer = Common::Clock::now();
    m_connection->isUnheard = true;
    m_connection->sent.emplace(id, call);
    auto answer = request.send().then(
        [this, id](capnp::Response<Schema::Endpoint::CallResults>&& response) { answered(id, response); },
        [this, id](kj::Exception&& e) { failed(id, e); });
    auto timeout = m_timer.afterDelay(toDuration(call->timeout)).then([this, call] {
        finish(call, error(Common::Reason::DeadlineExceeded, "call", "no answer in time"));
    });
    // kj keeps a reference to a function that is not a temporary.
    m_connection->tasks.add(answer.exclusiveJoin(kj::mv(timeout)).then([this, id] { m_connection->sent.erase(id); }));
}

void Link::answered(uint64_t id, capnp::Response<Schema::Endpoint::CallResults>& response)
{
    heard();
    if (m_options.logicalTime.observe)
        m_options.logicalTime.observe(response.getLogicalTime());
    finish(m_connection->sent.at(id), readResult(response, m_address.value()));
}

void Link::failed(uint64_t id, const kj::Exception& e)
{
    const std::string why = e.getDescription().cStr();
    if (e.getType() == kj::Exception::Type::DISCONNECTED) {
        finish(m_connection->sent.at(id), error(Common::Reason::ConnectionLost, "call", why));
        return dropLater(why);
    }
    finish(m_connection->sent.at(id), error(Common::Reason::Internal, "call", why));
}

// A call that timed out counts too: its connection may be of no use any more.
bool Link::owesAnswer() const { return m_connection->isUnheard || !m_connection->sent.empty(); }

void Link::heard()
{
    m_connection->lastAnswer = Common::Clock::now();
    m_connection->isUnheard = false;
}

// While the peer owes an answer, sends heartbeats when it says nothing by itself, and drops a connection that has taken
// bytes and answered nothing for too long. An idle connection costs nothing.
kj::Promise<void> Link::watch(uint64_t connectionId)
{
    return m_timer.afterDelay(toDuration(m_options.heartbeat)).then([this, connectionId]() -> kj::Promise<void> {
        if (!m_connection || m_connectionId != connectionId)
            return kj::READY_NOW;
        Common::Milliseconds silent = Common::Clock::now() - m_connection->lastAnswer;
        if (owesAnswer() && silent > m_options.silenceTimeout) {
            drop("no heartbeat was answered");
            return kj::READY_NOW;
        }
        // Half an interval, so that answers just after each look do not double the time between heartbeats.
        if (owesAnswer() && silent * 2 > m_options.heartbeat)
            sendHeartbeat();
        return watch(connectionId);
    });
}

void Link::sendHeartbeat()
{
    m_connection->tasks.add(m_connection->endpoint.heartbeatRequest().send().then(
        [this](auto&&) { heard(); }, [this](kj::Exception&& e) { dropLater(e.getDescription().cStr()); }));
}

// A task of the connection can't destroy the connection, and so itself; the link does that in the next turn.
void Link::dropLater(std::string why)
{
    m_tasks.add(kj::evalLater([this, connectionId = m_connectionId, why = std::move(why)] {
        if (m_connectionId == connectionId)
            drop(why);
    }));
}

void Link::drop(const std::string& why)
{
    auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    auto sent = std::exchange(connection->sent, {});
    connection.reset();
    for (auto& [id, call] : sent)
        finish(call, error(Common::Reason::ConnectionLost, "call", why));
}

void Link::finish(const CallPtr& call, Common::Result<std::string> result)
{
    auto done = std::exchange(call->done, nullptr);
    if (done)
        done(std::move(result));
}

Common::Error Link::error(Common::Reason reason, const char* step, const std::string& message) const
{
    return Common::makeError(reason, step, message, m_address.value());
}

void Link::taskFailed(kj::Exception&& e) { dropLater(e.getDescription().cStr()); }

} // namespace Peer
