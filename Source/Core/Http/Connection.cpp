#include "Http/Connection.h"

#include <utility>

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

using Common::Reason;

namespace Http {

namespace {

    // cpprestsdk tells a connect that failed from later errors by its message only; a test holds it to this.
    bool isConnectFailure(const std::string& message)
    {
        return message.rfind("Failed to connect", 0) == 0 || message.rfind("Error resolving address", 0) == 0;
    }

    Common::Error toError(const web::http::http_exception& e, const std::string& peer, bool cancelled)
    {
        std::string message = e.what();
        if (isConnectFailure(message))
            return Common::makeError(Reason::ConnectionFailed, "connect", message, peer);
        if (cancelled)
            return Common::makeError(Reason::Cancelled, "request", "cancelled", peer);
        if (e.error_code() == std::errc::timed_out)
            return Common::makeError(Reason::DeadlineExceeded, "request", "no whole answer in time", peer);
        return Common::makeError(Reason::ConnectionLost, "request", message, peer);
    }

    // On a pooled connection that closes without an answer, cpprestsdk sends a request again by itself: a request that
    // crashed its server would hide that, and find a second one. It can't do so with a body that it can't rewind.
    // Both calls below are done when they return; waiting for their tasks would take a thread of the library.
    concurrency::streams::istream bodyStream(const std::string& body)
    {
        concurrency::streams::producer_consumer_buffer<uint8_t> buffer;
        buffer.putn_nocopy(reinterpret_cast<const uint8_t*>(body.data()), body.size());
        buffer.close(std::ios_base::out);
        return buffer.create_istream();
    }

    web::http::http_request toMessage(const Request& request)
    {
        web::http::http_request message(request.method);
        web::uri_builder uri(web::uri::encode_uri(request.path, web::uri::components::path));
        for (auto& [name, value] : request.query)
            uri.append_query(web::uri::encode_data_string(name), web::uri::encode_data_string(value), false);
        message.set_request_uri(uri.to_uri());
        for (auto& [name, value] : request.headers)
            message.headers().add(name, value);
        if (request.method != "GET" && request.method != "DELETE") {
            std::string type = headerOf(request.headers, "content-type");
            message.set_body(bodyStream(request.body), request.body.size(), type.empty() ? "application/json" : type);
        }
        return message;
    }

} // namespace

struct Connection::Private : std::enable_shared_from_this<Connection::Private> {
    std::string peer;
    Reuse reuse { Reuse::Allowed };
    Common::Milliseconds timeout;
    std::atomic<bool> warm { false };
    std::mutex mutex; // Guards what follows.
    std::shared_ptr<web::http::client::http_client> client;
    pplx::cancellation_token_source cancellation;

    std::shared_ptr<web::http::client::http_client> currentClient();
    void finish(const pplx::task<std::string>& body, Response& response, const pplx::cancellation_token& token,
        const Done& done);
};

std::shared_ptr<web::http::client::http_client> Connection::Private::currentClient()
{
    if (client && reuse == Reuse::Allowed)
        return client;
    web::http::client::http_client_config config;
    config.set_timeout(Common::Clock::toChrono(timeout));
    client = std::make_shared<web::http::client::http_client>("http://" + peer, config);
    return client;
}

Connection::Connection(const Common::Address& peer, Reuse reuse, Common::Milliseconds timeout)
    : m_private(std::make_shared<Private>())
{
    m_private->peer = peer.value();
    m_private->reuse = reuse;
    m_private->timeout = timeout;
}

Connection::~Connection() = default;

void Connection::send(const Request& request, Done done)
{
    auto self = m_private;
    std::shared_ptr<web::http::client::http_client> client;
    pplx::cancellation_token token = pplx::cancellation_token::none();
    {
        std::lock_guard lock(self->mutex);
        client = self->currentClient();
        self->cancellation = pplx::cancellation_token_source();
        token = self->cancellation.get_token();
    }
    auto response = std::make_shared<Response>();
    client->request(toMessage(request), token)
        .then([response](web::http::http_response message) {
            response->status = message.status_code();
            for (auto& [name, value] : message.headers())
                response->headers[lowerCase(name)] = value;
            response->contentType = headerOf(response->headers, "content-type");
            return message.extract_utf8string(true);
        })
        .then([self, response, token, done = std::move(done), client](
                  const pplx::task<std::string>& body) { self->finish(body, *response, token, done); });
}

void Connection::Private::finish(
    const pplx::task<std::string>& body, Response& response, const pplx::cancellation_token& token, const Done& done)
{
    std::optional<Common::Error> error;
    try {
        response.body = body.get();
    } catch (const web::http::http_exception& e) {
        error = toError(e, peer, token.is_canceled());
    } catch (const pplx::task_canceled&) {
        error = Common::makeError(Reason::Cancelled, "request", "cancelled", peer);
    } catch (const std::exception& e) {
        error = Common::makeError(Reason::ConnectionLost, "request", e.what(), peer);
    }
    // On a connection that was open already, the library may have sent the request once before it failed to connect.
    if (error && warm && reuse == Reuse::Allowed && error->reason == Reason::ConnectionFailed)
        error->reason = Reason::ConnectionLost;
    warm = !error;
    if (error) {
        done(*std::move(error));
        return;
    }
    done(std::move(response));
}

void Connection::cancel()
{
    std::lock_guard lock(m_private->mutex);
    m_private->cancellation.cancel();
}

} // namespace Http
