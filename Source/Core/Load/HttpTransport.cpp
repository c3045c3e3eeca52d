#define _TURN_OFF_PLATFORM_STRING // NOLINT(bugprone-reserved-identifier): the library names it.
#include "Load/Transport.h"

#include <map>
#include <memory>
#include <utility>

#include <cpprest/http_client.h>

namespace Load {

namespace {

    namespace Http = web::http;
    using Client = web::http::client::http_client;
    using Json = web::json::value;

    struct Settings {
        std::string path;
        Mode mode { Mode::Query };
        std::optional<Common::Milliseconds> deadline;
        Http::client::http_client_config config;
        std::map<Common::Address, std::shared_ptr<Client>> pooled;
    };

    std::shared_ptr<Client> makeClient(const Common::Address& entry, const Settings& settings)
    {
        return std::make_shared<Client>("http://" + entry.value(), settings.config);
    }

    Http::http_request makeRequest(const Attempt& attempt, const Settings& settings)
    {
        Json body;
        body["q"] = Json::string(attempt.query);
        if (settings.deadline)
            body["deadline_ms"] = Json::number(settings.deadline->value());
        Http::http_request request(Http::methods::POST);
        request.set_request_uri(settings.path);
        request.set_body(body);
        if (settings.mode == Mode::Booking)
            request.headers().add("X-Request-Id", attempt.request.value());
        return request;
    }

    Ending endingOf(const std::string& ran)
    {
        if (ran == "not-run")
            return Ending::NotRun;
        return ran == "refused-by-backend-server" ? Ending::RefusedByBackendServer : Ending::Unknown;
    }

    Answer readAnswer(int status, const Json& body, Mode mode)
    {
        Answer answer;
        answer.status = status;
        if (status == Http::status_codes::OK) {
            answer.ending = Ending::Done;
            if (mode == Mode::Booking)
                return answer;
            answer.complete = body.at("complete").as_bool();
            answer.coverage = Common::Ratio(body.at("coverage").as_double());
            return answer;
        }
        const Json& error = body.at("error");
        answer.reason = error.at("reason").as_string();
        if (error.has_field("ran"))
            answer.ending = endingOf(error.at("ran").as_string());
        return answer;
    }

    Answer takeAnswer(const pplx::task<std::string>& task, int status, Mode mode)
    {
        try {
            return readAnswer(status, Json::parse(task.get()), mode);
        } catch (const web::json::json_exception&) {
            return { status, "malformed-answer" };
        } catch (const std::exception&) {
            return { 0, "answer-cut-off" };
        }
    }

    void send(const Settings& settings, const Attempt& attempt, std::function<void(Answer)> done)
    {
        // The library sends a POST again by itself when a pooled connection closes; on a fresh one it does not.
        const bool isFresh = settings.mode == Mode::Booking;
        auto client = isFresh ? makeClient(attempt.entry, settings) : settings.pooled.at(attempt.entry);
        client->request(makeRequest(attempt, settings))
            .then([client, done = std::move(done), mode = settings.mode](const pplx::task<Http::http_response>& task) {
                Http::http_response response;
                try {
                    response = task.get();
                } catch (const Http::http_exception& e) {
                    const bool isLate = e.error_code() == std::errc::timed_out;
                    return done({ 0, isLate ? "timeout" : "connection-error" });
                } catch (const std::exception&) {
                    return done({ 0, "connection-error" });
                }
                response.extract_utf8string(true).then(
                    [done, mode, status = response.status_code()](
                        const pplx::task<std::string>& body) { done(takeAnswer(body, status, mode)); });
            });
    }

} // namespace

Transport httpTransport(const Options& options)
{
    auto settings = std::make_shared<Settings>();
    const std::string kind = options.mode == Mode::Booking ? "/v1/run/" : "/v1/query/";
    settings->path = kind + web::uri::encode_data_string(options.route.value());
    settings->mode = options.mode;
    settings->deadline = options.deadline;
    settings->config.set_timeout(Common::Clock::toChrono(options.timeout));
    for (const Common::Address& entry : options.entries)
        settings->pooled.emplace(entry, makeClient(entry, *settings));
    return { [settings](const Attempt& attempt, std::function<void(Answer)> done) {
        send(*settings, attempt, std::move(done));
    } };
}

} // namespace Load
