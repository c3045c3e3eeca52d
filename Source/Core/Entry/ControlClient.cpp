#include "Entry/ControlClient.h"

#include "Common/ShardedMap.h"
#include "Wire/MessageCodec.h"

#include <algorithm>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;

namespace Entry {

namespace {

    struct Try {
        Common::LogShardId shard;
        std::string bytes;
        Common::TimePoint deadline;
        ControlClient::Done done;
        Milliseconds timeout;
        size_t member { 0 }; // Where the search for the leader has come to.
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

    void send(const std::shared_ptr<Try>&);
    void answered(const std::shared_ptr<Try>&, const Common::Address& from, const Common::Result<std::string>&);
    void tryNext(const std::shared_ptr<Try>&, Common::Error, const Control::LeaderHint&);
};

Common::Address ControlClient::Private::memberAt(size_t n)
{
    std::lock_guard lock(membersMutex);
    return options.members.empty() ? Common::Address() : options.members[n % options.members.size()];
}

void ControlClient::Private::send(const std::shared_ptr<Try>& t)
{
    Milliseconds left = t->deadline - Clock::now();
    if (left <= Milliseconds(0)) {
        t->done(t->lastError);
        return;
    }
    Common::Address to;
    leaders.ifPresent(t->shard, [&](Common::Address& leader) { to = leader; });
    if (to.value().empty())
        to = memberAt(t->member++);
    auto self = shared_from_this();
    peers.call(to, Peer::Service::Control, t->bytes, std::min(left, t->timeout),
        [self, t, to](const Common::Result<std::string>& result) { self->answered(t, to, result); });
}

void ControlClient::Private::answered(
    const std::shared_ptr<Try>& t, const Common::Address& from, const Common::Result<std::string>& result)
{
    if (!result) {
        tryNext(t, result.error(), {});
        return;
    }
    auto reply = Wire::decodeReply(result.value());
    if (!reply) {
        tryNext(t, reply.error(), {});
        return;
    }
    const Common::Error* error = std::visit([](const auto& r) { return errorOf(r); }, reply.value());
    // These say that the member does not lead, or lost the lead meanwhile.
    if (error && (error->reason == Reason::Unavailable || error->reason == Reason::ConnectionLost)) {
        tryNext(t, *error, hintOf(reply.value()));
        return;
    }
    leaders.withValue(t->shard, [&](Common::Address& leader) { leader = from; });
    t->done(std::move(reply));
}

void ControlClient::Private::tryNext(
    const std::shared_ptr<Try>& t, Common::Error error, const Control::LeaderHint& hint)
{
    t->lastError = std::move(error);
    leaders.withValue(t->shard, [&](Common::Address& leader) { leader = hint.value_or(Common::Address()); });
    auto self = shared_from_this();
    timers.after(hint ? Milliseconds(1) : options.retryPause, [self, t] { self->send(t); });
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
    Done done, Milliseconds tryTimeout)
{
    auto t = std::make_shared<Try>();
    t->shard = shard;
    t->bytes = Wire::encode(request);
    t->deadline = deadline;
    t->done = std::move(done);
    t->timeout = tryTimeout > Milliseconds(0) ? tryTimeout : m_private->options.callTimeout;
    // Each caller begins at another member, so that a silent one does not hold all up.
    t->member = std::hash<std::string> {}(t->bytes);
    t->lastError = Common::makeError(Reason::Unavailable, "call-control", "no control instance answered in time");
    m_private->send(t);
}

} // namespace Entry
