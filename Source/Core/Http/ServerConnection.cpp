#include "Http/ServerConnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

using Common::Clock;
using Common::Milliseconds;

namespace Http {

namespace {

    namespace Beast = boost::beast::http;

    constexpr size_t readSize = 8'192;
    // Pipelined bytes read before the current answer is sent. Reading stops at this size.
    constexpr size_t maximumReadAhead = 64 << 10;
    // How long further input is discarded before the connection is closed.
    constexpr Milliseconds lingerTimeout { 300 };
    constexpr int badRequest = 400;
    constexpr int timedOut = 408;
    constexpr int tooLarge = 413;
    constexpr int headTooLarge = 431;
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    constexpr const char* unavailableReason = "unavailable";
    constexpr const char* stoppingText = "this instance is stopping";
    // Callers can send without end and read slowly on many connections, so what a process buffers must not depend on
    // their number.
    BufferBudget requestBudget { Common::Bytes(24 << 20), Common::Bytes(16 << 10) };
    BufferBudget answerBudget { Common::Bytes(24 << 20), Common::Bytes(16 << 10) };

    Response errorResponse(int status, const char* message, const char* reason = "invalid-input")
    {
        Response response;
        response.status = status;
        // This attempt was not executed, but it may be the resend of a request that was.
        response.body
            = std::string(R"({"error":{"reason":")") + reason + R"(","message":")" + message + R"(","ran":"unknown"}})";
        return response;
    }

    bool hasBody(int status) { return status >= 200 && status != 204 && status != 304; }

    void appendField(std::string& out, const std::string& name, const std::string& value)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }

    std::string encode(const Response& response, bool isHead, bool close)
    {
        std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
        auto reason = Beast::obsolete_reason(Beast::int_to_status(static_cast<unsigned>(response.status)));
        out.append(reason.data(), reason.size()).append("\r\n");
        bool hasContentType = false;
        for (auto& [name, value] : response.headers) {
            hasContentType = hasContentType || lowerCase(name) == "content-type";
            appendField(out, name, value);
        }
        for (auto& [name, value] : response.fields) {
            hasContentType = hasContentType || lowerCase(name) == "content-type";
            appendField(out, name, value);
        }
        if (!hasContentType && !response.contentType.empty() && !response.body.empty())
            appendField(out, "Content-Type", response.contentType);
        if (close)
            out += "Connection: close\r\n";
        if (hasBody(response.status))
            out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        out += "\r\n";
        if (hasBody(response.status) && !isHead)
            out += response.body;
        return out;
    }

} // namespace

void ServerState::handle(Request request, Responder done)
{
    std::shared_lock lock(m_handlerMutex);
    if (!m_closed)
        handler(std::move(request), std::move(done));
}

void ServerState::close()
{
    std::unique_lock lock(m_handlerMutex);
    m_closed = true;
}

CallerLimits ServerState::limits() const
{
    std::lock_guard lock(m_mutex);
    return m_limits;
}

void ServerState::setLimits(const CallerLimits& limits)
{
    std::lock_guard lock(m_mutex);
    m_limits = limits;
}

void ServerState::requestStarted()
{
    std::lock_guard lock(m_mutex);
    ++m_inFlight;
}

void ServerState::requestFinished()
{
    std::lock_guard lock(m_mutex);
    if (!--m_inFlight)
        m_idle.notify_all();
}

size_t ServerState::inFlight() const
{
    std::lock_guard lock(m_mutex);
    return m_inFlight;
}

size_t ServerState::waitUntilIdle(Milliseconds bound)
{
    std::unique_lock lock(m_mutex);
    m_idle.wait_for(lock, Clock::toChrono(bound), [this] { return !m_inFlight; });
    return m_inFlight;
}

void ServerState::add(const std::shared_ptr<ServerConnection>& connection)
{
    std::lock_guard lock(m_mutex);
    m_connections.insert(connection);
}

void ServerState::remove(const std::shared_ptr<ServerConnection>& connection)
{
    std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

std::set<std::shared_ptr<ServerConnection>> ServerState::connections() const
{
    std::lock_guard lock(m_mutex);
    return m_connections;
}

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_server(std::move(server))
    , m_requestBytes(requestBudget)
    , m_answerBytes(answerBudget)
{
}

void ServerConnection::start()
{
    boost::system::error_code ignored; // Without this option, answers only arrive later.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    boost::system::error_code error;
    auto endpoint = m_socket.remote_endpoint(error);
    if (!error)
        m_address = endpoint.address().to_string();
    resetParser();
    setDeadline(m_limits.idleTimeout);
    read();
}

void ServerConnection::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeNow(); });
}

