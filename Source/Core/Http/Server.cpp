#include "Http/Server.h"

#include <utility>

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include "Common/Timers.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>

using Common::Reason;

namespace Http {

namespace {

    constexpr size_t bodyChunk = 16'384;

    Request convertHead(const web::http::http_request& message)
    {
        Request request;
        request.method = message.method();
        web::uri uri = message.relative_uri();
        request.path = web::uri::decode(uri.path());
        for (auto& [name, value] : web::uri::split_query(uri.query()))
            request.query[web::uri::decode(name)] = web::uri::decode(value);
        for (auto& [name, value] : message.headers())
            request.headers[lowerCase(name)] = value;
        return request;
    }

    // The request was not handed on now, but it may be the resend of one that ran: of that nothing is known here.
    Response errorResponse(int status, const std::string& reason, const std::string& message)
    {
        Response response;
        response.status = status;
        response.body = R"({"error":{"reason":")" + reason + R"(","message":")" + message + R"(","ran":"unknown"}})";
        return response;
    }

    // A body of a caller who is over the limit is read on and thrown away up to so many times the limit: if the
    // connection were closed with unread bytes, the caller's system would drop the answer.
    constexpr size_t discardFactor = 4;

    enum class BodyEnd {
        Whole,
        TooLarge, // Read to its end, or to the bound on what is thrown away.
    };

    // A body as it arrives in pieces, kept up to a limit.
    struct BodyReader : std::enable_shared_from_this<BodyReader> {
        concurrency::streams::istream stream;
        concurrency::streams::container_buffer<std::string> buffer;
        size_t limit { 0 };
        size_t total { 0 };

        size_t discardLimit() const { return limit * discardFactor; }

        pplx::task<BodyEnd> read()
        {
            if (total > limit)
                buffer = concurrency::streams::container_buffer<std::string>();
            auto self = shared_from_this();
            return stream.read(buffer, bodyChunk).then([self](size_t n) {
                self->total += n;
                bool isOver = self->total > self->limit;
                if (!n || self->total > self->discardLimit())
                    return pplx::task_from_result(isOver ? BodyEnd::TooLarge : BodyEnd::Whole);
                return self->read();
            });
        }
    };

    // One request and the way back to its caller.
    struct Exchange {
        explicit Exchange(const web::http::http_request& m)
            : message(m)
        {
        }

        web::http::http_request message;
        // Set once: by whoever hands the request to the handler, or refuses it before.
        std::atomic<bool> settled { false };
    };

    // The library sends no answer before the request has been read. Here the rest of the body is given up: the answer
    // goes out, and whatever still arrives is an error that closes the connection.
    void abandonBody(const web::http::http_request& message)
    {
        auto error = std::make_exception_ptr(std::runtime_error("the body is given up"));
        const auto& impl = message._get_impl();
        impl->outstream().close(error).then([](const pplx::task<void>& closed) {
            try {
                closed.get();
            } catch (const std::exception&) {
                // The error is the one from above.
            }
        });
        impl->_get_data_available().set(0);
    }

} // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
    ServerOptions options;
    Handler handler;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    std::atomic<bool> closing { false };
    std::mutex mutex;
    std::condition_variable idle;
    size_t inFlight { 0 };

    // Limits the time of bodies that do not come at once. Stopped by close(), so that no function outlives the server.
    Common::Timers timers { 1 };

    void accept(const web::http::http_request& message);
    void readBody(const std::shared_ptr<Exchange>&, Request request);
    void limitTime(const std::shared_ptr<Exchange>&);
    void bodyEnded(const std::shared_ptr<Exchange>&, Request request);
    void refuse(const std::shared_ptr<Exchange>&, int status, const std::string& message);
    void answer(const std::shared_ptr<Exchange>&, Response response, bool keepOpen);
    void finished();
};

void Server::Private::accept(const web::http::http_request& message)
{
    {
        std::lock_guard lock(mutex);
        ++inFlight;
    }
    auto exchange = std::make_shared<Exchange>(message);
    try {
        readBody(exchange, convertHead(message));
    } catch (const std::exception& e) {
        refuse(exchange, 400, "the request line or a header can not be read");
    }
}

