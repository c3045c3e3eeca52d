#include "Http/Connection.h"

#include "Http/BufferBudget.h"
#include "Http/Loops.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

using boost::asio::ip::tcp;
using Common::Clock;
using Common::Milliseconds;
using Common::Reason;

namespace Http {

namespace {

    namespace Beast = boost::beast::http;

    constexpr size_t readSize = 8'192;
    constexpr uint64_t maximumBody = 8 << 20;
    // Also of what the parser leaves in the buffer, such as the extension of a chunk.
    constexpr uint32_t maximumHead = 64 << 10;
    constexpr int maximumInterimResponses = 32;
    constexpr unsigned lastStatus = 599; // Lower codes than 100 are refused by the parser.
    // A server can send without end, so what a process buffers must not depend on the number of such servers.
    BufferBudget responseBudget { Common::Bytes(24 << 20), Common::Bytes(256 << 10) };
    // Closes a connection whose sent bytes stay unacknowledged. A peer that lost power sends no RST.
    constexpr int tcpUserTimeoutMs = 4'000;
    // Closes an idle connection before the peer's keep-alive timeout, so that no request races the peer's close.
    constexpr Milliseconds keepAliveMargin { 500 };

    std::string encode(const Request& request, const std::string& peer)
    {
        std::string target = request.target.empty() ? makeTarget(request.path, request.query) : request.target;
        std::string out = request.method + " " + target + " HTTP/1.1\r\n";
        bool hasHost = false;
        bool hasContentType = false;
        auto append = [&](const std::string& name, const std::string& value) {
            std::string lower = lowerCase(name);
            hasHost = hasHost || lower == "host";
            hasContentType = hasContentType || lower == "content-type";
            out.append(name).append(": ").append(value).append("\r\n");
        };
        for (auto& [name, value] : request.headers)
            append(name, value);
        for (auto& [name, value] : request.fields)
            append(name, value);
        if (!hasHost)
            out += "Host: " + peer + "\r\n";
        if (!request.body.empty() && !hasContentType && request.fields.empty())
            out += "Content-Type: application/json\r\n";
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
            out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        out += "\r\n";
        return out + request.body;
    }

} // namespace

struct Connection::Private : std::enable_shared_from_this<Connection::Private> {
    using Parser = Beast::response_parser<Beast::string_body>;

    Private(std::string p, Reuse r, Milliseconds t)
        : peer(std::move(p))
        , reuse(r)
        , timeout(t)
        , loop(Loops::currentOrNext())
        , socket(loop)
        , timer(loop)
    {
    }

    const std::string peer;
    const Reuse reuse;
    const Milliseconds timeout;
    boost::asio::io_context& loop;
    std::atomic<bool> open { false };
    std::atomic<uint64_t> sends { 0 };

    // Accessed on the event loop's thread only.
    tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::string out;
    Done done;
    uint64_t socketGeneration { 0 }; // Completion handlers of an earlier socket are ignored.
    ExchangeId exchange; // The current or last request.
    bool isReused { false }; // The current request is not the first on its socket.
    bool isWriting { false };
    bool isReading { false };
    bool isHead { false };
    int interimResponses { 0 };
    BufferReservation buffered { responseBudget };
    bool mayHaveSent { false }; // Whether any byte of the request may have reached the peer.