void ServerConnection::closeIfIdle()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        bool isIdle = self->m_state == State::Reading && !self->m_buffer.size() && !self->m_parser->got_some();
        if (isIdle)
            self->closeNow();
    });
}

void ServerConnection::endRequest()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::Handling && !self->m_answered) {
            self->respond(self->m_turn, errorResponse(badGateway, stoppingText, unavailableReason),
                BufferReservation(answerBudget));
        } else if (self->m_state == State::Reading) {
            bool isIdle = !self->m_buffer.size() && !self->m_parser->got_some();
            if (isIdle)
                self->closeNow();
            else
                self->sendError(unavailable, stoppingText, unavailableReason);
        }
    });
}

void ServerConnection::onDisconnect(std::function<void()> fn)
{
    {
        std::lock_guard lock(m_disconnectMutex);
        if (!m_disconnectReported) {
            m_disconnectHandlers.push_back(std::move(fn));
            return;
        }
    }
    fn();
}

// Asks the socket: the end of the connection may have arrived without having been read yet.
void ServerConnection::checkOpen(const std::function<void(bool isOpen)>& fn)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), fn] {
        bool isOpen = self->m_state != State::Closed && !self->m_disconnected;
        if (isOpen) {
            char byte = 0;
            ssize_t n = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            isOpen = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        }
        fn(isOpen);
    });
}

void ServerConnection::resetParser()
{
    m_limits = m_server->limits();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<uint32_t>(m_limits.maximumHead.value()));
    m_parser->body_limit(static_cast<uint64_t>(m_limits.maximumBody.value()));
    m_headerDone = false;
}

// Keeps one read pending while the buffer has space, also during handling, to detect a caller that disconnects.
void ServerConnection::read()
{
    if (m_isReading || m_disconnected || m_state == State::Closed)
        return;
    if (m_state != State::Reading && m_state != State::Lingering && m_buffer.size() >= maximumReadAhead)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        m_buffer.prepare(readSize), [self = shared_from_this()](const boost::system::error_code& error, size_t bytes) {
            self->onRead(error, bytes);
        });
}

void ServerConnection::onRead(const boost::system::error_code& error, size_t bytes)
{
    m_isReading = false;
    if (m_state == State::Closed)
        return;
    if (error) {
        handleDisconnect();
        return;
    }
    m_buffer.commit(bytes);
    if (m_state == State::Lingering)
        m_buffer.consume(m_buffer.size());
    if (m_state == State::Reading)
        parse();
    read();
}

void ServerConnection::parse()
{
    while (m_state == State::Reading && m_buffer.size()) {
        bool isFirst = !m_parser->got_some();
        boost::system::error_code error;
        size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error && error != Beast::error::need_more) {
            onParseError(error);
            return;
        }
        if (isFirst && !m_headerDone)
            setDeadline(m_limits.headTimeout);
        if (!m_requestBytes.resize(m_buffer.size() + m_parser->get().body().size())) {
            sendError(unavailable, "too many bytes of requests are buffered");
            return;
        }
        if (m_parser->is_header_done() && !m_headerDone)
            onHeaderComplete();
        if (m_parser->is_done()) {
            dispatch();
            return;
        }
        if (used && error != Beast::error::need_more)
            continue;
        // Chunk extensions and trailers have no limit in the parser, which leaves them in the buffer.
        if (m_headerDone && m_buffer.size() > static_cast<size_t>(m_limits.maximumHead.value()))
            sendError(headTooLarge, "a chunk header or trailer is too large");
        return;
    }
}

void ServerConnection::onParseError(const boost::system::error_code& error)
{
    if (error == Beast::error::body_limit)
        sendError(tooLarge, "the body is too large");
    else if (error == Beast::error::header_limit)
        sendError(headTooLarge, "the request line and headers are too large");
    else
        sendError(badRequest, "the request line or a header cannot be read");
}

void ServerConnection::onHeaderComplete()
{
    m_headerDone = true;
    setDeadline(m_limits.bodyTimeout);
    if (m_parser->is_done() || lowerCase(std::string(m_parser->get()["Expect"])) != "100-continue")
        return;
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(m_socket, boost::asio::buffer(*text),
        [self = shared_from_this(), text](const boost::system::error_code&, size_t) {
            // The next read reports an error.
        });
}