void Server::Private::readBody(const std::shared_ptr<Exchange>& exchange, Request request)
{
    auto reader = std::make_shared<BodyReader>();
    reader->stream = exchange->message.body();
    reader->limit = static_cast<size_t>(options.maximumBody.value());
    if (exchange->message.headers().content_length() > reader->discardLimit()) {
        refuse(exchange, 413, "the body is too large");
        return;
    }
    auto self = shared_from_this();
    auto ended = reader->read().then(
        [self, exchange, reader, request = std::move(request)](const pplx::task<BodyEnd>& done) mutable {
            try {
                if (done.get() == BodyEnd::TooLarge) {
                    self->refuse(exchange, 413, "the body is too large");
                    return;
                }
            } catch (const std::exception&) {
                self->refuse(exchange, 400, "the body did not arrive whole");
                return;
            }
            request.body = std::move(reader->buffer.collection());
            // The buffer grows ahead of what is written.
            request.body.resize(reader->total);
            self->bodyEnded(exchange, std::move(request));
        });
    if (!ended.is_done())
        limitTime(exchange);
}

void Server::Private::limitTime(const std::shared_ptr<Exchange>& exchange)
{
    std::weak_ptr<Private> weak = weak_from_this();
    std::weak_ptr<Exchange> weakExchange = exchange;
    timers.after(options.bodyTimeout, [weak, weakExchange] {
        auto self = weak.lock();
        auto late = weakExchange.lock();
        if (self && late && !late->settled)
            self->refuse(late, 408, "the body did not arrive in time");
    });
}

void Server::Private::bodyEnded(const std::shared_ptr<Exchange>& exchange, Request request)
{
    // The time limit may have answered just now: then nothing may run.
    if (exchange->settled.exchange(true))
        return;
    auto self = shared_from_this();
    try {
        handler(std::move(request),
            [self, exchange](Response response) { self->answer(exchange, std::move(response), true); });
    } catch (const std::exception& e) {
        answer(exchange, errorResponse(500, "internal", "the request could not be handled"), true);
    }
}

// Refuses a request that was not handed to the handler.
void Server::Private::refuse(const std::shared_ptr<Exchange>& exchange, int status, const std::string& message)
{
    if (exchange->settled.exchange(true))
        return;
    answer(exchange, errorResponse(status, "invalid-input", message), false);
    abandonBody(exchange->message);
}

void Server::Private::answer(const std::shared_ptr<Exchange>& exchange, Response response, bool keepOpen)
{
    web::http::http_response out(static_cast<web::http::status_code>(response.status));
    for (auto& [name, value] : response.headers)
        out.headers().add(name, value);
    if (closing || !keepOpen)
        out.headers().add("Connection", "close");
    out.set_body(std::move(response.body), response.contentType);
    auto self = shared_from_this();
    exchange->message.reply(out).then([self](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) {
            // The caller has gone: there is nobody to tell.
        }
        self->finished();
    });
}

void Server::Private::finished()
{
    std::lock_guard lock(mutex);
    --inFlight;
    if (!inFlight)
        idle.notify_all();
}

Server::Server(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

Server::~Server() { close(); }

Common::Result<std::unique_ptr<Server>> Server::open(ServerOptions options, Handler handler)
{
    auto p = std::make_unique<Private>();
    std::string address = options.listen.value();
    p->options = std::move(options);
    p->handler = std::move(handler);
    std::unique_ptr<Server> server(new Server(std::move(p)));
    try {
        auto& listener = server->m_private->listener;
        listener = std::make_unique<web::http::experimental::listener::http_listener>("http://" + address + "/");
        std::weak_ptr<Private> weak = server->m_private;
        listener->support([weak](const web::http::http_request& message) {
            if (auto self = weak.lock())
                self->accept(message);
        });
        listener->open().wait();
    } catch (const std::exception& e) {
        server->m_private->listener.reset();
        return Common::makeError(Reason::Unavailable, "listen", e.what(), address);
    }
    return server;
}

size_t Server::inFlight() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->inFlight;
}

void Server::closeAfterAnswers() { m_private->closing = true; }

size_t Server::waitForAnswers(Common::Milliseconds bound)
{
    std::unique_lock lock(m_private->mutex);
    m_private->idle.wait_for(lock, Common::Clock::toChrono(bound), [this] { return !m_private->inFlight; });
    return m_private->inFlight;
}

void Server::close()
{
    m_private->timers.stop();
    auto listener = std::move(m_private->listener);
    if (!listener)
        return;
    try {
        listener->close().wait();
    } catch (const std::exception&) {
        // The socket is gone either way.
    }
}

void setThreadCount(int n) { crossplat::threadpool::initialize_with_threads(static_cast<size_t>(n)); }

} // namespace Http