    void start(ExchangeId, std::string text, bool head, Done fn);
    void connect();
    void write();
    void resetParser();
    const char* exceededLimit();
    void read();
    void onRead(const boost::system::error_code&, size_t bytes);
    void parse(bool atEnd);
    void finishResponse();
    void keepAlive(const Parser::value_type&);
    void startTimer(Milliseconds);
    void fail(Reason, const char* step, const std::string& message);
    void closeSocket();
};

void Connection::Private::start(ExchangeId id, std::string text, bool head, Done fn)
{
    exchange = id;
    done = std::move(fn);
    out = std::move(text);
    isHead = head;
    mayHaveSent = false;
    startTimer(timeout);
    isReused = open && reuse == Reuse::Allowed;
    if (isReused)
        write();
    else
        connect();
}

void Connection::Private::connect()
{
    closeSocket();
    auto endpoint = Loops::parseEndpoint(peer);
    boost::system::error_code error;
    if (endpoint)
        socket.open(endpoint->protocol(), error);
    if (!endpoint || error) {
        fail(Reason::ConnectionFailed, "connect", endpoint ? error.message() : "expected an IP address and a port");
        return;
    }
    boost::system::error_code ignored; // Without these options, answers and failures only arrive later.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
    socket.async_connect(*endpoint,
        [self = shared_from_this(), generation = socketGeneration](const boost::system::error_code& failure) {
            if (generation != self->socketGeneration)
                return;
            if (failure) {
                self->fail(Reason::ConnectionFailed, "connect", failure.message());
                return;
            }
            self->open = true;
            self->write();
        });
}

void Connection::Private::write()
{
    resetParser();
    interimResponses = 0;
    isWriting = true;
    mayHaveSent = true;
    boost::asio::async_write(socket, boost::asio::buffer(out),
        [self = shared_from_this(), generation = socketGeneration](const boost::system::error_code&, size_t) {
            // The read reports a write error, after any response that the peer sent before it.
            if (generation == self->socketGeneration)
                self->isWriting = false;
        });
    read();
}

void Connection::Private::resetParser()
{
    parser.emplace();
    // An eager parser ignores that the announced length of the body exceeds the limit, and reserves the memory for it.
    parser->eager(false);
    parser->body_limit(maximumBody);
    parser->header_limit(maximumHead);
    parser->skip(isHead);
}

// Returns the limit that the response exceeds, or null.
const char* Connection::Private::exceededLimit()
{
    if (buffer.size() > maximumHead)
        return "a header, chunk header or trailer is too long";
    if (interimResponses > maximumInterimResponses)
        return "too many interim responses";
    size_t size = buffer.size() + (parser ? parser->get().body().size() : 0);
    return buffered.resize(size) ? nullptr : "too many bytes of responses are buffered";
}

// A read is also pending while the connection is idle: any data or EOF that arrives then closes it.
void Connection::Private::read()
{
    if (isReading)
        return;
    isReading = true;
    // Waits before it reads, since a read right after the request would find nothing.
    socket.async_wait(tcp::socket::wait_read,
        [self = shared_from_this(), generation = socketGeneration](const boost::system::error_code& waitError) {
            if (generation != self->socketGeneration)
                return;
            self->isReading = false;
            boost::system::error_code error = waitError;
            size_t bytes = error ? 0 : self->socket.read_some(self->buffer.prepare(readSize), error);
            if (error == boost::asio::error::would_block)
                self->read();
            else
                self->onRead(error, bytes);
        });
}

void Connection::Private::onRead(const boost::system::error_code& error, size_t bytes)
{
    if (!done) {
        closeSocket();
        return;
    }
    buffer.commit(bytes);
    if (error && error != boost::asio::error::eof) {
        fail(Reason::ConnectionLost, "request", error.message());
        return;
    }
    parse(error == boost::asio::error::eof);
}

void Connection::Private::parse(bool atEnd)
{
    boost::system::error_code error;
    while (buffer.size() && !parser->is_done()) {
        size_t used = parser->put(buffer.data(), error);
        buffer.consume(used);
        if (error && error != Beast::error::need_more) {
            fail(Reason::ConnectionLost, "request", "malformed response: " + error.message());
            return;
        }
        if (parser->is_header_done() && parser->get().result_int() > lastStatus) {
            fail(Reason::ConnectionLost, "request", "malformed response: the status is no HTTP status code");
            return;
        }
        parser->eager(parser->is_header_done());
        bool isInterim = parser->is_header_done() && parser->get().result_int() < 200;
        if (isInterim) {
            ++interimResponses;
            resetParser();
        } else if (!used || error == Beast::error::need_more)
            break;
    }
    if (parser->is_done()) {
        finishResponse();
        return;
    }
    if (const char* limit = exceededLimit()) {
        fail(Reason::ConnectionLost, "request", limit);
        return;
    }
    if (!atEnd) {
        read();
        return;
    }
    if (parser->is_header_done() && parser->need_eof()) {
        parser->put_eof(error);
        if (!error && parser->is_done()) {
            finishResponse();
            return;
        }
    }
    fail(Reason::ConnectionLost, "request", "the connection closed before the response was complete");
}

void Connection::Private::finishResponse()
{
    auto message = parser->release();
    buffered.release();
    Response response;
    response.status = static_cast<int>(message.result_int());
    for (auto& field : message)
        response.fields.emplace_back(field.name_string(), field.value());
    const std::string* contentType = findField(response.fields, "Content-Type");
    response.contentType = contentType ? *contentType : std::string();
    response.body = std::move(message.body());
    response.isOnReusedConnection = isReused;
    // The connection is not reusable if extra bytes follow the response, since they belong to no request, or if the
    // request is still being written, since its rest would mix with the next one.
    bool isClean = message.keep_alive() && !message.need_eof() && !buffer.size() && !isWriting;
    Done fn = std::exchange(done, nullptr);
    if (isClean && reuse == Reuse::Allowed)
        keepAlive(message);
    else
        closeSocket();
    fn(std::move(response));
}

void Connection::Private::keepAlive(const Parser::value_type& message)
{
    timer.cancel();
    read();
    auto text = message["Keep-Alive"];
    auto position = text.find("timeout=");
    if (position == boost::beast::string_view::npos)
        return;
    int seconds = 0;
    text.remove_prefix(position + 8);
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    startTimer(std::max(Milliseconds(seconds * 1'000.0) - keepAliveMargin, Milliseconds(0)));
}

void Connection::Private::startTimer(Milliseconds time)
{
    timer.expires_after(Clock::toChrono(time));
    // A timer of the idle time that has just expired must not end the next request.
    timer.async_wait([weak = weak_from_this(), generation = socketGeneration, id = exchange, isIdle = !done](
                         const boost::system::error_code& error) {
        auto self = weak.lock();
        if (error || !self || self->exchange != id || isIdle != !self->done)
            return;
        if (self->done)
            self->fail(self->mayHaveSent ? Reason::DeadlineExceeded : Reason::ConnectionFailed, "request",
                "no complete response in time");
        else if (generation == self->socketGeneration)
            self->closeSocket();
    });
}

void Connection::Private::fail(Reason reason, const char* step, const std::string& message)
{
    Done fn = std::exchange(done, nullptr);
    closeSocket();
    if (fn)
        fn(Common::makeError(reason, step, message, peer));
}

void Connection::Private::closeSocket()
{
    ++socketGeneration;
    open = false;
    isReading = false;
    isWriting = false;
    buffer = {};
    parser.reset();
    buffered.release();
    boost::system::error_code ignored; // The socket is unusable either way.
    socket.close(ignored);
    if (!done)
        timer.cancel();
}

Connection::Connection(const Common::Address& peer, Reuse reuse, Common::Milliseconds timeout)
    : m_private(std::make_shared<Private>(peer.value(), reuse, timeout))
{
}

Connection::~Connection()
{
    boost::asio::post(m_private->loop, [self = m_private] {
        if (self->done)
            self->fail(Reason::Cancelled, "request", "cancelled");
        self->closeSocket();
    });
}

void Connection::send(const Request& request, Done done)
{
    send(encode(request, m_private->peer), request.method == "HEAD", std::move(done));
}

void Connection::send(std::string text, bool isHead, Done done)
{
    auto self = m_private;
    ExchangeId id(++self->sends);
    boost::asio::post(self->loop, [self, id, text = std::move(text), isHead, done = std::move(done)]() mutable {
        self->start(id, std::move(text), isHead, std::move(done));
    });
}

ExchangeId Connection::nextExchange() const { return ExchangeId(m_private->sends + 1); }

void Connection::cancel(ExchangeId id)
{
    boost::asio::post(m_private->loop, [self = m_private, id] {
        if (self->done && self->exchange == id)
            self->fail(Reason::Cancelled, "request", "cancelled");
    });
}

void Connection::cancel() { cancel(ExchangeId(m_private->sends)); }

bool Connection::isOpen() const { return m_private->open; }

} // namespace Http
