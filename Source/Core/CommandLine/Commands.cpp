#include "CommandLine/Commands.h"

#include "Api/MembershipJson.h"
#include "Api/ResourceJson.h"
#include "CommandLine/Print.h"
#include "CommandLine/ResourceFile.h"
#include "Daemon/Daemon.h"
#include "Observe/RequestReport.h"
#include "Settings/Settings.h"
#include "Settings/YamlReader.h"

#include <ctime>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;

namespace CommandLine {

namespace {

    constexpr long pollIntervalNanoseconds = 100'000'000;

    ExitCode exitCodeOf(Reason reason)
    {
        switch (reason) {
        case Reason::InvalidInput:
            return ExitCode::InvalidInput;
        case Reason::Conflict:
            return ExitCode::Conflict;
        case Reason::NotFound:
            return ExitCode::NotFound;
        default:
            return ExitCode::Failed;
        }
    }

    ExitCode fail(const Common::Error& error)
    {
        std::cerr << "corianderlock: " << Common::describe(error) << "\n";
        return exitCodeOf(error.reason);
    }

    ExitCode exitCodeOfStatus(int status)
    {
        if (status < 400)
            return ExitCode::Success;
        if (status == 404)
            return ExitCode::NotFound;
        if (status == 409)
            return ExitCode::Conflict;
        return status < 500 ? ExitCode::InvalidInput : ExitCode::Failed;
    }

    Http::Request makeRequest(const std::string& method, const std::string& path, std::string body = {})
    {
        Http::Request request;
        request.method = method;
        request.path = path;
        request.body = std::move(body);
        return request;
    }

    std::string resourcePath(const Model::ResourceKey& key)
    {
        std::string path = std::string("/v1/resources/") + Model::kindName(key.kind);
        return key.name.empty() ? path : path + "/" + key.name;
    }

    std::string makeChangeId()
    {
        std::ostringstream out;
        out << "cli-" << static_cast<uint64_t>(Clock::wallClock().value()) << "-" << std::hex
            << std::random_device {}();
        return out.str();
    }

    Result<Model::Kind> parseKindName(const std::string& name)
    {
        Model::Kind kind = Model::Kind::QueryRoute;
        if (Model::parseKind(name, kind))
            return kind;
        return Common::makeError(Reason::InvalidInput, "read-arguments",
            "KIND is '" + name + "', expected query-route, backend-group, index-version or instance");
    }

    // Returns the stored resource, or version 0 if it does not exist.
    Result<Api::ListedResource> fetchCurrent(const Remote& remote, const Model::ResourceKey& key)
    {
        BOOST_OUTCOME_TRY(response, call(remote, makeRequest("GET", resourcePath(key))));
        if (response.status == 404)
            return Api::ListedResource {};
        if (response.status != 200)
            return Common::makeError(Reason::Unavailable, "read-resource", response.body);
        BOOST_OUTCOME_TRY(listed, Api::decodeList(response.body));
        return listed.empty() ? Api::ListedResource {} : listed.front();
    }

    struct ApplyResult {
        Http::Response response;
        Common::Revision revision;
        bool unchanged { false };
    };

    Result<ApplyResult> putResource(const Remote& remote, const Model::Resource& resource, const std::string& changeId)
    {
        auto key = Model::keyOf(resource);
        BOOST_OUTCOME_TRY(now, fetchCurrent(remote, key));
        if (now.version != Common::Revision() && now.resource == resource)
            return ApplyResult { {}, now.version, true };
        Control::Change change;
        change.id = Common::ChangeId(changeId);
        change.key = key;
        change.resource = resource;
        change.madeFrom = now.version;
        // The change id makes the request idempotent: a resend after a lost answer is accepted once.
        BOOST_OUTCOME_TRY(response, call(remote, makeRequest("PUT", resourcePath(key), Api::encodePut(change))));
        ApplyResult applied { response, {}, false };
        if (response.status == 200) {
            BOOST_OUTCOME_TRY(revision, Api::decodeAcceptedRevision(response.body));
            applied.revision = revision;
        }
        return applied;
    }

