#include "StandIn/FaultProxy.h"

#include <array>
#include <atomic>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace StandIn {

namespace {

    namespace Asio = boost::asio;
    using Tcp = Asio::ip::tcp;
    using Ec = boost::system::error_code;

    constexpr size_t proxyBufferSize = 16 << 10;

    // A client connection and the matching connection to the HTTP listener. All handlers run on its strand.
    class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
    public:
        using Closed = std::function<void(const std::shared_ptr<ProxiedConnection>&)>;

        ProxiedConnection(Asio::io_context& io, Tcp::socket client, Closed closed)
            : m_strand(Asio::make_strand(io))
            , m_client(std::move(client))
            , m_server(io)
            , m_timer(io)
            , m_closed(std::move(closed))
        {
        }

        void start(const Tcp::endpoint& target, Common::Milliseconds connectTime)
        {
            m_timer.expires_after(Common::Clock::toChrono(connectTime));
            m_timer.async_wait(Asio::bind_executor(m_strand, [self = shared_from_this(), target](Ec ec) {
                if (!ec)
                    self->connect(target);
            }));
        }

        void silence() { m_silent = true; }

        void close()
        {
            Asio::post(m_strand, [self = shared_from_this()] { self->closeNow(); });
        }

    private:
        struct Direction {
            Tcp::socket& from;
            Tcp::socket& to;
            std::array<char, proxyBufferSize> buf {};
        };

        void connect(const Tcp::endpoint& target)
        {
            if (m_isClosed)
                return;
            m_server.async_connect(target, Asio::bind_executor(m_strand, [self = shared_from_this()](Ec ec) {
                if (ec)
                    return self->closeNow();
                Ec ignored;
                self->m_client.set_option(Tcp::no_delay(true), ignored);
                self->m_server.set_option(Tcp::no_delay(true), ignored);
                self->read(self->m_toServer);
                self->read(self->m_toClient);
            }));
        }

        void read(Direction& direction)
        {
            direction.from.async_read_some(Asio::buffer(direction.buf),
                Asio::bind_executor(m_strand, [self = shared_from_this(), &direction](Ec ec, size_t n) {
                    if (ec)
                        return self->handleReadError(direction, ec);
                    // A silent connection discards incoming requests, and the sender sees no error. Answers to earlier
                    // requests are still forwarded.
                    if (self->m_silent && &direction == &self->m_toServer)
                        return self->read(direction);
                    self->write(direction, n);
                }));
        }

        void write(Direction& direction, size_t n)
        {
            Asio::async_write(direction.to, Asio::buffer(direction.buf.data(), n),
                Asio::bind_executor(m_strand, [self = shared_from_this(), &direction](Ec ec, size_t) {
                    if (ec)
                        return self->closeNow();
                    self->read(direction);
                }));
        }

        // Forwards a half-close: a client may shut down its sending side and still wait for the answer.
        void handleReadError(Direction& direction, Ec ec)
        {
            if (ec != Asio::error::eof || m_silent || &direction == &m_toClient)
                return closeNow();
            Ec ignored;
            direction.to.shutdown(Tcp::socket::shutdown_send, ignored);
        }

        void closeNow()
        {
            if (std::exchange(m_isClosed, true))
                return;
            Ec ignored;
            m_timer.cancel(ignored);
            m_client.close(ignored);
            m_server.close(ignored);
            m_closed(shared_from_this());
        }

        Asio::strand<Asio::io_context::executor_type> m_strand;
        Tcp::socket m_client;
        Tcp::socket m_server;
        Asio::steady_timer m_timer;
        Closed m_closed;
        Direction m_toServer { m_client, m_server };
        Direction m_toClient { m_server, m_client };
        std::atomic<bool> m_silent { false };
        bool m_isClosed { false };
    };

} // namespace

struct FaultProxyThreads::Private {
    Asio::io_context io;
    Asio::executor_work_guard<Asio::io_context::executor_type> guard { io.get_executor() };
    std::vector<std::thread> threads;
};

FaultProxyThreads::FaultProxyThreads(int threads)
    : m_private(std::make_unique<Private>())
{
    for (int i = 0; i < threads; ++i)
        m_private->threads.emplace_back([this] { m_private->io.run(); });
}

FaultProxyThreads::~FaultProxyThreads()
{
    m_private->guard.reset();
    m_private->io.stop();
    for (auto& thread : m_private->threads)
        thread.join();
}

struct FaultProxy::Private : std::enable_shared_from_this<FaultProxy::Private> {
    Private(Asio::io_context& context, FaultProxyOptions o, Tcp::endpoint t)
        : io(context)
        , options(std::move(o))
        , target(std::move(t))
        , acceptor(context)
    {
    }

