#define _TURN_OFF_PLATFORM_STRING // NOLINT(bugprone-reserved-identifier): the library names it.
#include "StandIn/HttpFront.h"

#include "StandIn/Encoding.h"

#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <cpprest/http_listener.h>
#include <netinet/in.h>
#include <pplx/threadpool.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    namespace Http = web::http;
    using Listener = web::http::experimental::listener::http_listener;

    constexpr int openAttempts = 20;
    constexpr size_t maximumUnanswered = 16 << 10;
    constexpr Http::status_code clientClosedRequest = 499;

    struct Answer {
        Http::status_code status { Http::status_codes::OK };
        std::string body;
        bool notRun { false };
    };

    Answer refusal(Verdict verdict)
    {
        using Codes = Http::status_codes;
        switch (verdict) {
        case Verdict::Shedding:
            return { Codes::ServiceUnavailable, encodeError("shedding", "the server sheds load"), true };
        case Verdict::Draining:
            return { Codes::ServiceUnavailable, encodeError("draining", "the server is draining"), true };
        case Verdict::NoSlots:
            return { Codes::ServiceUnavailable, encodeError("no-slots", "all slots are taken"), true };
        case Verdict::WrongVersion:
            return { Codes::Conflict, encodeError("wrong-version", "this index version is not here"), true };
        case Verdict::WrongShard:
            return { Codes::Conflict, encodeError("wrong-shard", "this shard is not here"), true };
        case Verdict::Cancelled:
            return { clientClosedRequest, encodeError("cancelled", "the search was cancelled"), false };
        case Verdict::DeadlinePassed:
            return { Codes::GatewayTimeout, encodeError("deadline", "the deadline passed"), false };
        case Verdict::Done:
        case Verdict::NeverAnswered:
            break;
        }
        return { Codes::InternalError, encodeError("internal", "no refusal"), false };
    }

    Answer badRequest(const Common::Error& error)
    {
        return { Http::status_codes::BadRequest, encodeError("bad-request", error.message), true };
    }

    uint16_t portFromKernel()
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

    std::string header(const Http::http_request& request, const std::string& name)
    {
        auto it = request.headers().find(name);
        return it == request.headers().end() ? std::string() : it->second;
    }

} // namespace

struct HttpFront::Private : std::enable_shared_from_this<HttpFront::Private> {
    Private(Backend& b, uint32_t shardCount, Common::Address a)
        : backend(b)
        , defaultShardCount(shardCount)
        , address(std::move(a))
        , listener("http://" + address.value())
    {
    }

    void route(const Http::http_request&);
    void search(const Http::http_request&, const std::string& body);
    void run(const Http::http_request&, const std::string& body);
    void cancel(const Http::http_request&, const std::vector<std::string>& path);
    void changeFaults(const Http::http_request&, const std::string& body);
    void changeVersions(const Http::http_request&, const std::string& body);
    void reply(const Http::http_request&, const Answer&);
    void leaveUnanswered(const Http::http_request&);
    void withBody(const Http::http_request&, void (Private::*)(const Http::http_request&, const std::string&));
    void done();

    Backend& backend;
    const uint32_t defaultShardCount;
    const Common::Address address;
    Listener listener;
    ConnectionActions actions;

    std::mutex mutex; // Guards all below.
    std::condition_variable idle;
    int64_t inFlight { 0 };
    std::deque<Http::http_request> unanswered;
};

void HttpFront::Private::route(const Http::http_request& request)
{
    {
        std::lock_guard lock(mutex);
        ++inFlight;
    }
    const std::string path = request.relative_uri().path();
    const bool isPost = request.method() == Http::methods::POST;
    const bool isAdmin = path.starts_with("/admin/");
    if (!isAdmin && backend.faults().mute)
        return leaveUnanswered(request);
    if (isPost && path == "/v1/search")
        return withBody(request, &Private::search);
    if (isPost && path == "/v1/run")
        return withBody(request, &Private::run);
    if (isPost && path == "/admin/fault")
        return withBody(request, &Private::changeFaults);
    if (isPost && path == "/admin/versions")
        return withBody(request, &Private::changeVersions);
    if (request.method() == Http::methods::GET && path == "/health")
        return reply(request, { Http::status_codes::OK, encodeHealth(backend.reportedLoad()) });
    if (request.method() == Http::methods::GET && path == "/load")
        return reply(request, { Http::status_codes::OK, encodeLoad(backend.reportedLoad()) });
    const auto parts = web::uri::split_path(path);
    if (request.method() == Http::methods::DEL && parts.size() == 4 && parts[0] == "v1" && parts[1] == "search")
        return cancel(request, parts);
    reply(request, { Http::status_codes::NotFound, encodeError("not-found", path), true });
}

void HttpFront::Private::withBody(
    const Http::http_request& request, void (Private::*fn)(const Http::http_request&, const std::string&))
{
    Http::http_request(request).extract_utf8string(true).then(
        [self = shared_from_this(), request, fn](const pplx::task<std::string>& task) {
            std::string body;
            try {
                body = task.get();
            } catch (const std::exception& e) {
                const auto error = Common::makeError(Common::Reason::InvalidInput, "read-body", e.what());
                return self->reply(request, badRequest(error));
            }
            (self.get()->*fn)(request, body);
        });
}

