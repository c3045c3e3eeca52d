#include "Callers.h"
#include "Configuration.h"
#include "Servers.h"

#include <gtest/gtest.h>

using Form = Routes::Credentials::Form;

namespace {

const char* const tenantsText
    = R"("tenants":[{"name":"a","api_keys":["key-a1","key-a2"],"priority":1,"rate_per_s":16,"burst":4},)"
      R"({"name":"b","api_keys":[]}])";

std::string documentOf(const std::string& tenants)
{
    return R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","type":"safe","timeout_ms":800,)"
           R"("service":"s","allow_anonymous":true}],"services":[{"name":"s"}],)"
        + tenants + "}";
}

Relay::CallPtr callOf(Http::Fields fields)
{
    Http::Request request;
    request.target = "/a/b";
    for (auto& [name, value] : fields)
        request.headers[Http::lowerCase(name)] = value;
    request.fields = std::move(fields);
    return Platform::decodeCall(std::move(request));
}

Form formOf(Http::Fields fields) { return callOf(std::move(fields))->credentials.form; }

} // namespace

TEST(Tenants, AreDecoded)
{
    auto table = Platform::decodeConfiguration(documentOf(tenantsText));
    ASSERT_TRUE(table) << table.error();
    ASSERT_TRUE(table.value().tenants);
    ASSERT_EQ(table.value().tenants->size(), 2u);
    const Routes::Tenant& tenant = table.value().tenants->front();
    EXPECT_EQ(tenant.name, Common::TenantName("a"));
    EXPECT_EQ(tenant.keys.at(1), Routes::digestOfKey("key-a2"));
    EXPECT_EQ(tenant.priority, 1);
    EXPECT_EQ(tenant.quota, (Routes::Quota { Common::RequestRate(16), 4 }));
    EXPECT_FALSE(table.value().tenants->back().quota);
    EXPECT_TRUE(table.value().routes.front().allowsAnonymous);
    EXPECT_FALSE(Platform::decodeConfiguration(documentOf(R"("limits":{})")).value().tenants);
}

// An operator's mistake must not show a key in an answer or a log line.
TEST(Tenants, ErrorsContainNoKey)
{
    const char* const invalid[] = { R"("tenants":[{"name":"a","api_keys":"secret"}])",
        R"("tenants":[{"name":"a","api_keys":["secret",7]}])", R"("tenants":[{"name":"a","api_keys":{"secret":1}}])",
        R"("tenants":[{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}])" };
    for (const char* text : invalid) {
        auto table = Platform::decodeConfiguration(documentOf(text));
        ASSERT_FALSE(table) << text;
        EXPECT_EQ(table.error().reason, Common::Reason::InvalidInput);
        EXPECT_EQ(table.error().message.find("secret"), std::string::npos) << table.error();
    }
    const char* const misplaced[] = { R"("tenants":"secret")", R"("tenants":["secret"])",
        R"("tenants":{"a":{"api_keys":["secret"]}})", R"("tenants":[["secret"]])",
        R"("tenants":[{"name":["secret"],"api_keys":[]}])", R"("tenants":[{"name":"a","priority":"secret"}])",
        R"("tenants":[{"name":"a","rate_per_s":{"api_keys":["secret"]}}])",
        R"("limits":[{"name":"a","api_keys":["secret"]}])", R"("tenants":[{"name":"a","api_keys":["secret",}])" };
    for (const char* text : misplaced) {
        auto table = Platform::decodeConfiguration(documentOf(text));
        ASSERT_FALSE(table) << text;
        EXPECT_EQ(table.error().message.find("secret"), std::string::npos) << table.error();
    }
    for (const char* document : { R"([{"api_keys":["secret"]}])", R"(["secret"])", R"("secret")" }) {
        auto table = Platform::decodeConfiguration(document);
        ASSERT_FALSE(table) << document;
        EXPECT_EQ(table.error().message.find("secret"), std::string::npos) << table.error();
    }
}

TEST(Credentials, AreASingleBearerKeyInAnySpellingOfTheHeader)
{
    for (const char* name : { "Authorization", "authorization", "AUTHORIZATION" }) {
        for (const char* value : { "Bearer key-a1", "bearer  key-a1", "BEARER key-a1 " }) {
            auto call = callOf({ { "X-Request-Id", "i" }, { name, value } });
            EXPECT_EQ(call->credentials.form, Form::Key) << value;
            EXPECT_EQ(call->credentials.key, Routes::digestOfKey("key-a1")) << value;
        }
    }
    EXPECT_EQ(formOf({}), Form::Missing);
    for (const char* value : { "", "Bearer", "Bearer ", "Basic key-a1", "key-a1", "Bearer a b", "Bearerkey-a1" })
        EXPECT_EQ(formOf({ { "Authorization", value } }), Form::Malformed) << value;
    EXPECT_EQ(formOf({ { "Authorization", "Bearer a" }, { "authorization", "Bearer a" } }), Form::Repeated);
}

// Servers trust the header with the tenant, and must not learn the key.
TEST(Call, IsForwardedWithItsTenantAndWithoutItsKey)
{
    auto call = callOf({ { "Host", "h" }, { "X-TENANT-ID", "forged" }, { "Authorization", "Bearer key-a1" },
        { "x-tenant-id", "forged too" }, { "X-Other", "1" } });
    Relay::TenantHeaders headers { "authorization", "x-tenant-id" };
    Routes::Tenant tenant;
    tenant.name = Common::TenantName("a");
    EXPECT_EQ(Platform::encodeRequestHead(*Relay::identified(*call, &tenant, headers)),
        "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Other: 1\r\nX-Tenant-Id: a\r\n");
    EXPECT_EQ(Platform::encodeRequestHead(*Relay::identified(*call, nullptr, headers)),
        "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Other: 1\r\n");
    // Without tenants, the headers are the caller's own business.
    EXPECT_NE(Platform::encodeRequestHead(*call).find("Bearer key-a1"), std::string::npos);
}

// A tenant that changes its keys is the same caller for the evidence on crashing requests.
TEST(Call, HasTheSameKeysForAllKeysOfATenant)
{
    Relay::TenantHeaders headers { "authorization", "x-tenant-id" };
    Routes::Tenant tenant;
    tenant.name = Common::TenantName("a");
    auto first = Relay::identified(*callOf({ { "Authorization", "Bearer key-a1" } }), &tenant, headers);
    auto second = Relay::identified(*callOf({ { "Authorization", "Bearer key-a2" } }), &tenant, headers);
    EXPECT_EQ(first->keys, second->keys);
    tenant.name = Common::TenantName("b");
    EXPECT_NE(first->keys.request, Relay::identified(*callOf({}), &tenant, headers)->keys.request);
}

TEST(Refusal, NamesTheReasonForAnUnauthenticatedCallAndTheTimeForOneOverItsQuota)
{
    auto encode = [](Common::Reason reason, Common::Milliseconds retryAfter) {
        return Platform::encodeAnswer(
            Relay::Refusal { Common::makeError(reason, "admit", "unknown-key"), true, retryAfter },
            Common::RequestId("i"));
    };
    auto response = encode(Common::Reason::Unauthenticated, Common::Milliseconds(0));
    EXPECT_EQ(response.status, 401);
    EXPECT_EQ(response.headers["WWW-Authenticate"], "Bearer");
    EXPECT_EQ(response.body, R"({"error":"unauthenticated","reason":"unknown-key"})");
    response = encode(Common::Reason::QuotaExceeded, Common::Milliseconds(250));
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(response.headers["Retry-After"], "0.250");
    EXPECT_EQ(response.body, R"({"error":"quota-exceeded"})");
}
