#include "StandIn/HttpApi.h"

#include "Http/Server.h"
#include "StandIn/Encoding.h"

#include <charconv>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr int openAttempts = 20;
    constexpr int ok = 200;
    constexpr int badRequestStatus = 400;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int clientClosedRequest = 499;
    constexpr int internalError = 500;
    constexpr int unavailable = 503;
    constexpr int gatewayTimeout = 504;

    struct Answer {
        int status { ok };
        std::string body;
        bool isNotRun { false };
    };

    // A request and its responder.
    struct Exchange {
        Http::Request request;
        Http::Responder respond;
    };

    Answer errorAnswer(WorkStatus status)
    {
        switch (status) {
        case WorkStatus::Shedding:
            return { unavailable, encodeError("shedding", "the server is shedding load"), true };
        case WorkStatus::Draining:
            return { unavailable, encodeError("draining", "the server is draining"), true };
        case WorkStatus::NoSlots:
            return { unavailable, encodeError("no-slots", "all slots are taken"), true };
        case WorkStatus::WrongVersion:
            return { conflict, encodeError("wrong-version", "the server does not hold this index version"), true };
        case WorkStatus::WrongShard:
            return { conflict, encodeError("wrong-shard", "the server does not hold this shard"), true };
        case WorkStatus::Cancelled:
            return { clientClosedRequest, encodeError("cancelled", "the search was cancelled"), false };
        case WorkStatus::DeadlinePassed:
            return { gatewayTimeout, encodeError("deadline", "the deadline passed"), false };
        case WorkStatus::Done:
        case WorkStatus::ResponseDropped:
            break;
        }
        return { internalError, encodeError("internal", "unexpected status"), false };
    }

    Answer badRequest(const Common::Error& error)
    {
        return { badRequestStatus, encodeError("bad-request", error.message), true };
    }

    uint16_t findFreePort()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in in {};
        in.sin_family = AF_INET;
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(in);
        auto* address = reinterpret_cast<sockaddr*>(&in);
        const bool isBound = fd >= 0 && !::bind(fd, address, size) && !::getsockname(fd, address, &size);
        if (fd >= 0)
            ::close(fd);
        return isBound ? ntohs(in.sin_port) : 0;
    }

} // namespace

struct HttpApi::Private : std::enable_shared_from_this<HttpApi::Private> {
    Private(Backend& b, uint32_t shardCount, Common::Address a)
        : backend(b)
        , defaultShardCount(shardCount)
        , address(std::move(a))
    {
    }

    void route(const Exchange&);
    void search(const Exchange&);
    void run(const Exchange&);
    void cancel(const Exchange&, const std::vector<std::string>& path);
    void changeFaults(const Exchange&);
    void changeVersions(const Exchange&);
    void reply(const Exchange&, const Answer&);
    void holdUnanswered(const Exchange&);
    void dropUnanswered(uint64_t number);

    Backend& backend;
    const uint32_t defaultShardCount;
    const Common::Address address;
    std::unique_ptr<Http::Server> server;
    ConnectionActions actions;

    std::mutex mutex; // Guards all below.
    std::map<uint64_t, Http::Responder> unanswered;
    uint64_t nextUnanswered { 1 };
};

void HttpApi::Private::route(const Exchange& exchange)
{
    const std::string& path = exchange.request.path;
    const std::string& method = exchange.request.method;
    const bool isPost = method == "POST";
    if (!path.starts_with("/admin/") && backend.faults().mute)
        return holdUnanswered(exchange);
    if (isPost && path == "/v1/search")
        return search(exchange);
    if (isPost && path == "/v1/run")
        return run(exchange);
    if (isPost && path == "/admin/fault")
        return changeFaults(exchange);
    if (isPost && path == "/admin/versions")
        return changeVersions(exchange);
    if (method == "GET" && path == "/health")
        return reply(exchange, { ok, encodeHealth(backend.reportedLoad()) });
    if (method == "GET" && path == "/load")
        return reply(exchange, { ok, encodeLoad(backend.reportedLoad()) });
    const auto parts = Http::splitPath(path);
    if (method == "DELETE" && parts.size() == 4 && parts[0] == "v1" && parts[1] == "search")
        return cancel(exchange, parts);
    reply(exchange, { notFound, encodeError("not-found", path), true });
}

void HttpApi::Private::search(const Exchange& exchange)
{
    auto decoded = decodeSearch(exchange.request.body);
    if (!decoded)
        return reply(exchange, badRequest(decoded.error()));
    backend.search(decoded.value(), [self = shared_from_this(), exchange](const SearchResult& result) {
        if (result.status == WorkStatus::ResponseDropped)
            return self->holdUnanswered(exchange);
        if (result.status != WorkStatus::Done)
            return self->reply(exchange, errorAnswer(result.status));
        self->reply(exchange, { ok, encodeAnswer(result.answer) });
    });
}

