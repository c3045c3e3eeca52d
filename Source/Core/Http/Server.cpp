#include "Http/Server.h"

#include <utility>

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

using Common::Reason;

namespace Http {

namespace {

    constexpr size_t bodyChunk = 16 * 1024;

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

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

    Response errorResponse(int status, const std::string& reason, const std::string& message)
    {
        Response response;
        response.status = status;
        response.body = R"({"error":{"reason":")" + reason + R"(","message":")" + message + R"(","ran":"not-run"}})";
        return response;
    }

    // A body as it arrives in pieces, up to a limit.
    struct BodyReader : std::enable_shared_from_this<BodyReader> {
        concurrency::streams::istream stream;
        concurrency::streams::container_buffer<std::string> buffer;
        size_t limit { 0 };
        size_t total { 0 };

        // True if the whole body came, false if it is over the limit.
        pplx::task<bool> read()
        {
            auto self = shared_from_this();
            return stream.read(buffer, bodyChunk).then([self](size_t n) {
                self->total += n;
                if (self->total > self->limit)
                    return pplx::task_from_result(false);
                if (!n)
                    return pplx::task_from_result(true);
                return self->read();
            });
        }
    };

} // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
    ServerOptions options;
    Handler handler;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    std::atomic<bool> closing { false };
    std::mutex mutex;
    std::condition_variable idle;
    size_t inFlight { 0 };

    void accept(web::http::http_request message);
    void readBody(const web::http::http_request& message, Request request);
    void answer(const web::http::http_request& message, Response response);
    void finished();
};

void Server::Private::accept(web::http::http_request message)
{
    {
        std::lock_guard lock(mutex);
        ++inFlight;
    }
    try {
        readBody(message, convertHead(message));
    } catch (const std::exception& e) {
        answer(message, errorResponse(400, "invalid-input", "the request line or a header can not be read"));
    }
}

void Server::Private::readBody(const web::http::http_request& message, Request request)
{
    auto limit = static_cast<size_t>(options.maximumBody.value());
    if (message.headers().content_length() > limit) {
        answer(message,
            errorResponse(413, "invalid-input", "the body is larger than " + std::to_string(limit) + " bytes"));
        return;
    }
    auto reader = std::make_shared<BodyReader>();
    reader->stream = message.body();
    reader->limit = limit;
    auto self = shared_from_this();
    reader->read().then([self, message, reader, request = std::move(request)](const pplx::task<bool>& done) mutable {
        try {
            if (!done.get()) {
                self->answer(message, errorResponse(413, "invalid-input", "the body is too large"));
                return;
            }
        } catch (const std::exception&) {
            self->answer(message, errorResponse(400, "invalid-input", "the body did not arrive whole"));
            return;
        }
        request.body = std::move(reader->buffer.collection());
        // The buffer grows ahead of what is written.
        request.body.resize(reader->total);
        try {
            self->handler(
                std::move(request), [self, message](Response response) { self->answer(message, std::move(response)); });
        } catch (const std::exception& e) {
            self->answer(message, errorResponse(500, "internal", "the request could not be handled"));
        }
    });
}

void Server::Private::answer(const web::http::http_request& message, Response response)
{
    web::http::http_response out(static_cast<web::http::status_code>(response.status));
    for (auto& [name, value] : response.headers)
        out.headers().add(name, value);
    if (closing)
        out.headers().add("Connection", "close");
    out.set_body(std::move(response.body), response.contentType);
    auto self = shared_from_this();
    message.reply(out).then([self](const pplx::task<void>& sent) {
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
