#include "Check.h"

#include "Callers.h"
#include "Configuration.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>

using CommandLine::ExitCode;
using Platform::CheckReport;

namespace {

std::string documentOf(int version, const std::string& route, const std::string& tenants)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"h","path_prefix":"/a/","type":"safe","timeout_ms":800,"service":"s")"
        + route + R"(}],"services":[{"name":"s","max_conns":4}],"tenants":[)" + tenants + "]}";
}

const std::string correct = documentOf(7, "", R"({"name":"a","api_keys":["secret-1"],"rate_per_s":10,"burst":5})");

// Writes a file that is removed with this object.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
        : m_path(::testing::TempDir() + "check-" + std::to_string(::getpid()) + "-" + std::to_string(++created))
    {
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string& path() const { return m_path; }

private:
    static inline int created { 0 };
    std::string m_path;
};

// Whether a call that was sent with this Host header and target reaches a route with this host and prefix.
bool matches(const std::string& host, const std::string& prefix, const std::string& sentHost, const std::string& target)
{
    Routes::Table table;
    table.routes.emplace_back();
    table.routes.front().host = host;
    table.routes.front().prefix = prefix;
    Routes::index(table);
    Http::Request request;
    request.headers["host"] = sentHost;
    request.target = target;
    auto call = Platform::decodeCall(std::move(request));
    return Routes::match(table, call->host, call->path);
}

} // namespace

TEST(Check, ACorrectConfigurationHasAnEmptyReport)
{
    CheckReport report = Platform::checkConfiguration(correct, std::nullopt);
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::Success);
    EXPECT_EQ(Platform::toText(report), "correct\n");
    EXPECT_EQ(Platform::toJson(report), "{\"differences\":[],\"errors\":[],\"warnings\":[]}\n");
}

// An operator finds the place of an error from the message alone.
TEST(Check, ErrorsNameTheFieldOrTheLineAndColumn)
{
    auto errorOf = [](const std::string& document) {
        CheckReport report = Platform::checkConfiguration(document, std::nullopt);
        EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::InvalidInput);
        EXPECT_EQ(report.errors.size(), 1u);
        return Platform::toText(report);
    };
    std::string error = errorOf("{\"version\":7,\n  \"routes\":[}\n");
    EXPECT_NE(error.find("Line 2, Column 13"), std::string::npos) << error;
    error = errorOf(documentOf(7, R"(,"max_attempts":"two")", ""));
    EXPECT_NE(error.find("routes[0].max_attempts"), std::string::npos) << error;
    error = errorOf(documentOf(7, R"(,"weighted_services":[{"service":"t","weight":1}])", ""));
    EXPECT_NE(error.find("route 'r': group 't' is unknown"), std::string::npos) << error;
}

TEST(Check, WarningsNameFieldsAsTheConfigurationDoes)
{
    CheckReport report = Platform::checkConfiguration(
        documentOf(7, R"(,"target_latency_ms":900)", R"({"name":"a","api_keys":["k"],"burst":5})"), std::nullopt);
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::Partial);
    EXPECT_EQ(Platform::toText(report),
        "warning: route 'r': target_latency_ms is 900 ms, above the timeout of 800 ms\n"
        "warning: tenant 'a': burst has no effect without a rate\n");
}

TEST(Check, DifferencesFromTheConfigurationInForce)
{
    auto proposed = documentOf(8, R"(,"priority":2)", R"({"name":"a","api_keys":["secret-2","secret-3"]})");
    CheckReport report = Platform::checkConfiguration(proposed, correct);
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::Success);
    EXPECT_EQ(Platform::toText(report),
        "difference: configuration: version changed from 7 to 8\n"
        "difference: route 'r': priority changed from 0 to 2\n"
        "difference: tenant 'a': rate_per_s removed: 10\n"
        "difference: tenant 'a': burst removed: 5\n"
        "difference: tenant 'a': api_keys removed: 1\n"
        "difference: tenant 'a': api_keys added: 2\n"
        "correct\n");
    report = Platform::checkConfiguration(correct, proposed);
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::Partial);
    EXPECT_NE(Platform::toText(report).find("version not-higher from 8 to 7"), std::string::npos);
    // Before the first configuration, everything is new.
    report = Platform::checkConfiguration(correct, "");
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::Success);
    EXPECT_NE(Platform::toText(report).find("route 'r': added"), std::string::npos);
    report = Platform::checkConfiguration(correct, "{}");
    EXPECT_EQ(Platform::exitCodeOf(report), ExitCode::InvalidInput);
}

