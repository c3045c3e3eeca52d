#include "Peer/Server.h"

#include "Peer/Codec.h"
#include "Peer/EventLoop.h"

#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Peer {

namespace {

    constexpr int listenBacklog = 512;
    constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;
    constexpr int keepAliveSeconds = 5;

    using ResultPtr = std::shared_ptr<const Common::Result<std::string>>;

    struct Handlers {
        std::map<Service, Handler> byService;
        LogicalTimeHooks logicalTime;
    };

    // The calls of one event loop that wait for their reply. Used on the loop's thread only.
    struct PendingCalls {
        uint64_t nextId { 0 };
        std::unordered_map<uint64_t, kj::Own<kj::PromiseFulfiller<ResultPtr>>> byId;
    };

    // Forwards the first reply to a call from any thread to the loop that owns the call; ignores later ones.
    class OneShotReply {
    public:
        OneShotReply(std::weak_ptr<EventLoop> loop, std::weak_ptr<PendingCalls> calls, uint64_t id)
            : m_loop(std::move(loop))
            , m_calls(std::move(calls))
            , m_id(id)
        {
        }

        ~OneShotReply()
        {
            send(Common::makeError(Common::Reason::Internal, "handle-call", "the handler gave no reply"));
        }
        OneShotReply(const OneShotReply&) = delete;
        OneShotReply& operator=(const OneShotReply&) = delete;

        void send(Common::Result<std::string> result)
        {
            if (m_isSent.exchange(true))
                return;
            auto loop = m_loop.lock();
            if (!loop)
                return;
            auto shared = std::make_shared<const Common::Result<std::string>>(std::move(result));
            loop->post([calls = m_calls, id = m_id, shared = std::move(shared)]() mutable {
                auto pending = calls.lock();
                if (!pending)
                    return;
                auto it = pending->byId.find(id);
                if (it == pending->byId.end())
                    return;
                it->second->fulfill(std::move(shared));
                pending->byId.erase(it);
            });
        }

    private:
        std::weak_ptr<EventLoop> m_loop;
        std::weak_ptr<PendingCalls> m_calls;
        uint64_t m_id;
        std::atomic<bool> m_isSent { false };
    };

    class EndpointServer final : public Schema::Endpoint::Server {
    public:
        EndpointServer(std::shared_ptr<const Handlers> handlers, std::weak_ptr<EventLoop> loop,
            std::shared_ptr<PendingCalls> calls)
            : m_handlers(std::move(handlers))
            , m_loop(std::move(loop))
            , m_calls(std::move(calls))
        {
        }

        kj::Promise<void> call(CallContext context) override
        {
            const auto params = context.getParams();
            const LogicalTimeHooks& time = m_handlers->logicalTime;
            if (time.observe)
                time.observe(params.getLogicalTime());
            auto it = m_handlers->byService.find(static_cast<Service>(params.getService()));
            if (it == m_handlers->byService.end()) {
                const auto error
                    = Common::makeError(Common::Reason::NotFound, "handle-call", "no handler for this service");
                finish(context, error);
                return kj::READY_NOW;
            }
            auto pair = kj::newPromiseAndFulfiller<ResultPtr>();
            const uint64_t id = m_calls->nextId++;
            m_calls->byId.emplace(id, kj::mv(pair.fulfiller));
            auto reply = std::make_shared<OneShotReply>(m_loop, m_calls, id);
            const auto payload = params.getPayload();
            it->second(Common::InstanceId(params.getFrom().cStr()),
                std::string_view(reinterpret_cast<const char*>(payload.begin()), payload.size()),
                [reply = std::move(reply)](Common::Result<std::string> result) { reply->send(std::move(result)); });
            context.releaseParams();
            return pair.promise.then([this, context](const ResultPtr& result) mutable { finish(context, *result); });
        }

        kj::Promise<void> heartbeat(HeartbeatContext) override { return kj::READY_NOW; }

    private:
        void finish(CallContext& context, const Common::Result<std::string>& result)
        {
            auto out = context.getResults();
            if (m_handlers->logicalTime.stamp)
                out.setLogicalTime(m_handlers->logicalTime.stamp());
            writeResult(result, out);
        }

        std::shared_ptr<const Handlers> m_handlers;
        std::weak_ptr<EventLoop> m_loop;
        std::shared_ptr<PendingCalls> m_calls;
    };

    // State of one event loop: its listener, connections and pending calls.
    class LoopState : private kj::TaskSet::ErrorHandler {
    public:
        explicit LoopState(kj::AsyncIoContext& io)
            : m_io(io)
        {
        }