    ExitCode waitInForce(const Remote& remote, Common::Revision revision, Milliseconds timeout)
    {
        auto deadline = Clock::now() + timeout;
        std::string lastAnswer = "no answer";
        while (Clock::now() < deadline) {
            auto request = makeRequest("GET", "/v1/status");
            request.query["revision"] = std::to_string(revision.value());
            auto response = call(remote, request);
            if (response && response.value().status == 200) {
                auto summary = Api::decodeStatus(response.value().body);
                if (summary && summary.value().state == "in-force") {
                    std::cout << "revision " << revision << " is in force\n";
                    return ExitCode::Success;
                }
                lastAnswer = response.value().body;
            }
            timespec pause { 0, pollIntervalNanoseconds };
            nanosleep(&pause, nullptr);
        }
        std::cerr << "corianderlock: revision " << revision << " is accepted but not yet in force: " << lastAnswer
                  << "\n";
        return ExitCode::Partial;
    }

    ExitCode printResponse(
        const Result<Http::Response>& response, OutputFormat output, void (*print)(const std::string&))
    {
        if (!response)
            return fail(response.error());
        if (response.value().status >= 400) {
            std::cerr << response.value().body << "\n";
            return exitCodeOfStatus(response.value().status);
        }
        if (output == OutputFormat::Json)
            std::cout << response.value().body << "\n";
        else
            print(response.value().body);
        return ExitCode::Success;
    }

