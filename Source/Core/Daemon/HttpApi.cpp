#include "Daemon/HttpApi.h"

#include "Api/CallerJson.h"
#include "Api/MembershipJson.h"
#include "Api/ResourceJson.h"
#include "Api/TimelineJson.h"
#include "Backend/Json.h"
#include "Model/Validation.h"

#include <atomic>
#include <charconv>
#include <cmath>

using Api::ExecutionStatus;
using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Control::configurationShard;

namespace Daemon {

namespace {

    constexpr Milliseconds operatorTimeout { 5'000 };
    constexpr Milliseconds watchTimeout { 12'000 };
    constexpr size_t defaultTimelineLimit { 200 };
    constexpr size_t maximumTimelineLimit { 20'000 };
    constexpr Milliseconds retryElsewhereAfter { 100 };
    constexpr double millisecondsInSecond = 1'000;

    Http::Response respond(int status, std::string body)
    {
        Http::Response response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    // The header takes whole seconds.
    void setRetryAfter(Http::Response& response, std::optional<Milliseconds> retryAfter)
    {
        if (retryAfter)
            response.headers["Retry-After"]
                = std::to_string(static_cast<int64_t>(std::ceil(retryAfter->value() / millisecondsInSecond)));
    }

    Http::Response refuse(const Common::Error& error, ExecutionStatus ran = ExecutionStatus::NotRun,
        std::optional<Milliseconds> retryAfter = {})
    {
        auto response = respond(Api::statusOf(error.reason), Api::encodeError(error, ran, retryAfter));
        setRetryAfter(response, retryAfter);
        return response;
    }

    Http::Response refuseInput(const std::string& step, const std::string& message)
    {
        return refuse(Common::makeError(Reason::InvalidInput, step, message));
    }

    Http::Response notFound(const Http::Request& request)
    {
        return refuse(
            Common::makeError(Reason::NotFound, "route-request", request.method + " " + request.path + " is unknown"));
    }

    Result<uint64_t> readNumber(const Http::Request& request, const std::string& field, uint64_t fallback)
    {
        auto it = request.query.find(field);
        if (it == request.query.end())
            return fallback;
        uint64_t value = 0;
        const std::string& text = it->second;
        auto end = std::from_chars(text.data(), text.data() + text.size(), value);
        if (end.ec == std::errc() && end.ptr == text.data() + text.size())
            return value;
        return Common::makeError(
            Reason::InvalidInput, "read-parameter", "field " + field + " is '" + text + "', expected a whole number");
    }

    std::string newRequestId()
    {
        static std::atomic<uint64_t> next { 1 };
        return "q-" + std::to_string(static_cast<uint64_t>(Clock::wallClock().value())) + "-" + std::to_string(next++);
    }

    // Calls fn with the result of the control instance's reply, or responds with the error that it carries.
    template <typename Expected, typename Function>
    void withReply(const Result<Control::Reply>& result, const Http::Responder& respondWith, Function&& fn)
    {
        if (!result) {
            respondWith(refuse(result.error(), ExecutionStatus::Unknown));
            return;
        }
        auto reply = std::get_if<Expected>(&result.value());
        if (!reply) {
            respondWith(
                refuse(Common::makeError(Reason::Corrupt, "read-reply", "control sent a reply of an unexpected type"),
                    ExecutionStatus::Unknown));
            return;
        }
        if (auto error = std::get_if<Common::Error>(&reply->result)) {
            respondWith(refuse(*error, ExecutionStatus::Unknown));
            return;
        }
        fn(std::get<0>(reply->result));
    }

    // Queries fail with these reasons only before the first sub-request is sent; see Gather::Answer.
    bool isBeforeFirstSend(Reason reason)
    {
        return reason == Reason::Overloaded || reason == Reason::Unavailable || reason == Reason::NotFound
            || reason == Reason::InvalidInput || reason == Reason::Quarantined;
    }

    void answerQuery(const HttpApiDependencies& dependencies, const std::string& route, const Http::Request& request,
        const Http::Responder& done)
    {
        auto body = Api::decodeQuery(request.body);
        if (!body) {
            done(refuse(body.error()));
            return;
        }
        std::string id = Http::headerOf(request.headers, "x-request-id");
        if (id.empty())
            id = newRequestId();
        if (auto valid = Model::validateName("X-Request-Id", id); !valid) {
            done(refuse(valid.error()));
            return;
        }
        Entry::QueryRequest query { Common::RequestId(id), Common::RouteName(route), std::move(body.value().text),
            body.value().deadline };
        dependencies.entry->query(std::move(query), [done, id](const Result<Gather::Answer>& answer) {
            if (answer)
                done(respond(200, Api::encodeAnswer(answer.value(), Common::RequestId(id))));
            else
                done(refuse(answer.error(),
                    isBeforeFirstSend(answer.error().reason) ? ExecutionStatus::NotRun : ExecutionStatus::Unknown,
                    retryElsewhereAfter));
        });
    }

    Http::Response toResponse(const Once::Answer& answer)
    {
        Http::Response response;
        response.status = Once::statusOf(answer);
        response.headers["X-Outcome"] = Once::answerCode(answer);
        setRetryAfter(response, Once::retryAfterOf(answer));
        auto copyBody = [&](const auto& outcome) {
            response.contentType = outcome.contentType;
            response.body = outcome.body;
            if (outcome.bodyDropped)
                response.headers["X-Body-Dropped"] = "1";
        };
        if (auto completed = std::get_if<Once::Completed>(&answer))
            copyBody(*completed);
        else if (auto refused = std::get_if<Once::RefusedByBackend>(&answer))
            copyBody(*refused);
        else
            response.body = Api::encodeBookingError(answer);
        const Common::Error* error = Once::errorOf(answer);
        bool isOurRefusal = error && std::holds_alternative<Once::NotRunRefusal>(answer);
        if (isOurRefusal && (error->reason == Reason::NotFound || error->reason == Reason::InvalidInput))
            response.status = Api::statusOf(error->reason);
        return response;
    }

    // A caller may declare that it has not sent this id before. A refusal can then report that the request did not run.
    bool mayBeResend(const Http::Request& request) { return Http::headerOf(request.headers, "x-first-send") != "1"; }

    void answerRun(const HttpApiDependencies& dependencies, const std::string& route, const Http::Request& request,
        const Http::Responder& done)
    {
        std::string id = Http::headerOf(request.headers, "x-request-id");
        if (auto valid = Model::validateName("X-Request-Id", id); !valid) {
            done(refuse(valid.error()));
            return;
        }
        Entry::BookingRequest booking;
        booking.mayBeResend = mayBeResend(request);
        booking.id = Common::RequestId(id);
        booking.route = Common::RouteName(route);
        booking.body = request.body;
        booking.contentType = Http::headerOf(request.headers, "content-type");
        if (booking.contentType.empty())
            booking.contentType = "application/json";
        dependencies.entry->run(std::move(booking), [done](const Once::Answer& answer) { done(toResponse(answer)); });
    }

    void answerAnnouncement(
        const HttpApiDependencies& dependencies, const Http::Request& request, const Http::Responder& done)
    {
        auto announcement = Backend::decodeAnnouncement(request.body);
        if (!announcement) {
            done(refuse(announcement.error()));
            return;
        }
        if (dependencies.entry->announce(announcement.value()) == Membership::AnnounceStatus::RaiseIncarnation) {
            done(refuse(Common::makeError(
                Reason::Conflict, "announce", "this incarnation was removed: announce a higher one")));
            return;
        }
        done(respond(200, "{}"));
    }

    // Handles callers' requests and backend servers' announcements. Callers' requests require a lease, and new requests
    // an instance that is not draining. A request refused here was not sent to any backend server.
    void answerWork(const HttpApiDependencies& dependencies, const std::vector<std::string>& path,
        const Http::Request& request, const Http::Responder& done)
    {
        if (!dependencies.entry || request.method != "POST") {
            done(notFound(request));
            return;
        }
        if (path.size() == 2 && path[1] == "announcements") {
            answerAnnouncement(dependencies, request, done);
            return;
        }
        if (path.size() != 3) {
            done(notFound(request));
            return;
        }
        // A possible resend continues to its claim: an earlier send may have run, so it can't be reported as not run.
        bool isRefusable = path[1] == "query" || !mayBeResend(request);
        auto refusal = isRefusable ? dependencies.entry->refusal() : std::nullopt;
        if (refusal) {
            dependencies.metrics.count(Observe::Counter::Refusals, Common::reasonCode(refusal->reason));
            done(refuse(*refusal, ExecutionStatus::NotRun, retryElsewhereAfter));
            return;
        }
        if (path[1] == "query")
            answerQuery(dependencies, path[2], request, done);
        else
            answerRun(dependencies, path[2], request, done);
    }

    void propose(const HttpApiDependencies& dependencies, const Control::Change& change, const Http::Responder& done)
    {
        if (auto valid = Model::validateName("change_id", change.id.value()); !valid) {
            done(refuse(valid.error()));
            return;
        }
        dependencies.controlClient.call(configurationShard, Control::ProposeRequest { configurationShard, change },
            Clock::now() + operatorTimeout, [done](const Result<Control::Reply>& result) {
                withReply<Control::ProposeReply>(result, done, [&](const Control::CommandOutcome& outcome) {
                    if (auto changed = std::get_if<Control::ChangeOutcome>(&outcome))
                        done(respond(Api::statusOf(*changed), Api::encodeOutcome(*changed)));
                    else if (auto refused = std::get_if<Control::CommandRefused>(&outcome))
                        done(refuse(refused->error));
                    else
                        done(refuse(Common::makeError(
                                        Reason::Internal, "propose", "control returned the outcome of another command"),
                            ExecutionStatus::Unknown));
                });
            });
    }

    void deleteResource(const HttpApiDependencies& dependencies, const Model::ResourceKey& key,
        const Http::Request& request, const Http::Responder& done)
    {
        auto madeFrom = readNumber(request, "made_from", 0);
        auto id = request.query.find("change_id");
        if (!madeFrom) {
            done(refuse(madeFrom.error()));
            return;
        }
        if (id == request.query.end()) {
            done(refuseInput("read-parameter", "field change_id is absent, expected an id for this change"));
            return;
        }
        Control::Change change;
        change.id = Common::ChangeId(id->second);
        change.action = Control::Action::Delete;
        change.key = key;
        change.madeFrom = Common::Revision(madeFrom.value());
        propose(dependencies, change, done);
    }

    void readResources(
        const HttpApiDependencies& dependencies, const Model::ResourceKey& key, const Http::Responder& done)
    {
        dependencies.controlClient.call(configurationShard, Control::ReadRequest { key.kind, key.name, {} },
            Clock::now() + operatorTimeout, [done](const Result<Control::Reply>& result) {
                withReply<Control::ReadReply>(
                    result, done, [&](const Control::ReadFound& found) { done(respond(200, Api::encodeList(found))); });
            });
    }

    void answerResources(const HttpApiDependencies& dependencies, const std::vector<std::string>& path,
        const Http::Request& request, const Http::Responder& done)
    {
        Model::ResourceKey key;
        if (path.size() < 3 || path.size() > 4 || !Model::parseKind(path[2], key.kind)) {
            done(notFound(request));
            return;
        }
        if (path.size() == 4)
            key.name = path[3];
        if (request.method == "GET") {
            readResources(dependencies, key, done);
            return;
        }
        if (key.name.empty()) {
            done(refuseInput("route-request", "the path names no resource"));
            return;
        }
        if (request.method == "DELETE") {
            deleteResource(dependencies, key, request, done);
            return;
        }
        if (request.method != "PUT") {
            done(notFound(request));
            return;
        }
        auto change = Api::decodePut(request.body, key);
        if (change)
            propose(dependencies, change.value(), done);
        else
            done(refuse(change.error()));
    }

    void answerWatch(const HttpApiDependencies& dependencies, const Http::Request& request, const Http::Responder& done)
    {
        auto from = readNumber(request, "from", 0);
        if (!from) {
            done(refuse(from.error()));
            return;
        }
        dependencies.controlClient.call(
            configurationShard, Control::WatchRequest { Common::Revision(from.value()) }, Clock::now() + watchTimeout,
            [done](const Result<Control::Reply>& result) {
                withReply<Control::WatchReply>(result, done,
                    [&](const Control::Changes& changes) { done(respond(200, Api::encodeChanges(changes))); });
            },
            watchTimeout);
    }

    void answerStatus(
        const HttpApiDependencies& dependencies, const Http::Request& request, const Http::Responder& done)
    {
        auto revision = readNumber(request, "revision", 0);
        if (!revision) {
            done(refuse(revision.error()));
            return;
        }
        dependencies.controlClient.call(configurationShard,
            Control::StatusRequest { Common::Revision(revision.value()) }, Clock::now() + operatorTimeout,
            [done](const Result<Control::Reply>& result) {
                withReply<Control::StatusReply>(result, done,
                    [&](const Control::StatusFound& found) { done(respond(200, Api::encodeStatus(found))); });
            });
    }

    void answerTimeline(
        const HttpApiDependencies& dependencies, const Http::Request& request, const Http::Responder& done)
    {
        auto limit = readNumber(request, "limit", defaultTimelineLimit);
        if (!limit || limit.value() > maximumTimelineLimit) {
            done(refuseInput(
                "read-parameter", "field limit is not a whole number up to " + std::to_string(maximumTimelineLimit)));
            return;
        }
        auto subject = request.query.find("subject");
        dependencies.timeline.collect(subject == request.query.end() ? "" : subject->second, limit.value(),
            dependencies.otherProcesses ? dependencies.otherProcesses() : std::vector<Common::Address> {},
            [done](const TimelineCollector::Collected& collected) {
                done(respond(200, Api::encodeTimeline(collected.events, collected.silent)));
            });
    }

    void answerHealth(
        const HttpApiDependencies& dependencies, const std::vector<std::string>& path, const Http::Responder& done)
    {
        if (path.size() != 2 || path[1] != "ready") {
            done(respond(200, R"({"live":true})"));
            return;
        }
        std::optional<Common::Error> refusal;
        if (dependencies.draining)
            refusal = Common::makeError(Reason::Unavailable, "ready", "this instance is draining");
        else if (dependencies.entry)
            refusal = dependencies.entry->notReadyReason();
        done(refusal ? refuse(*refusal) : respond(200, R"({"ready":true})"));
    }

} // namespace

void answer(const HttpApiDependencies& dependencies, const Http::Request& request, const Http::Responder& done)
{
    auto path = Http::splitPath(request.path);
    if (path.empty()) {
        done(notFound(request));
        return;
    }
    if (path[0] == "health") {
        answerHealth(dependencies, path, done);
        return;
    }
    if (path[0] == "metrics" && path.size() == 1) {
        auto response = respond(200, dependencies.metrics.text());
        response.contentType = "text/plain; version=0.0.4";
        done(std::move(response));
        return;
    }
    if (path[0] != "v1" || path.size() < 2) {
        done(notFound(request));
        return;
    }
    if (path[1] == "query" || path[1] == "run" || path[1] == "announcements")
        answerWork(dependencies, path, request, done);
    else if (path[1] == "resources")
        answerResources(dependencies, path, request, done);
    else if (path[1] == "watch" && request.method == "GET")
        answerWatch(dependencies, request, done);
    else if (path[1] == "status" && request.method == "GET")
        answerStatus(dependencies, request, done);
    else if (path[1] == "timeline" && request.method == "GET")
        answerTimeline(dependencies, request, done);
    else if (path[1] == "instances" && dependencies.entry && request.method == "GET")
        done(respond(200, Api::encodeInstances(dependencies.entry->instances())));
    else if (path[1] == "backend-servers" && dependencies.entry && request.method == "GET")
        done(respond(200, Api::encodeServers(*dependencies.entry->directory())));
    else
        done(notFound(request));
}

} // namespace Daemon