        void start(int listenFd, std::shared_ptr<const Handlers> handlers, std::weak_ptr<EventLoop> loop)
        {
            m_server = kj::heap<capnp::TwoPartyServer>(
                kj::heap<EndpointServer>(std::move(handlers), std::move(loop), m_calls));
            m_listener = m_io.lowLevelProvider->wrapListenSocketFd(
                ::dup(listenFd), kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
            m_tasks = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
            m_tasks->add(acceptConnections());
        }

    private:
        kj::Promise<void> acceptConnections()
        {
            return m_listener->accept().then(
                [this](kj::Own<kj::AsyncIoStream>&& stream) {
                    enableKeepAlive(*stream);
                    m_server->accept(kj::mv(stream));
                    return acceptConnections();
                },
                [this](kj::Exception&&) {
                    // The usual cause is running out of file descriptors; closing connections free some.
                    return m_io.provider->getTimer().afterDelay(acceptRetryDelay).then([this] {
                        return acceptConnections();
                    });
                });
        }

        // Clients send heartbeats; TCP keep-alive detects clients that disappear without closing the connection.
        static void enableKeepAlive(kj::AsyncIoStream& stream)
        {
            const int on = 1;
            const int seconds = keepAliveSeconds;
            stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
            stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
            stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
        }

        void taskFailed(kj::Exception&&) override { }

        kj::AsyncIoContext& m_io;
        std::shared_ptr<PendingCalls> m_calls { std::make_shared<PendingCalls>() };
        kj::Own<capnp::TwoPartyServer> m_server;
        kj::Own<kj::ConnectionReceiver> m_listener;
        kj::Own<kj::TaskSet> m_tasks; // Declared last, so destroyed first.
    };

    Common::Error listenError(const Common::Address& address, const std::string& message)
    {
        return Common::makeError(Common::Reason::Unavailable, "listen", message, address.value());
    }

    Common::Result<sockaddr_in> parseAddress(const Common::Address& address)
    {
        const std::string& text = address.value();
        const size_t colon = text.rfind(':');
        sockaddr_in in {};
        in.sin_family = AF_INET;
        uint16_t port = 0;
        if (colon == std::string::npos || !::inet_aton(text.substr(0, colon).c_str(), &in.sin_addr))
            return listenError(address, "the address is not IP:PORT");
        const char* end = text.data() + text.size();
        auto [last, ec] = std::from_chars(text.data() + colon + 1, end, port);
        if (ec != std::errc() || last != end)
            return listenError(address, "the address is not IP:PORT");
        in.sin_port = htons(port);
        return in;
    }

} // namespace

struct Server::Private {
    ~Private()
    {
        if (fd >= 0)
            ::close(fd);
    }

    int fd { -1 };
    Common::Address address;
    std::shared_ptr<Handlers> handlers { std::make_shared<Handlers>() };
    // Replies may outlive the server, so they hold weak references to the loops.
    std::vector<std::shared_ptr<EventLoop>> loops;
    std::vector<std::weak_ptr<LoopState>> states;
};

Server::Server(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

Server::~Server() { stop(); }

Common::Result<std::unique_ptr<Server>> Server::listen(const Common::Address& address, int threads)
{
    BOOST_OUTCOME_TRY(in, parseAddress(address));
    auto d = std::make_unique<Private>();
    d->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(d->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t size = sizeof(in);
    auto* raw = reinterpret_cast<sockaddr*>(&in);
    if (d->fd < 0 || ::bind(d->fd, raw, size) || ::getsockname(d->fd, raw, &size))
        return listenError(address, std::strerror(errno));
    d->address = Common::Address(std::string(::inet_ntoa(in.sin_addr)) + ':' + std::to_string(ntohs(in.sin_port)));
    for (int i = 0; i < threads; ++i) {
        d->loops.push_back(std::make_shared<EventLoop>([&](kj::AsyncIoContext& io) {
            auto state = std::make_shared<LoopState>(io);
            d->states.push_back(state);
            return state;
        }));
    }
    return std::unique_ptr<Server>(new Server(std::move(d)));
}

void Server::handle(Service service, Handler handler) { m_private->handlers->byService[service] = std::move(handler); }

void Server::setLogicalTimeHooks(LogicalTimeHooks hooks) { m_private->handlers->logicalTime = std::move(hooks); }

void Server::start()
{
    ::listen(m_private->fd, listenBacklog);
    for (size_t i = 0; i < m_private->loops.size(); ++i) {
        auto& loop = m_private->loops[i];
        loop->post([fd = m_private->fd, handlers = m_private->handlers, state = m_private->states[i],
                       it = std::weak_ptr<EventLoop>(loop)] {
            if (auto self = state.lock())
                self->start(fd, handlers, it);
        });
    }
}

Common::Address Server::address() const { return m_private->address; }

void Server::stop()
{
    for (auto& loop : m_private->loops)
        loop->stop();
}

} // namespace Peer
