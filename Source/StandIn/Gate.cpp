#include "StandIn/Gate.h"

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

    constexpr size_t relayBufferSize = 16 << 10;

    // One connection and its other half towards the HTTP listener. All of its steps run on its strand.
    class Relay : public std::enable_shared_from_this<Relay> {
    public:
        using Closed = std::function<void(const std::shared_ptr<Relay>&)>;

        Relay(Asio::io_context& io, Tcp::socket client, Closed closed)
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
            std::array<char, relayBufferSize> buf {};
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
                self->read(self->m_up);
                self->read(self->m_down);
            }));
        }

        void read(Direction& way)
        {
            way.from.async_read_some(Asio::buffer(way.buf),
                Asio::bind_executor(m_strand, [self = shared_from_this(), &way](Ec ec, size_t n) {
                    if (ec)
                        return self->end(way, ec);
                    // A silent connection still takes requests, so that the sender sees nothing wrong. Answers to
                    // earlier ones pass.
                    if (self->m_silent && &way == &self->m_up)
                        return self->read(way);
                    self->write(way, n);
                }));
        }

        void write(Direction& way, size_t n)
        {
            Asio::async_write(way.to, Asio::buffer(way.buf.data(), n),
                Asio::bind_executor(m_strand, [self = shared_from_this(), &way](Ec ec, size_t) {
                    if (ec)
                        return self->closeNow();
                    self->read(way);
                }));
        }

        // A sender may end its side and still wait for the answer.
        void end(Direction& way, Ec ec)
        {
            if (ec != Asio::error::eof || m_silent || &way == &m_down)
                return closeNow();
            Ec ignored;
            way.to.shutdown(Tcp::socket::shutdown_send, ignored);
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
        Direction m_up { m_client, m_server };
        Direction m_down { m_server, m_client };
        std::atomic<bool> m_silent { false };
        bool m_isClosed { false };
    };

} // namespace

struct GateThreads::Private {
    Asio::io_context io;
    Asio::executor_work_guard<Asio::io_context::executor_type> guard { io.get_executor() };
    std::vector<std::thread> threads;
};

GateThreads::GateThreads(int threads)
    : m_private(std::make_unique<Private>())
{
    for (int i = 0; i < threads; ++i)
        m_private->threads.emplace_back([this] { m_private->io.run(); });
}

GateThreads::~GateThreads()
{
    m_private->guard.reset();
    m_private->io.stop();
    for (auto& thread : m_private->threads)
        thread.join();
}

struct Gate::Private : std::enable_shared_from_this<Gate::Private> {
    Private(Asio::io_context& context, GateOptions o, Tcp::endpoint t)
        : io(context)
        , options(std::move(o))
        , target(std::move(t))
        , acceptor(context)
    {
    }

    void accept();
    void admit(Tcp::socket);
    void forget(const std::shared_ptr<Relay>&);
    template <typename Function> void forEach(Function&& fn)
    {
        std::lock_guard lock(mutex);
        for (const auto& relay : relays)
            fn(*relay);
    }

    Asio::io_context& io;
    const GateOptions options;
    const Tcp::endpoint target;

    mutable std::mutex mutex; // Guards all below.
    Tcp::acceptor acceptor;
    std::unordered_set<std::shared_ptr<Relay>> relays;
    uint64_t peak { 0 };
    uint64_t refused { 0 };
    bool isClosed { false };
};

void Gate::Private::accept()
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

void Gate::Private::admit(Tcp::socket socket)
{
    auto relay = std::make_shared<Relay>(
        io, std::move(socket), [self = shared_from_this()](const std::shared_ptr<Relay>& it) { self->forget(it); });
    {
        std::lock_guard lock(mutex);
        const bool isFull = options.limit.value() && relays.size() >= static_cast<size_t>(options.limit.value());
        refused += isFull;
        if (isFull || isClosed)
            return; // The socket is closed with the relay.
        relays.insert(relay);
        peak = std::max<uint64_t>(peak, relays.size());
    }
    relay->start(target, options.connectTime);
}

void Gate::Private::forget(const std::shared_ptr<Relay>& relay)
{
    std::lock_guard lock(mutex);
    relays.erase(relay);
}

Gate::Gate(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

Gate::~Gate() { close(); }

Common::Result<std::unique_ptr<Gate>> Gate::open(
    GateThreads& threads, const GateOptions& options, const Common::Address& target)
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
    return std::unique_ptr<Gate>(new Gate(std::move(d)));
}

Common::Address Gate::address() const
{
    std::lock_guard lock(m_private->mutex);
    Ec ignored;
    const auto endpoint = m_private->acceptor.local_endpoint(ignored);
    return Common::Address(endpoint.address().to_string() + ':' + std::to_string(endpoint.port()));
}

void Gate::silenceConnections()
{
    m_private->forEach([](Relay& relay) { relay.silence(); });
}

void Gate::closeConnections()
{
    m_private->forEach([](Relay& relay) { relay.close(); });
}

void Gate::close()
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

uint64_t Gate::peakConnections() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->peak;
}

uint64_t Gate::refusedConnections() const
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