void HttpFront::Private::search(const Http::http_request& request, const std::string& body)
{
    auto decoded = decodeSearch(body);
    if (!decoded)
        return reply(request, badRequest(decoded.error()));
    backend.search(decoded.value(), [self = shared_from_this(), request](const SearchOutcome& outcome) {
        if (outcome.verdict == Verdict::NeverAnswered)
            return self->leaveUnanswered(request);
        if (outcome.verdict != Verdict::Done)
            return self->reply(request, refusal(outcome.verdict));
        self->reply(request, { Http::status_codes::OK, encodeAnswer(outcome.answer) });
    });
}

void HttpFront::Private::run(const Http::http_request& request, const std::string& body)
{
    const RunRequest run { Common::RequestId(header(request, "X-Request-Id")), body, {} };
    if (run.request.value().empty() || !isJson(body)) {
        const auto error = Common::makeError(Common::Reason::InvalidInput, "run", "X-Request-Id and JSON are needed");
        return reply(request, badRequest(error));
    }
    backend.run(run, [self = shared_from_this(), request, id = run.request](Verdict verdict) {
        if (verdict == Verdict::NeverAnswered)
            return self->leaveUnanswered(request);
        if (verdict != Verdict::Done)
            return self->reply(request, refusal(verdict));
        self->reply(request, { Http::status_codes::OK, encodeTicket(id) });
    });
}

void HttpFront::Private::cancel(const Http::http_request& request, const std::vector<std::string>& path)
{
    uint32_t shard = 0;
    const std::string& text = path[3];
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), shard);
    if (ec != std::errc() || end != text.data() + text.size())
        return reply(request, badRequest(Common::makeError(Common::Reason::InvalidInput, "cancel", "shard")));
    const bool found = backend.cancel(QueryName(web::uri::decode(path[2])), Common::ShardId(shard));
    reply(request, { Http::status_codes::OK, found ? R"({"cancelled": true})" : R"({"cancelled": false})" });
}

void HttpFront::Private::changeFaults(const Http::http_request& request, const std::string& body)
{
    auto change = decodeFaults(body, backend.faults());
    if (!change)
        return reply(request, badRequest(change.error()));
    backend.setFaults(change.value().faults);
    reply(request, { Http::status_codes::OK, encodeFaults(change.value().faults) });
    if (change.value().silenceConnections && actions.silence)
        actions.silence();
    if (change.value().closeConnections && actions.close)
        actions.close();
}

void HttpFront::Private::changeVersions(const Http::http_request& request, const std::string& body)
{
    auto sets = decodeVersions(body, defaultShardCount);
    if (!sets)
        return reply(request, badRequest(sets.error()));
    backend.setReplicas(sets.value());
    reply(request, { Http::status_codes::OK, "{}" });
}

void HttpFront::Private::reply(const Http::http_request& request, const Answer& answer)
{
    Http::http_response response(answer.status);
    response.set_body(answer.body, "application/json");
    if (answer.notRun)
        response.headers().add("X-Not-Run", "1");
    request.reply(response).then([self = shared_from_this()](const pplx::task<void>& task) {
        try {
            task.get();
        } catch (const std::exception&) {
            // The other side has gone; nobody is left to tell.
        }
        self->done();
    });
}

// cpprestsdk answers a request that is dropped, so it is kept instead.
void HttpFront::Private::leaveUnanswered(const Http::http_request& request)
{
    {
        std::lock_guard lock(mutex);
        unanswered.push_back(request);
        if (unanswered.size() > maximumUnanswered)
            unanswered.pop_front();
    }
    done();
}

void HttpFront::Private::done()
{
    std::lock_guard lock(mutex);
    if (!--inFlight)
        idle.notify_all();
}

HttpFront::HttpFront(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

HttpFront::~HttpFront()
{
    try {
        m_private->listener.close().wait();
    } catch (const std::exception&) {
        // It was not open.
    }
}

Common::Result<std::unique_ptr<HttpFront>> HttpFront::open(Backend& backend, uint32_t defaultShardCount)
{
    // Another process may take the port between the two steps; then the next one is tried.
    for (int i = 0;; ++i) {
        const Common::Address address("127.0.0.1:" + std::to_string(portFromKernel()));
        auto front = openAt(backend, defaultShardCount, address);
        if (front || i == openAttempts)
            return front;
    }
}

Common::Result<std::unique_ptr<HttpFront>> HttpFront::openAt(
    Backend& backend, uint32_t defaultShardCount, const Common::Address& address)
{
    try {
        auto d = std::make_shared<Private>(backend, defaultShardCount, address);
        d->listener.support([it = std::weak_ptr<Private>(d)](const Http::http_request& request) {
            if (auto self = it.lock())
                self->route(request);
        });
        d->listener.open().wait();
        return std::unique_ptr<HttpFront>(new HttpFront(std::move(d)));
    } catch (const std::exception& e) {
        return Common::makeError(Common::Reason::Unavailable, "listen", e.what(), address.value());
    }
}

void HttpFront::setConnectionActions(ConnectionActions actions) { m_private->actions = std::move(actions); }

Common::Address HttpFront::address() const { return m_private->address; }

bool HttpFront::waitUntilIdle(Common::Milliseconds bound)
{
    std::unique_lock lock(m_private->mutex);
    return m_private->idle.wait_for(lock, Common::Clock::toChrono(bound), [&] { return !m_private->inFlight; });
}

void setHttpThreads(int n)
{
    // The library refuses a second time.
    static std::once_flag once;
    std::call_once(once, [n] { crossplat::threadpool::initialize_with_threads(n); });
}

} // namespace StandIn
