#include "Http/ServerConnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

using Common::Clock;
using Common::Milliseconds;

namespace Http {

namespace {

    namespace Beast = boost::beast::http;

    constexpr size_t readSize = 8'192;
    // Read ahead of an answer; a caller that pipelines more has to wait.
    constexpr size_t maximumReadAhead = 64 << 10;
    // A refused body is read on for so long before its connection is closed.
    constexpr Milliseconds lingerTime { 300 };
    constexpr int badRequest = 400;
    constexpr int timedOut = 408;
    constexpr int tooLarge = 413;
    constexpr int headTooLarge = 431;

    Response errorResponse(int status, const char* message)
    {
        Response response;
        response.status = status;
        // It was not handed on now, but may be the resend of one that ran: of that nothing is known here.
        response.body
            = std::string(R"({"error":{"reason":"invalid-input","message":")") + message + R"(","ran":"unknown"}})";
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
        bool typed = false;
        for (auto& [name, value] : response.headers) {
            typed = typed || lowerCase(name) == "content-type";
            appendField(out, name, value);
        }
        for (auto& [name, value] : response.fields) {
            typed = typed || lowerCase(name) == "content-type";
            appendField(out, name, value);
        }
        if (!typed && !response.contentType.empty() && !response.body.empty())
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
    std::shared_lock lock(m_handling);
    if (!m_closed)
        handler(std::move(request), std::move(done));
}

void ServerState::close()
{
    std::unique_lock lock(m_handling);
    m_closed = true;
}

CallerLimits ServerState::limitsNow() const
{
    std::lock_guard lock(m_mutex);
    return m_limits;
}

void ServerState::setLimits(const CallerLimits& limits)
{
    std::lock_guard lock(m_mutex);
    m_limits = limits;
}

void ServerState::requestBegun()
{
    std::lock_guard lock(m_mutex);
    ++m_inFlight;
}

void ServerState::requestEnded()
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
{
}

void ServerConnection::start()
{
    boost::system::error_code ignored; // Without it answers are only later.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    newParser();
    setDeadline(m_limits.idleTimeout);
    read();
}

void ServerConnection::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->shut(); });
}

void ServerConnection::closeIfIdle()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        bool isIdle = self->m_state == State::Reading && !self->m_buffer.size() && !self->m_parser->got_some();
        if (isIdle)
            self->shut();
    });
}

void ServerConnection::onDisconnect(std::function<void()> fn)
{
    {
        std::lock_guard lock(m_goneMutex);
        if (!m_goneNoted) {
            m_onGone.push_back(std::move(fn));
            return;
        }
    }
    fn();
}

void ServerConnection::newParser()
{
    m_limits = m_server->limitsNow();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<uint32_t>(m_limits.maximumHead.value()));
    m_parser->body_limit(static_cast<uint64_t>(m_limits.maximumBody.value()));
    m_headDone = false;
}

// One read is always under way while there is room, so that a caller who leaves is noticed.
void ServerConnection::read()
{
    if (m_isReading || m_gone || m_state == State::Closed)
        return;
    if (m_state != State::Reading && m_state != State::Lingering && m_buffer.size() >= maximumReadAhead)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        m_buffer.prepare(readSize), [self = shared_from_this()](const boost::system::error_code& error, size_t bytes) {
            self->arrived(error, bytes);
        });
}

void ServerConnection::arrived(const boost::system::error_code& error, size_t bytes)
{
    m_isReading = false;
    if (m_state == State::Closed)
        return;
    if (error) {
        callerGone();
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
            parserFailed(error);
            return;
        }
        if (isFirst && !m_headDone)
            setDeadline(m_limits.headTimeout);
        if (m_parser->is_header_done() && !m_headDone)
            headArrived();
        if (m_parser->is_done()) {
            dispatch();
            return;
        }
        if (!used || error == Beast::error::need_more)
            return;
    }
}

void ServerConnection::parserFailed(const boost::system::error_code& error)
{
    if (error == Beast::error::body_limit)
        refuse(tooLarge, "the body is too large");
    else if (error == Beast::error::header_limit)
        refuse(headTooLarge, "the head is too large");
    else
        refuse(badRequest, "the request line or a header can not be read");
}