    void accept();
    void admit(Tcp::socket);
    void remove(const std::shared_ptr<ProxiedConnection>&);
    template <typename Function> void forEach(Function&& fn)
    {
        std::lock_guard lock(mutex);
        for (const auto& connection : connections)
            fn(*connection);
    }

    Asio::io_context& io;
    const FaultProxyOptions options;
    const Tcp::endpoint target;

    mutable std::mutex mutex; // Guards all below.
    Tcp::acceptor acceptor;
    std::unordered_set<std::shared_ptr<ProxiedConnection>> connections;
    uint64_t peak { 0 };
    uint64_t refused { 0 };
    bool isClosed { false };
};

void FaultProxy::Private::accept()
{
    std::lock_guard lock(mutex);
    if (isClosed)
        return;
    acceptor.async_accept([self = shared_from_this()](Ec ec, Tcp::socket socket) {
        if (ec == Asio::error::operation_aborted)
            return;
        if (!ec)
            self->admit(std::move(socket));
        self->accept();
    });
}

void FaultProxy::Private::admit(Tcp::socket socket)
{
    auto connection = std::make_shared<ProxiedConnection>(io, std::move(socket),
        [self = shared_from_this()](const std::shared_ptr<ProxiedConnection>& it) { self->remove(it); });
    {
        std::lock_guard lock(mutex);
        const bool isFull = options.limit.value() && connections.size() >= static_cast<size_t>(options.limit.value());
        refused += isFull;
        if (isFull || isClosed)
            return; // The destructor of the connection closes the socket.
        connections.insert(connection);
        peak = std::max<uint64_t>(peak, connections.size());
    }
    connection->start(target, options.connectTime);
}

void FaultProxy::Private::remove(const std::shared_ptr<ProxiedConnection>& connection)
{
    std::lock_guard lock(mutex);
    connections.erase(connection);
}

FaultProxy::FaultProxy(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

FaultProxy::~FaultProxy() { close(); }

Common::Result<std::unique_ptr<FaultProxy>> FaultProxy::open(
    FaultProxyThreads& threads, const FaultProxyOptions& options, const Common::Address& target)
{
    BOOST_OUTCOME_TRY(from, splitAddress(options.listen));
    BOOST_OUTCOME_TRY(to, splitAddress(target));
    auto d = std::make_shared<Private>(
        threads.m_private->io, options, Tcp::endpoint(Asio::ip::make_address(to.host), to.port));
    try {
        const Tcp::endpoint endpoint(Asio::ip::make_address(from.host), from.port);
        d->acceptor.open(endpoint.protocol());
        d->acceptor.set_option(Tcp::acceptor::reuse_address(true));
        d->acceptor.bind(endpoint);
        d->acceptor.listen();
    } catch (const boost::system::system_error& e) {
        return Common::makeError(Common::Reason::Unavailable, "listen", e.what(), options.listen.value());
    }
    d->accept();
    return std::unique_ptr<FaultProxy>(new FaultProxy(std::move(d)));
}

Common::Address FaultProxy::address() const
{
    std::lock_guard lock(m_private->mutex);
    Ec ignored;
    const auto endpoint = m_private->acceptor.local_endpoint(ignored);
    return Common::Address(endpoint.address().to_string() + ':' + std::to_string(endpoint.port()));
}

void FaultProxy::silenceConnections()
{
    m_private->forEach([](ProxiedConnection& connection) { connection.silence(); });
}

void FaultProxy::closeConnections()
{
    m_private->forEach([](ProxiedConnection& connection) { connection.close(); });
}

void FaultProxy::close()
{
    {
        std::lock_guard lock(m_private->mutex);
        if (std::exchange(m_private->isClosed, true))
            return;
        Ec ignored;
        m_private->acceptor.close(ignored);
    }
    closeConnections();
}

uint64_t FaultProxy::peakConnections() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->peak;
}

uint64_t FaultProxy::refusedConnections() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->refused;
}

Common::Result<HostAndPort> splitAddress(const Common::Address& address)
{
    const std::string& text = address.value();
    const size_t colon = text.rfind(':');
    HostAndPort it;
    if (colon != std::string::npos) {
        it.host = text.substr(0, colon);
        const char* end = text.data() + text.size();
        auto [last, ec] = std::from_chars(text.data() + colon + 1, end, it.port);
        Ec bad;
        Asio::ip::make_address(it.host, bad);
        if (ec == std::errc() && last == end && !bad)
            return it;
    }
    return Common::makeError(Common::Reason::InvalidInput, "parse-address", "\"" + text + "\" is not IP:PORT");
}

} // namespace StandIn