void ServerConnection::dispatch()
{
    auto message = m_parser->release();
    m_state = State::Handling;
    m_answered = false;
    m_keepAlive = message.keep_alive();
    Request request;
    request.method = std::string(message.method_string());
    m_isHead = request.method == "HEAD";
    request.target = std::string(message.target());
    parseTarget(request.target, request.path, request.query);
    for (auto& field : message) {
        request.fields.emplace_back(field.name_string(), field.value());
        request.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
    }
    request.body = std::move(message.body());
    auto self = shared_from_this();
    request.caller = self;
    request.address = m_address;
    {
        std::lock_guard lock(m_disconnectMutex);
        m_disconnectHandlers.clear();
    }
    m_server->requestStarted();
    m_server->handle(std::move(request), [self, turn = ++m_turn](Response response) {
        BufferReservation bytes(answerBudget);
        if (!bytes.resize(response.body.size())) {
            // The request may have run.
            bytes.release();
            response = errorResponse(badGateway, "too many bytes of answers wait for their callers");
        }
        // Posted, since an answer may start the next request, which must not run inside the handler.
        boost::asio::post(self->m_socket.get_executor(),
            [self, turn, response = std::move(response), bytes = std::move(bytes)]() mutable {
                self->respond(turn, response, std::move(bytes));
            });
    });
}

// An answer is written only in the turn of its request. A second answer to an earlier request is dropped.
void ServerConnection::respond(uint64_t turn, const Response& response, BufferReservation bytes)
{
    if (turn != m_turn || m_answered)
        return;
    m_answered = true;
    if (m_state != State::Handling) {
        m_server->requestFinished();
        return;
    }
    if (response.drop) {
        closeNow();
        m_server->requestFinished();
        return;
    }
    {
        // Releases what the callbacks captured; no disconnect is reported after the answer.
        std::lock_guard lock(m_disconnectMutex);
        m_disconnectHandlers.clear();
    }
    m_state = State::Writing;
    m_answerBytes = std::move(bytes);
    write(response, response.closeAfter || !m_keepAlive || m_server->closing);
}

void ServerConnection::write(const Response& response, bool close)
{
    m_outgoing = encode(response, m_isHead, close);
    setDeadline(m_limits.idleTimeout);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing),
        [self = shared_from_this(), close](const boost::system::error_code& error, size_t) {
            self->m_server->requestFinished();
            self->m_answerBytes.release();
            self->m_outgoing = std::string();
            if (error)
                self->closeNow();
            else
                self->onWritten(close);
        });
}

void ServerConnection::onWritten(bool close)
{
    if (m_state == State::Closed)
        return;
    if (close || m_disconnected) {
        linger();
        return;
    }
    m_state = State::Reading;
    m_requestBytes.release();
    resetParser();
    setDeadline(m_limits.idleTimeout);
    parse();
    read();
}

// Answers a request that is not passed to the handler, and closes the connection.
void ServerConnection::sendError(int status, const char* message, const char* reason)
{
    m_state = State::Writing;
    m_isHead = false;
    // Releases what has been read of the request.
    m_parser.emplace();
    m_requestBytes.release();
    m_server->requestStarted();
    write(errorResponse(status, message, reason), true);
}

void ServerConnection::linger()
{
    if (m_disconnected) {
        closeNow();
        return;
    }
    m_state = State::Lingering;
    boost::system::error_code error;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        closeNow();
        return;
    }
    m_buffer.consume(m_buffer.size());
    setDeadline(lingerTimeout);
    read();
}

// A caller may close its sending side and still wait for the answer. The handler is notified and decides.
void ServerConnection::handleDisconnect()
{
    m_disconnected = true;
    if (m_state == State::Reading || m_state == State::Lingering) {
        closeNow();
        return;
    }
    std::vector<std::function<void()>> all;
    {
        std::lock_guard lock(m_disconnectMutex);
        m_disconnectReported = true;
        all.swap(m_disconnectHandlers);
    }
    for (auto& fn : all)
        fn();
}

void ServerConnection::closeNow()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    boost::system::error_code ignored; // The socket is unusable either way.
    m_socket.close(ignored);
    m_timer.cancel();
    m_requestBytes.release();
    m_server->remove(shared_from_this());
}

void ServerConnection::setDeadline(Milliseconds time)
{
    m_deadline = Clock::now() + time;
    if (!m_timerExpiry || m_deadline < *m_timerExpiry)
        armTimer();
}

// setDeadline() re-arms the timer only for an earlier deadline; a later one is checked when the timer fires.
void ServerConnection::armTimer()
{
    m_timerExpiry = m_deadline;
    m_timer.expires_after(Clock::toChrono(std::max(m_deadline - Clock::now(), Milliseconds(0))));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->m_state == State::Closed)
            return;
        self->m_timerExpiry.reset();
        bool hasDeadline = self->m_state != State::Handling;
        if (hasDeadline && Clock::now() >= self->m_deadline)
            self->onDeadline();
        else if (hasDeadline)
            self->armTimer();
        // No deadline applies while the handler runs; write() sets the next one.
    });
}

void ServerConnection::onDeadline()
{
    if (m_state == State::Reading && m_headerDone)
        sendError(timedOut, "the body did not arrive in time");
    else
        closeNow();
}

} // namespace Http
