#include "Entry/ControlClient.h"

#include "Common/ShardedMap.h"
#include "Wire/MessageCodec.h"

#include <algorithm>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;

namespace Entry {

namespace {

    struct PendingCall {
        Common::LogShardId shard;
        std::string bytes;
        Common::TimePoint deadline;
        ControlClient::Done done;
        Milliseconds attemptTimeout;
        size_t nextMember { 0 }; // The member that the search for the leader tries next.
        Common::Error lastError;
    };

    Control::LeaderHint hintOf(const Control::Reply& reply)
    {
        return std::visit([](const auto& r) { return r.leader; }, reply);
    }

    const Common::Error* errorOf(const Control::ReleaseReply& reply) { return reply.error ? &*reply.error : nullptr; }

    template <typename T> const Common::Error* errorOf(const T& reply)
    {
        return std::get_if<Common::Error>(&reply.result);
    }

} // namespace

struct ControlClient::Private : std::enable_shared_from_this<ControlClient::Private> {
    Private(ControlClientOptions o, Peer::Client& p, Common::Timers& t)
        : options(std::move(o))
        , peers(p)
        , timers(t)
    {
    }

    ControlClientOptions options;
    Peer::Client& peers;
    Common::Timers& timers;
    Common::ShardedMap<Common::LogShardId, Common::Address> leaders;
    std::mutex membersMutex; // Guards options.members.

    Common::Address memberAt(size_t n);

    void send(const std::shared_ptr<PendingCall>&);
    void onReply(const std::shared_ptr<PendingCall>&, const Common::Address& from, const Common::Result<std::string>&);
    void retry(const std::shared_ptr<PendingCall>&, Common::Error, const Control::LeaderHint&);
};

Common::Address ControlClient::Private::memberAt(size_t n)
{
    std::lock_guard lock(membersMutex);
    return options.members.empty() ? Common::Address() : options.members[n % options.members.size()];
}

void ControlClient::Private::send(const std::shared_ptr<PendingCall>& pending)
{
    Milliseconds left = pending->deadline - Clock::now();
    if (left <= Milliseconds(0)) {
        pending->done(pending->lastError);
        return;
    }
    Common::Address to;
    leaders.ifPresent(pending->shard, [&](Common::Address& leader) { to = leader; });
    if (to.value().empty())
        to = memberAt(pending->nextMember++);
    auto self = shared_from_this();
    peers.call(to, Peer::Service::Control, pending->bytes, std::min(left, pending->attemptTimeout),
        [self, pending, to](const Common::Result<std::string>& result) { self->onReply(pending, to, result); });
}

void ControlClient::Private::onReply(
    const std::shared_ptr<PendingCall>& pending, const Common::Address& from, const Common::Result<std::string>& result)
{
    if (!result) {
        retry(pending, result.error(), {});
        return;
    }
    auto reply = Wire::decodeReply(result.value());
    if (!reply) {
        retry(pending, reply.error(), {});
        return;
    }
    const Common::Error* error = std::visit([](const auto& r) { return errorOf(r); }, reply.value());
    // The member is not the leader, or lost leadership during the call.
    if (error && (error->reason == Reason::Unavailable || error->reason == Reason::ConnectionLost)) {
        retry(pending, *error, hintOf(reply.value()));
        return;
    }
    leaders.withValue(pending->shard, [&](Common::Address& leader) { leader = from; });
    pending->done(std::move(reply));
}

void ControlClient::Private::retry(
    const std::shared_ptr<PendingCall>& pending, Common::Error error, const Control::LeaderHint& hint)
{
    pending->lastError = std::move(error);
    leaders.withValue(pending->shard, [&](Common::Address& leader) { leader = hint.value_or(Common::Address()); });
    auto self = shared_from_this();
    timers.after(hint ? Milliseconds(1) : options.retryDelay, [self, pending] { self->send(pending); });
}

ControlClient::ControlClient(ControlClientOptions options, Peer::Client& peers, Common::Timers& timers)
    : m_private(std::make_shared<Private>(std::move(options), peers, timers))
{
}

ControlClient::~ControlClient() = default;

void ControlClient::setMembers(std::vector<Common::Address> members)
{
    std::lock_guard lock(m_private->membersMutex);
    m_private->options.members = std::move(members);
}

void ControlClient::call(Common::LogShardId shard, const Control::Request& request, Common::TimePoint deadline,
    Done done, Milliseconds attemptTimeout)
{
    auto pending = std::make_shared<PendingCall>();
    pending->shard = shard;
    pending->bytes = Wire::encode(request);
    pending->deadline = deadline;
    pending->done = std::move(done);
    pending->attemptTimeout = attemptTimeout > Milliseconds(0) ? attemptTimeout : m_private->options.callTimeout;
    // The first member depends on the request, so an unresponsive member does not delay every call.
    pending->nextMember = std::hash<std::string> {}(pending->bytes);
    pending->lastError = Common::makeError(Reason::Unavailable, "call-control", "no control instance answered in time");
    m_private->send(pending);
}

} // namespace Entry
