#include "Callers.h"
#include "Configuration.h"
#include "Servers.h"

#include <gtest/gtest.h>

using Common::BackendServerId;
using Common::Milliseconds;
using Common::Reason;
using Common::RequestId;
using Relay::SubAnswer;

namespace {

const char* const validRoute
    = R"({"name":"r","host":"h","path_prefix":"/a/","type":"safe","timeout_ms":800,"target_latency_ms":80,)"
      R"("priority":2,"gather":["s","t"],"max_attempts":2,"top_k":5,"min_coverage":0.75})";

std::string documentOf(const std::string& routes)
{
    return R"({"version":7,"routes":[)" + routes
        + R"(],"services":[{"name":"s","health_path":"/health","max_conns":26,"protocol":"h1","tls":false},)"
          R"({"name":"t","max_conns":26}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::string withField(const std::string& from, const std::string& to)
{
    std::string route = validRoute;
    route.replace(route.find(from), from.size(), to);
    return documentOf(route);
}

Relay::CallPtr callOf(Http::Fields fields, const std::string& target = "/a/b%20c?x=1")
{
    Http::Request request;
    request.method = "GET";
    request.target = target;
    for (auto& [name, value] : fields)
        request.headers[Http::lowerCase(name)] = value;
    request.fields = std::move(fields);
    return Platform::decodeCall(std::move(request));
}

SubAnswer decode(int status, Http::Fields fields, bool isOnReusedConnection = false)
{
    Http::Response response;
    response.isOnReusedConnection = isOnReusedConnection;
    response.status = status;
    response.fields = std::move(fields);
    return Platform::decodeAnswer(*callOf({ { "X-Request-Id", "id" } }), response);
}

} // namespace

TEST(Call, AResendHasTheSameKeysAndAnotherCallersRequestDoesNot)
{
    auto first = callOf({ { "X-Request-Id", "a" }, { "X-Deadline-Ms", "9" }, { "X-Tenant", "t" }, { "Trace", "1" } });
    auto resend = callOf({ { "X-Request-Id", "b" }, { "X-Deadline-Ms", "5" }, { "X-Tenant", "t" }, { "Trace", "2" } });
    auto other = callOf({ { "X-Request-Id", "c" }, { "X-Tenant", "u" } });
    EXPECT_EQ(first->keys, resend->keys);
    for (auto breadth : Suspects::allBreadths)
        EXPECT_NE(keyOf(first->keys, breadth), keyOf(other->keys, breadth));
    auto otherQuery = callOf({ { "X-Tenant", "t" } }, "/a/b%20c?x=2");
    EXPECT_NE(first->keys.request, otherQuery->keys.request);
    EXPECT_NE(first->keys.content, otherQuery->keys.content);
    EXPECT_EQ(first->keys.pattern, otherQuery->keys.pattern);
}

TEST(Configuration, IsDecoded)
{
    auto table = Platform::decodeConfiguration(documentOf(validRoute));
    ASSERT_TRUE(table) << table.error();
    EXPECT_EQ(table.value().number, Common::TableNumber(7));
    auto route = Routes::match(table.value(), "h", "/a/x");
    ASSERT_TRUE(route);
    EXPECT_EQ(route->idempotency, Routes::Idempotency::Idempotent);
    EXPECT_EQ(route->latencyObjective, Milliseconds(80));
    ASSERT_TRUE(route->fanOut);
    EXPECT_EQ(route->fanOut->groups.size(), 2u);
    EXPECT_EQ(route->fanOut->topRecords, 5u);
    EXPECT_EQ(table.value().limits.body, Common::Bytes(1'000));
    EXPECT_EQ(Routes::findGroup(table.value(), Common::GroupName("s"))->connectionLimit, Common::Connections(26));
}

TEST(Configuration, HasTheRateOfColdServers)
{
    std::string document = documentOf(validRoute);
    const std::string field = "\"max_conns\":26";
    ASSERT_NE(document.find(field), std::string::npos);
    auto table = Platform::decodeConfiguration(document);
    ASSERT_TRUE(table);
    EXPECT_EQ(Routes::findGroup(table.value(), Common::GroupName("s"))->warmupRate, Common::RequestRate(0));
    auto with = [&](const std::string& text) {
        std::string changed = document;
        changed.replace(changed.find(field), field.size(), field + text);
        return Platform::decodeConfiguration(changed);
    };
    table = with(",\"warmup_s\":2.5,\"warmup_per_s\":12");
    ASSERT_TRUE(table);
    EXPECT_EQ(Routes::findGroup(table.value(), Common::GroupName("s"))->warmup, Milliseconds(2'500));
    EXPECT_EQ(Routes::findGroup(table.value(), Common::GroupName("s"))->warmupRate, Common::RequestRate(12));
    for (const char* invalid : { ",\"warmup_per_s\":-1", ",\"warmup_s\":-1", ",\"warmup_per_s\":\"x\"" })
        EXPECT_FALSE(with(invalid)) << invalid;
}

TEST(Configuration, IsRejectedWithAnInvalidField)
{
    const std::string invalid[] = { "", "{", "[]", documentOf(validRoute).substr(0, 100),
        withField("\"s\"", "\"unknown\""), withField("\"timeout_ms\":800", "\"timeout_ms\":0"),
        withField("\"timeout_ms\":800", "\"timeout_ms\":\"8\""), documentOf(std::string(validRoute) + "," + validRoute),
        withField("\"gather\":[\"s\",\"t\"]", "\"weighted_services\":[{\"service\":\"s\",\"weight\":0}]") };
    for (const std::string& document : invalid) {
        auto table = Platform::decodeConfiguration(document);
        ASSERT_FALSE(table) << document;
        EXPECT_EQ(table.error().reason, Reason::InvalidInput) << document;
    }
}

TEST(Heartbeat, IsDecoded)
{
    auto report = Platform::decodeReport("i-1",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,"state":"draining",)"
        R"("warmup_left_ms":120,"seq":4,"born":1785269657120})");
    ASSERT_TRUE(report) << report.error();
    EXPECT_EQ(report.value().server, BackendServerId("i-1"));
    EXPECT_EQ(report.value().incarnation, Common::Incarnation(1785269657120));
    EXPECT_EQ(report.value().status, Roster::ServerStatus::Leaving);
    EXPECT_EQ(report.value().warmupLeft, Milliseconds(120));
}

// Other writers may use the path of heartbeats; a body that is no heartbeat must not add a server.
TEST(Heartbeat, IsRejectedIfMalformed)
{
    const char* const invalid[] = { "", "null", "\xff\xfe", "{}",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","seq":4})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"asleep","seq":4,"born":1})",
        R"({"service":7,"address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","seq":4,"born":1})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":2,"state":"ready","seq":4,"born":1})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","seq":"4","born":1})" };
    for (const char* body : invalid)
        EXPECT_FALSE(Platform::decodeReport("i-1", body)) << body;
    EXPECT_EQ(Platform::decodeIncarnation(""), Common::Incarnation(0));
    EXPECT_EQ(Platform::decodeIncarnation(R"({"born":5})"), Common::Incarnation(5));
}

// Hop-by-hop headers and forged headers of this system must not reach a server; all others must, with repeats.
TEST(Call, IsForwardedWithoutConnectionHeaders)
{
    auto call = callOf({ { "Host", "h:80" }, { "X-Request-Id", "id" }, { "X-Deadline-Ms", "250" },
        { "X-Expect-Instance", "forged" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Other", "a" },
        { "X-Other", "b" }, { "Transfer-Encoding", "chunked" } });
    EXPECT_EQ(call->id, RequestId("id"));
    EXPECT_EQ(call->host, "h");
    EXPECT_EQ(call->path, "/a/b%20c");
    EXPECT_EQ(call->timeLeft, Milliseconds(250));
    auto text = Platform::encodeRequest(
        Platform::encodeRequestHead(*call), *call, BackendServerId("i-1"), Milliseconds(99.7));
    EXPECT_EQ(text,
        "GET /a/b%20c?x=1 HTTP/1.1\r\nHost: h:80\r\nX-Request-Id: id\r\nX-Other: a\r\nX-Other: b\r\n"
        "X-Deadline-Ms: 99\r\nX-Expect-Instance: i-1\r\n\r\n");
}

TEST(Call, IsForwardedWithItsBodyAndAHost)
{
    Relay::Call call;
    call.method = "POST";
    call.target = "/a";
    call.host = "h";
    call.body = "12345";
    auto text
        = Platform::encodeRequest(Platform::encodeRequestHead(call), call, BackendServerId("i-1"), Milliseconds(0.2));
    EXPECT_EQ(text,
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-Deadline-Ms: 1\r\nX-Expect-Instance: i-1\r\n\r\n"
        "12345");
}

// An answer to another request, without a signature or with an encoded body must not reach the caller as a success.
TEST(ServerAnswer, IsASuccessOnlyIfItIsCompleteAndOfThisRequest)
{
    using Outcome = SubAnswer::Outcome;
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" }, { "X-Request-Id", "id" } }).outcome, Outcome::Success);
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" } }).outcome, Outcome::Success);
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" }, { "X-Request-Id", "other" } }).outcome, Outcome::Unusable);
    EXPECT_EQ(decode(200, { { "X-Request-Id", "id" } }).outcome, Outcome::Unusable);
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" }, { "Content-Encoding", "gzip" } }).outcome, Outcome::Unusable);
    EXPECT_EQ(decode(503, { { "X-Not-Executed", "1" } }).outcome, Outcome::NotRun);
    EXPECT_EQ(decode(503, {}).outcome, Outcome::Failure);
    EXPECT_EQ(decode(421, {}).outcome, Outcome::OtherServer);
    EXPECT_EQ(decode(500, { { "X-Server-Stamp", "s" } }).outcome, Outcome::Failure);
}

TEST(ServerAnswer, WithoutTheRequestsIdIsAcceptedOnlyOnAConnectionThatCarriedNoOtherRequest)
{
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" } }).outcome, SubAnswer::Outcome::Success);
    for (int status : { 200, 421, 500, 503 }) {
        auto answer = decode(status, { { "X-Server-Stamp", "s" }, { "X-Not-Executed", "1" } }, true);
        EXPECT_EQ(answer.outcome, SubAnswer::Outcome::Unusable) << status;
    }
    EXPECT_EQ(decode(200, { { "X-Server-Stamp", "s" }, { "X-Request-Id", "id" } }, true).outcome,
        SubAnswer::Outcome::Success);
    EXPECT_EQ(
        decode(200, { { "X-Server-Stamp", "s" }, { "X-Request-Id", "other" } }).outcome, SubAnswer::Outcome::Unusable);
}

TEST(ServerAnswer, CarriesWhatTheServerSaysOfItself)
{
    EXPECT_TRUE(decode(200, { { "X-Server-Stamp", "s" }, { "Server-Leaving", "1" } }).notice.isLeaving);
    EXPECT_FALSE(decode(200, { { "X-Server-Stamp", "s" }, { "Server-Leaving", "0" } }).notice.isLeaving);
    EXPECT_EQ(decode(503, { { "Retry-After", "3" } }).notice.closedFor, Milliseconds(3'000));
    EXPECT_FALSE(decode(500, { { "Retry-After", "3" } }).notice.closedFor);
    EXPECT_EQ(Platform::decodeRetryAfter("0.25", 0), Milliseconds(250));
    EXPECT_EQ(Platform::decodeRetryAfter("Thu, 01 Jan 1970 00:00:07 GMT", 5), Milliseconds(2'000));
    EXPECT_EQ(Platform::decodeRetryAfter("Thu, 01 Jan 1970 00:00:07 GMT", 9), Milliseconds(0));
    for (const char* text : { "", "-1", "soon", "3x", "nan", "inf s", "Thu, 99 Jan" })
        EXPECT_FALSE(Platform::decodeRetryAfter(text, 0)) << text;
}

TEST(Answer, ListsSignaturesAndMissingParts)
{
    auto response = Platform::encodeAnswer(
        Relay::Merged { { "a", "b" }, { { 2, false }, { 3, true }, { 4, false } }, "body" }, RequestId("id"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.headers["X-Part-Stamps"], "a,b");
    EXPECT_EQ(response.headers["X-Missing-Parts"], "3");
    EXPECT_EQ(response.body, "body");
}

// Callers resend after a 503 or a Retry-After header, so a request that may have run must get neither.
TEST(Answer, ReportsNotRunOnlyIfTheRequestHasNotRun)
{
    auto refuse = [](Reason reason, bool notRun) {
        Relay::Refusal refusal { Common::makeError(reason, "s", "m"), notRun, Milliseconds(notRun ? 50 : 0) };
        return Platform::encodeAnswer(refusal, RequestId("id"));
    };
    EXPECT_EQ(refuse(Reason::Overloaded, true).status, 503);
    EXPECT_EQ(refuse(Reason::Overloaded, true).headers["Retry-After"], "0.050");
    EXPECT_EQ(refuse(Reason::ConnectionLost, false).status, 502);
    EXPECT_EQ(refuse(Reason::ConnectionLost, false).headers.count("Retry-After"), 0u);
    EXPECT_EQ(refuse(Reason::DeadlineExceeded, false).status, 504);
    EXPECT_EQ(refuse(Reason::NotFound, true).status, 404);
    EXPECT_EQ(refuse(Reason::NotFound, false).status, 502) << "something was sent, so a route matched";
    EXPECT_TRUE(Platform::encodeAnswer(Relay::CallerGone {}, RequestId("id")).drop);
}

TEST(ServerAnswer, NamesALimitAsADecimalNumber)
{
    auto limitOf = [](Http::Fields fields) {
        fields.emplace_back("X-Server-Stamp", "s");
        return decode(200, fields).notice;
    };
    EXPECT_FALSE(limitOf({}).limit);
    EXPECT_EQ(limitOf({ { "Server-Limit", "21.8" } }).limit, Common::RequestRate(21.8));
    EXPECT_EQ(limitOf({ { "server-limit", "0" } }).limit, Common::RequestRate(0));
    EXPECT_EQ(limitOf({ { "Server-Limit", "9" }, { "Server-Limit", "4" } }).limit, Common::RequestRate(4));
    for (const char* text : { "", "-1", "-0", "nan", "inf", "1e999", "5 per second", "5,6", " 5", "0x10" }) {
        auto notice = limitOf({ { "Server-Limit", text } });
        EXPECT_FALSE(notice.limit) << text;
        EXPECT_TRUE(notice.hasUnusableLimit) << text;
    }
}
