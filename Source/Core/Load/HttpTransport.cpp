#include "Load/Transport.h"

#include "Http/Pool.h"
#include "Json/Reader.h"

#include <memory>
#include <utility>

namespace Load {

namespace {

    using Common::Reason;
    using Json::Value;

    constexpr int ok = 200;

    struct Settings {
        std::string path;
        Mode mode { Mode::Query };
        std::optional<Common::Milliseconds> deadline;
        Common::Milliseconds timeout;
        Http::Pool pool;
    };

    Http::Request makeRequest(const Attempt& attempt, const Settings& settings)
    {
        Value body;
        body["q"] = Value::string(attempt.query);
        if (settings.deadline)
            body["deadline_ms"] = Value::number(settings.deadline->value());
        Http::Request request;
        request.method = "POST";
        request.path = settings.path;
        request.body = body.serialize();
        if (settings.mode == Mode::Booking)
            request.headers["X-Request-Id"] = attempt.request.value();
        return request;
    }

    Outcome parseOutcome(const std::string& ran)
    {
        if (ran == "not-run")
            return Outcome::NotRun;
        return ran == "refused-by-backend-server" ? Outcome::RefusedByBackendServer : Outcome::Unknown;
    }

    AttemptResult parseResponse(int status, const Value& body, Mode mode)
    {
        AttemptResult result;
        result.status = status;
        if (status == ok) {
            result.outcome = Outcome::Done;
            if (mode == Mode::Booking)
                return result;
            result.complete = body.at("complete").as_bool();
            result.coverage = Common::Ratio(body.at("coverage").as_double());
            return result;
        }
        const Value& error = body.at("error");
        result.reason = error.at("reason").as_string();
        if (error.has_field("ran"))
            result.outcome = parseOutcome(error.at("ran").as_string());
        return result;
    }

    AttemptResult toAttemptResult(const Common::Result<Http::Response>& result, Mode mode)
    {
        if (!result)
            return { 0, result.error().reason == Reason::DeadlineExceeded ? "timeout" : "connection-error" };
        try {
            return parseResponse(result.value().status, Value::parse(result.value().body), mode);
        } catch (const web::json::json_exception&) {
            return { result.value().status, "malformed-answer" };
        }
    }

    void send(Settings& settings, const Attempt& attempt, std::function<void(AttemptResult)> done)
    {
        auto finish = [done = std::move(done), mode = settings.mode](
                          const Common::Result<Http::Response>& result) { done(toAttemptResult(result, mode)); };
        if (settings.mode == Mode::Query) {
            settings.pool.send(attempt.entry, makeRequest(attempt, settings), finish);
            return;
        }
        // A booking uses a new connection: a reused one may fail because of an earlier request.
        auto connection = std::make_shared<Http::Connection>(attempt.entry, Http::Reuse::Never, settings.timeout);
        connection->send(makeRequest(attempt, settings),
            [connection, finish](const Common::Result<Http::Response>& result) { finish(result); });
    }

} // namespace

Transport httpTransport(const Options& options)
{
    const std::string kind = options.mode == Mode::Booking ? "/v1/run/" : "/v1/query/";
    auto settings = std::make_shared<Settings>(Settings {
        kind + options.route.value(), options.mode, options.deadline, options.timeout, Http::Pool(options.timeout) });
    return { [settings](const Attempt& attempt, std::function<void(AttemptResult)> done) {
        send(*settings, attempt, std::move(done));
    } };
}

} // namespace Load