void HttpApi::Private::run(const Exchange& exchange)
{
    const std::string& body = exchange.request.body;
    const RunRequest run { Common::RequestId(Http::headerOf(exchange.request.headers, "x-request-id")), body, {} };
    if (run.request.value().empty() || !isJson(body)) {
        const auto error = Common::makeError(
            Common::Reason::InvalidInput, "run", "the X-Request-Id header and a JSON body are required");
        return reply(exchange, badRequest(error));
    }
    backend.run(run, [self = shared_from_this(), exchange, id = run.request](WorkStatus status) {
        if (status == WorkStatus::ResponseDropped)
            return self->holdUnanswered(exchange);
        if (status != WorkStatus::Done)
            return self->reply(exchange, errorAnswer(status));
        self->reply(exchange, { ok, encodeRunReply(id) });
    });
}

void HttpApi::Private::cancel(const Exchange& exchange, const std::vector<std::string>& path)
{
    uint32_t shard = 0;
    const std::string& text = path[3];
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), shard);
    if (ec != std::errc() || end != text.data() + text.size())
        return reply(exchange,
            badRequest(Common::makeError(Common::Reason::InvalidInput, "cancel", "the shard is not a number")));
    const bool found = backend.cancel(CallerQueryId(path[2]), Common::ShardId(shard));
    reply(exchange, { ok, found ? R"({"cancelled": true})" : R"({"cancelled": false})" });
}

void HttpApi::Private::changeFaults(const Exchange& exchange)
{
    auto change = decodeFaults(exchange.request.body, backend.faults());
    if (!change)
        return reply(exchange, badRequest(change.error()));
    backend.setFaults(change.value().faults);
    reply(exchange, { ok, encodeFaults(change.value().faults) });
    if (change.value().silenceConnections && actions.silence)
        actions.silence();
    if (change.value().closeConnections && actions.close)
        actions.close();
}

void HttpApi::Private::changeVersions(const Exchange& exchange)
{
    auto sets = decodeVersions(exchange.request.body, defaultShardCount);
    if (!sets)
        return reply(exchange, badRequest(sets.error()));
    backend.setReplicas(sets.value());
    reply(exchange, { ok, "{}" });
}

void HttpApi::Private::reply(const Exchange& exchange, const Answer& answer)
{
    Http::Response response;
    response.status = answer.status;
    response.body = answer.body;
    if (answer.isNotRun)
        response.headers["X-Not-Run"] = "1";
    exchange.respond(std::move(response));
}

// Keeps the request open until the caller disconnects or waitUntilIdle() is called.
void HttpApi::Private::holdUnanswered(const Exchange& exchange)
{
    uint64_t number = 0;
    {
        std::lock_guard lock(mutex);
        number = nextUnanswered++;
        unanswered.emplace(number, exchange.respond);
    }
    exchange.request.caller->onDisconnect([weak = weak_from_this(), number] {
        if (auto self = weak.lock())
            self->dropUnanswered(number);
    });
}

void HttpApi::Private::dropUnanswered(uint64_t number)
{
    Http::Responder respond;
    {
        std::lock_guard lock(mutex);
        auto it = unanswered.find(number);
        if (it == unanswered.end())
            return;
        respond = std::move(it->second);
        unanswered.erase(it);
    }
    Http::Response nothing;
    nothing.drop = true;
    respond(std::move(nothing));
}

HttpApi::HttpApi(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

HttpApi::~HttpApi() { m_private->server->close(); }

Common::Result<std::unique_ptr<HttpApi>> HttpApi::open(Backend& backend, uint32_t defaultShardCount)
{
    // Another process may take the free port before it is opened here. Then the next attempt uses another port.
    for (int i = 0;; ++i) {
        const Common::Address address("127.0.0.1:" + std::to_string(findFreePort()));
        auto api = openAt(backend, defaultShardCount, address);
        if (api || i == openAttempts)
            return api;
    }
}

Common::Result<std::unique_ptr<HttpApi>> HttpApi::openAt(
    Backend& backend, uint32_t defaultShardCount, const Common::Address& address)
{
    auto d = std::make_shared<Private>(backend, defaultShardCount, address);
    Http::Handler handler = [it = std::weak_ptr<Private>(d)](Http::Request request, Http::Responder respond) {
        if (auto self = it.lock())
            self->route({ std::move(request), std::move(respond) });
    };
    BOOST_OUTCOME_TRY(server, Http::Server::open({ address, {} }, std::move(handler)));
    d->server = std::move(server);
    return std::unique_ptr<HttpApi>(new HttpApi(std::move(d)));
}

void HttpApi::setConnectionActions(ConnectionActions actions) { m_private->actions = std::move(actions); }

Common::Address HttpApi::address() const { return m_private->address; }

bool HttpApi::waitUntilIdle(Common::Milliseconds timeout)
{
    std::vector<uint64_t> numbers;
    {
        std::lock_guard lock(m_private->mutex);
        for (auto& [number, respond] : m_private->unanswered)
            numbers.push_back(number);
    }
    for (uint64_t number : numbers)
        m_private->dropUnanswered(number);
    return !m_private->server->waitForAnswers(timeout);
}

} // namespace StandIn