    ExitCode applyResource(const Remote& remote, const Model::Resource& resource, const std::string& id,
        OutputFormat output, Common::Revision& newest)
    {
        auto applied = putResource(remote, resource, id);
        if (!applied)
            return fail(applied.error());
        auto key = Model::keyOf(resource);
        std::string name = std::string(Model::kindName(key.kind)) + " " + key.name;
        const ApplyResult& result = applied.value();
        if (!result.unchanged && result.response.status != 200) {
            std::cerr << name << ": " << result.response.body << "\n";
            return exitCodeOfStatus(result.response.status);
        }
        newest = std::max(newest, result.revision);
        if (output == OutputFormat::Json && !result.unchanged)
            std::cout << result.response.body << "\n";
        else if (output == OutputFormat::Text)
            std::cout << name << (result.unchanged ? " is unchanged" : " is accepted, revision ")
                      << (result.unchanged ? "" : std::to_string(result.revision.value())) << "\n";
        return ExitCode::Success;
    }

} // namespace

ExitCode runDaemon(const std::string& settingsFile)
{
    auto settings = Settings::load(settingsFile);
    if (!settings)
        return fail(settings.error());
    auto result = Daemon::run(settings.value());
    return result ? ExitCode::Success : fail(result.error());
}

ExitCode check(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return fail(Common::makeError(Reason::NotFound, "check", file + ": cannot be read"));
    // Each document of a resource file has a "kind" field; settings have no such field.
    auto sections = Settings::Section::parseAll(file, text.str());
    if (!sections)
        return fail(sections.error());
    bool isResources = !sections.value().empty() && sections.value().front().has("kind");
    if (isResources) {
        auto resources = parseResources(file, text.str());
        if (!resources)
            return fail(resources.error());
        std::cout << file << ": " << resources.value().size() << " resources, correct\n";
        return ExitCode::Success;
    }
    auto settings = Settings::parse(file, text.str());
    if (!settings)
        return fail(settings.error());
    std::cout << file << ": settings of instance " << settings.value().instance << ", correct\n";
    return ExitCode::Success;
}

ExitCode apply(const Remote& remote, const ApplyOptions& options, OutputFormat output)
{
    auto resources = loadResources(options.file);
    if (!resources)
        return fail(resources.error());
    std::string id = options.changeId.empty() ? makeChangeId() : options.changeId;
    Common::Revision newest;
    size_t n = 0;
    for (const Model::Resource& resource : resources.value()) {
        std::string suffix = n ? "-" + std::to_string(n) : "";
        ++n;
        ExitCode code = applyResource(remote, resource, id + suffix, output, newest);
        if (code != ExitCode::Success)
            return code;
    }
    if (!options.wait || newest == Common::Revision())
        return ExitCode::Success;
    return waitInForce(remote, newest, options.waitTimeout);
}

ExitCode get(const Remote& remote, const std::string& kind, const std::string& name, OutputFormat output)
{
    auto parsed = parseKindName(kind);
    if (!parsed)
        return fail(parsed.error());
    return printResponse(call(remote, makeRequest("GET", resourcePath({ parsed.value(), name }))), output, printList);
}

ExitCode remove(const Remote& remote, const std::string& kind, const std::string& name, const std::string& changeId,
    OutputFormat output)
{
    auto parsed = parseKindName(kind);
    if (!parsed)
        return fail(parsed.error());
    Model::ResourceKey key { parsed.value(), name };
    auto now = fetchCurrent(remote, key);
    if (!now)
        return fail(now.error());
    auto request = makeRequest("DELETE", resourcePath(key));
    request.query["change_id"] = changeId.empty() ? makeChangeId() : changeId;
    request.query["made_from"] = std::to_string(now.value().version.value());
    return printResponse(call(remote, request), output, printPlain);
}

ExitCode status(const Remote& remote, Common::Revision revision, OutputFormat output)
{
    auto request = makeRequest("GET", "/v1/status");
    if (revision != Common::Revision())
        request.query["revision"] = std::to_string(revision.value());
    return printResponse(call(remote, request), output, printStatus);
}

ExitCode query(const Remote& remote, const QueryOptions& options, OutputFormat output)
{
    auto request = makeRequest("POST", "/v1/query/" + options.route, encodeQueryBody(options.text, options.deadline));
    auto response = call(remote, request);
    ExitCode code = printResponse(response, output, printAnswer);
    if (code == ExitCode::Success && !isComplete(response.value().body))
        return ExitCode::Partial;
    return code;
}

ExitCode drain(const Remote& remote, const std::string& instance, bool undo, OutputFormat output)
{
    auto now = fetchCurrent(remote, { Model::Kind::Instance, instance });
    if (!now)
        return fail(now.error());
    Model::Instance wanted;
    if (now.value().version != Common::Revision()) {
        wanted = std::get<Model::Instance>(now.value().resource);
    } else {
        auto response = call(remote, makeRequest("GET", "/v1/instances"));
        if (!response)
            return fail(response.error());
        auto instances = Api::decodeInstances(response.value().body);
        if (!instances)
            return fail(instances.error());
        for (const Model::Instance& known : instances.value()) {
            if (known.id.value() == instance)
                wanted = known;
        }
        if (wanted.id.value().empty())
            return fail(Common::makeError(Reason::NotFound, "drain", "there is no instance " + instance));
    }
    wanted.draining = !undo;
    Common::Revision newest;
    ExitCode code = applyResource(remote, wanted, makeChangeId(), output, newest);
    return code == ExitCode::Success ? waitInForce(remote, newest, Milliseconds(15'000)) : code;
}

ExitCode explain(const std::string& request, const std::vector<std::string>& files)
{
    Observe::RequestReport report;
    report.request = request;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) {
            std::cerr << "explain: " << file << " cannot be read\n";
            return ExitCode::InvalidInput;
        }
        Observe::readLog(report, in, file);
    }
    if (files.empty())
        Observe::readLog(report, std::cin, "-");
    if (report.malformed)
        std::cerr << report.malformed << " malformed lines were skipped\n";
    if (report.lines.empty()) {
        std::cerr << "no log line mentions request " << request << "\n";
        return ExitCode::NotFound;
    }
    printReport(Observe::relevantLines(report));
    return ExitCode::Success;
}

ExitCode timeline(const Remote& remote, const std::string& subject, size_t limit, OutputFormat output)
{
    auto request = makeRequest("GET", "/v1/timeline");
    request.query["limit"] = std::to_string(limit);
    if (!subject.empty())
        request.query["subject"] = subject;
    return printResponse(call(remote, request), output, printTimeline);
}

} // namespace CommandLine