void ServerConnection::headArrived()
{
    m_headDone = true;
    setDeadline(m_limits.bodyTimeout);
    if (m_parser->is_done() || lowerCase(std::string(m_parser->get()["Expect"])) != "100-continue")
        return;
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(m_socket, boost::asio::buffer(*text),
        [self = shared_from_this(), text](const boost::system::error_code&, size_t) {
            // An error shows at the next read.
        });
}

void ServerConnection::dispatch()
{
    auto message = m_parser->release();
    m_state = State::Answering;
    m_keepAlive = message.keep_alive();
    Request request;
    request.method = std::string(message.method_string());
    m_isHead = request.method == "HEAD";
    request.target = std::string(message.target());
    readTarget(request.target, request.path, request.query);
    for (auto& field : message) {
        request.fields.emplace_back(field.name_string(), field.value());
        request.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
    }
    request.body = std::move(message.body());
    auto self = shared_from_this();
    request.caller = self;
    {
        std::lock_guard lock(m_goneMutex);
        m_onGone.clear();
    }
    m_server->requestBegun();
    m_server->handle(std::move(request), [self](Response response) {
        // Never from inside the handler: an answer may start the next request.
        boost::asio::post(
            self->m_socket.get_executor(), [self, response = std::move(response)] { self->answer(response); });
    });
}

void ServerConnection::answer(const Response& response)
{
    if (m_state != State::Answering) {
        m_server->requestEnded();
        return;
    }
    if (response.drop) {
        shut();
        m_server->requestEnded();
        return;
    }
    {
        // They may hold what the answer was made of.
        std::lock_guard lock(m_goneMutex);
        m_onGone.clear();
    }
    m_state = State::Writing;
    write(response, response.closeAfter || !m_keepAlive || m_server->closing);
}

void ServerConnection::write(const Response& response, bool close)
{
    m_out = encode(response, m_isHead, close);
    setDeadline(m_limits.idleTimeout);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
        [self = shared_from_this(), close](const boost::system::error_code& error, size_t) {
            self->m_server->requestEnded();
            if (error)
                self->shut();
            else
                self->written(close);
        });
}

void ServerConnection::written(bool close)
{
    if (m_state == State::Closed)
        return;
    if (close || m_gone) {
        linger();
        return;
    }
    m_state = State::Reading;
    newParser();
    setDeadline(m_limits.idleTimeout);
    parse();
    read();
}

// Refuses a request that the handler has not seen.
void ServerConnection::refuse(int status, const char* message)
{
    m_state = State::Writing;
    m_isHead = false;
    m_server->requestBegun();
    write(errorResponse(status, message), true);
}

void ServerConnection::linger()
{
    if (m_gone) {
        shut();
        return;
    }
    m_state = State::Lingering;
    boost::system::error_code error;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        shut();
        return;
    }
    m_buffer.consume(m_buffer.size());
    setDeadline(lingerTime);
    read();
}

// A caller may close its sending side and still wait for the answer: the handler is told, and decides.
void ServerConnection::callerGone()
{
    m_gone = true;
    if (m_state == State::Reading || m_state == State::Lingering) {
        shut();
        return;
    }
    std::vector<std::function<void()>> all;
    {
        std::lock_guard lock(m_goneMutex);
        m_goneNoted = true;
        all.swap(m_onGone);
    }
    for (auto& fn : all)
        fn();
}

void ServerConnection::shut()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    boost::system::error_code ignored; // It is gone either way.
    m_socket.close(ignored);
    m_timer.cancel();
    m_server->remove(shared_from_this());
}

void ServerConnection::setDeadline(Milliseconds time)
{
    m_deadline = Clock::now() + time;
    if (!m_timerAt || m_deadline < *m_timerAt)
        waitForDeadline();
}

// The timer is set anew only for an earlier deadline: later ones are looked at when it fires.
void ServerConnection::waitForDeadline()
{
    m_timerAt = m_deadline;
    m_timer.expires_after(Clock::toChrono(std::max(m_deadline - Clock::now(), Milliseconds(0))));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->m_state == State::Closed)
            return;
        self->m_timerAt.reset();
        bool counts = self->m_state != State::Answering;
        if (counts && Clock::now() >= self->m_deadline)
            self->deadlineOver();
        else if (counts)
            self->waitForDeadline();
        // While the handler works there is no deadline; the answer sets the next one.
    });
}

void ServerConnection::deadlineOver()
{
    if (m_state == State::Reading && m_headDone)
        refuse(timedOut, "the body did not arrive in time");
    else
        shut();
}

} // namespace Http