// The report may be shown to people who must not learn the keys.
TEST(Check, ReportsContainNoKeyAndNoDigest)
{
    const std::string documents[] = { correct, documentOf(8, "", R"({"name":"a","api_keys":["secret-1","secret-1"]})"),
        documentOf(8, "", R"({"name":"a","api_keys":["secret-1"]},{"name":"b","api_keys":["secret-1"]})"),
        documentOf(8, "", R"({"name":"b","api_keys":["secret-2"]})"), documentOf(8, "", R"("secret-1")"),
        documentOf(8, "", R"({"name":"a","api_keys":["secret-1)") };
    for (const std::string& proposed : documents) {
        for (const std::string& inForce : documents) {
            CheckReport report = Platform::checkConfiguration(proposed, inForce);
            for (const std::string& text : { Platform::toText(report), Platform::toJson(report) }) {
                EXPECT_EQ(text.find("secret"), std::string::npos) << text;
                for (const char* key : { "secret-1", "secret-2" })
                    EXPECT_EQ(text.find(Common::toHex(Routes::digestOfKey(key)).substr(0, 8)), std::string::npos);
            }
        }
    }
}

// The review claims which hosts and prefixes match how calls are read.
TEST(Check, HostsAndPrefixesMatchAsTheReviewSays)
{
    EXPECT_TRUE(matches("h", "/a/", "h:80", "/a/b?c"));
    EXPECT_FALSE(matches("h:80", "/a/", "h:80", "/a/b"));
    EXPECT_FALSE(matches("h:80", "/a/", "h", "/a/b"));
    EXPECT_FALSE(matches("H", "/a/", "h", "/a/b"));
    EXPECT_TRUE(matches("[::1]", "/a/", "[::1]:80", "/a/b"));
    EXPECT_FALSE(matches("*", "/a/", "h", "/a/b"));
    EXPECT_TRUE(matches("", "/a/", "", "/a/b"));
    EXPECT_FALSE(matches("h", "/a?b/", "h", "/a?b/c"));
    EXPECT_TRUE(matches("h", "/a%20b/", "h", "/a%20b/c"));
    EXPECT_FALSE(matches("h", "/%61/", "h", "/a/c"));
    EXPECT_TRUE(matches("h", "/a//", "h", "/a//b"));
    EXPECT_FALSE(matches("h", "/a//", "h", "/a/b"));
}

TEST(Check, ReadsTheConfigurationInForceFromAControlInstance)
{
    int status = 200;
    Http::ServerOptions options;
    auto server = HttpTest::openServer(options, [&](const Http::Request& request, const Http::Responder& done) {
        Http::Response response;
        response.status = request.path == "/-/config" && request.method == "GET" ? status : 405;
        response.body = correct;
        done(response);
    });
    ASSERT_TRUE(server);
    CommandLine::Remote remote { { options.listen }, Common::Milliseconds(5'000) };
    EXPECT_EQ(Platform::readConfiguration(remote).value(), correct);
    TemporaryFile proposed(documentOf(8, "", R"({"name":"a","api_keys":["k"]})"));
    EXPECT_EQ(Platform::check({ proposed.path(), "", remote }), ExitCode::Success);
    TemporaryFile older(correct);
    EXPECT_EQ(Platform::check({ older.path(), "", remote }), ExitCode::Partial);
    status = 404; // No configuration was declared yet.
    EXPECT_EQ(Platform::readConfiguration(remote).value(), "");
    status = 503;
    EXPECT_EQ(Platform::check({ proposed.path(), "", remote }), ExitCode::Failed);
}

TEST(Check, ReadsFiles)
{
    TemporaryFile older(correct);
    TemporaryFile newer(documentOf(8, "", R"({"name":"a","api_keys":["k"]})"));
    EXPECT_EQ(Platform::check({ newer.path(), older.path(), {} }), ExitCode::Success);
    EXPECT_EQ(Platform::check({ older.path(), newer.path(), {} }), ExitCode::Partial);
    EXPECT_EQ(Platform::check({ older.path() + "-absent", "", {} }), ExitCode::NotFound);
    EXPECT_EQ(Platform::check({ older.path(), older.path() + "-absent", {} }), ExitCode::NotFound);
}
