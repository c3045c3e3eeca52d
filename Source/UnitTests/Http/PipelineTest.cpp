#include "Http/RawClient.h"
#include "Http/TestServer.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using HttpTest::RawClient;

namespace {

constexpr Milliseconds bound { 2'000 };
constexpr size_t maximumBody = 1'000;

std::string post(const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace

TEST(Pipeline, AnswersEachRequestInOrder)
{
    Http::ServerOptions options { {}, { Common::Bytes(maximumBody), bound } };
    auto server = HttpTest::openServer(options, [](const Http::Request& request, const Http::Responder& done) {
        Http::Response response;
        response.body = request.path + " " + request.body;
        done(response);
    });
    ASSERT_TRUE(server);
    RawClient client(options.listen);
    ASSERT_TRUE(client.send(post("/first", "a") + post("/second", "ab") + post("/third", "abc")));
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /first a");
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /second ab");
    EXPECT_EQ(client.readAnswer(bound), "HTTP/1.1 200 OK /third abc");
}
