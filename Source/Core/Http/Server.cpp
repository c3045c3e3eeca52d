#include "Http/Server.h"

#include "Http/ServerConnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

using Common::Reason;

namespace Http {

namespace {

    using boost::asio::ip::tcp;

    // Large enough for a burst of new callers.
    constexpr int backlog = 1'024;
    // Delay after a failed accept, for example when the process is out of file descriptors.
    constexpr Common::Milliseconds acceptRetryDelay { 20 };
    // How often finish() checks for connections that are still open.
    constexpr Common::Milliseconds finishPollInterval { 5 };

} // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
    std::shared_ptr<ServerState> state { std::make_shared<ServerState>() };
    boost::asio::io_context& loop { Loops::next() };
    tcp::acceptor acceptor { loop };
    boost::asio::steady_timer retryTimer { loop };
    bool closed { false };

    Common::Result<void> listen(const std::string& address);
    void accept();
    void onAccept(const boost::system::error_code&, tcp::socket);
    void stopAccepting();
};

Common::Result<void> Server::Private::listen(const std::string& address)
{
    auto endpoint = Loops::parseEndpoint(address);
    if (!endpoint)
        return Common::makeError(Reason::InvalidInput, "listen", "expected an IP address and a port", address);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return Common::makeError(Reason::Unavailable, "listen", error.message(), address);
    return Common::success();
}

void Server::Private::accept()
{
    acceptor.async_accept(
        Loops::next(), [self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
            self->onAccept(error, std::move(socket));
        });
}

void Server::Private::onAccept(const boost::system::error_code& error, tcp::socket socket)
{
    if (closed || error == boost::asio::error::operation_aborted)
        return;
    if (error) {
        retryTimer.expires_after(Common::Clock::toChrono(acceptRetryDelay));
        retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && !self->closed)
                self->accept();
        });
        return;
    }
    auto executor = socket.get_executor();
    auto connection = std::make_shared<ServerConnection>(std::move(socket), state);
    state->add(connection);
    boost::asio::dispatch(executor, [connection] { connection->start(); });
    accept();
}

// Blocks until no further connection will be accepted.
void Server::Private::stopAccepting()
{
    std::promise<void> done;
    boost::asio::post(loop, [self = shared_from_this(), &done] {
        self->closed = true;
        boost::system::error_code ignored; // The acceptor is unusable either way.
        self->acceptor.close(ignored);
        self->retryTimer.cancel();
        done.set_value();
    });
    done.get_future().wait();
}

Server::Server(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

Server::~Server() { close(); }

Common::Result<std::unique_ptr<Server>> Server::open(const ServerOptions& options, Handler handler)
{
    auto p = std::make_shared<Private>();
    p->state->handler = std::move(handler);
    p->state->setLimits(options.limits);
    BOOST_OUTCOME_TRYV(p->listen(options.listen.value()));
    boost::asio::post(p->loop, [p] { p->accept(); });
    return std::unique_ptr<Server>(new Server(p));
}

void Server::setLimits(const CallerLimits& limits) { m_private->state->setLimits(limits); }

size_t Server::inFlight() const { return m_private->state->inFlight(); }

void Server::closeAfterAnswers() { m_private->state->closing = true; }

size_t Server::finish(Common::Milliseconds bound)
{
    closeAfterAnswers();
    m_private->stopAccepting();
    auto until = Common::Clock::now() + bound;
    for (;;) {
        auto open = m_private->state->connections();
        if (open.empty() || Common::Clock::now() >= until)
            return inFlight();
        for (auto& connection : open)
            connection->closeIfIdle();
        std::this_thread::sleep_for(Common::Clock::toChrono(finishPollInterval));
    }
}

void Server::endRequests()
{
    closeAfterAnswers();
    for (auto& connection : m_private->state->connections())
        connection->endRequest();
}

size_t Server::waitUntilClosed(Common::Milliseconds bound)
{
    auto until = Common::Clock::now() + bound;
    while (!m_private->state->connections().empty() && Common::Clock::now() < until)
        std::this_thread::sleep_for(Common::Clock::toChrono(finishPollInterval));
    return inFlight();
}

size_t Server::waitForAnswers(Common::Milliseconds bound) { return m_private->state->waitUntilIdle(bound); }

void Server::close()
{
    m_private->stopAccepting();
    m_private->state->close();
    for (auto& connection : m_private->state->connections())
        connection->close();
}

} // namespace Http
