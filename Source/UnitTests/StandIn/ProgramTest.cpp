#include "StandIn/Program.h"
#include "StandIn/FaultProxy.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int receiveSeconds = 20;
constexpr int silenceSeconds = 1;

// An HTTP client on a raw socket, with one connection.
class RawClient {
public:
    explicit RawClient(const Common::Address& address)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto to = StandIn::splitAddress(address).value();
        sockaddr_in in {};
        in.sin_family = AF_INET;
        in.sin_port = htons(to.port);
        ::inet_aton(to.host.c_str(), &in.sin_addr);
        EXPECT_EQ(::connect(m_fd, reinterpret_cast<sockaddr*>(&in), sizeof(in)), 0);
    }

    ~RawClient() { ::close(m_fd); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // Returns the complete answer, or the part received before the connection closed or the receive timeout passed.
    std::string send(const std::string& line, const std::string& headers, const std::string& body, int seconds)
    {
        const timeval limit { seconds, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        const std::string request = line + " HTTP/1.1\r\nHost: test\r\nContent-Type: application/json\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        ::send(m_fd, request.data(), request.size(), MSG_NOSIGNAL);
        std::string answer;
        char buf[4096];
        while (!isWhole(answer)) {
            const ssize_t n = ::recv(m_fd, buf, sizeof(buf), 0);
            if (n <= 0)
                break;
            answer.append(buf, static_cast<size_t>(n));
        }
        return answer;
    }

    std::string post(const std::string& path, const std::string& body, const std::string& headers = "")
    {
        return send("POST " + path, headers, body, receiveSeconds);
    }

private:
    static bool isWhole(const std::string& answer)
    {
        const std::string name = "Content-Length: ";
        const size_t end = answer.find("\r\n\r\n");
        const size_t length = answer.find(name);
        if (end == std::string::npos || length == std::string::npos)
            return false;
        return answer.size() >= end + 4 + static_cast<size_t>(std::atoi(answer.c_str() + length + name.size()));
    }

    int m_fd;
};

bool has(const std::string& answer, const std::string& part) { return answer.find(part) != std::string::npos; }

} // namespace

TEST(StandInProgram, SpeaksTheProtocolOverLoopback)
{
    const std::string logPath = testing::TempDir() + "standin-runs-" + std::to_string(::getpid());
    StandIn::ProgramOptions options;
    options.versions = { "7/4" };
    options.count = 2;
    options.replicas = 1;
    options.connections = Common::Connections(2);
    options.leaveTime = Common::Milliseconds(10);
    options.runLog = logPath;
    auto started = StandIn::Program::start(options);
    ASSERT_TRUE(started) << started.error();
    StandIn::Program& program = *started.value();
    const Common::Address address = program.addresses().at(0);
    {
        RawClient client(address);
        const std::string search = R"({"query_id": "q", "index_version": 7, "q": "Durbar|Darbar", "shard": )";
        const std::string answer = client.post("/v1/search", search + "0}");
        EXPECT_TRUE(has(answer, "HTTP/1.1 200")) << answer;
        EXPECT_TRUE(has(answer, R"("range":[0,1073741824])")) << answer;
        EXPECT_TRUE(has(answer, ", v7")) << answer;
        EXPECT_TRUE(has(client.post("/v1/search", search + "1}"), "wrong-shard"));
        EXPECT_TRUE(has(client.post("/v1/search", search), "bad-request"));
        const std::string booked = client.post("/v1/run", R"({"a": 1})", "X-Request-Id: r1\r\n");
        EXPECT_TRUE(has(booked, R"("ran":true)")) << booked;
        EXPECT_TRUE(has(client.post("/admin/fault", R"({"shed_fraction": 1})"), R"("shed_fraction":1)"));
        const std::string shed = client.post("/v1/run", R"({"a": 1})", "X-Request-Id: r2\r\n");
        EXPECT_TRUE(has(shed, "X-Not-Run: 1") && has(shed, "shedding")) << shed;
        // The limit is two connections: the second works and the third is closed without an answer.
        RawClient second(address);
        EXPECT_TRUE(has(second.send("GET /load", "", "", receiveSeconds), R"("slots":2)"));
        RawClient third(address);
        EXPECT_EQ(third.send("GET /load", "", "", receiveSeconds), "");
        EXPECT_TRUE(has(client.post("/admin/fault", R"({"silent": true, "shed_fraction": 0})"), "200"));
        EXPECT_EQ(second.send("GET /load", "", "", silenceSeconds), "");
    }
    std::ifstream log(logPath);
    std::string id;
    std::string hash;
    ASSERT_TRUE(log >> id >> hash);
    EXPECT_EQ(id, "r1");
    EXPECT_FALSE(log >> id);
    EXPECT_TRUE(program.leave());
    EXPECT_TRUE(has(program.summary(), "runs=1"));
    EXPECT_TRUE(has(program.summary(), "peak-connections=2 refused-connections=1")) << program.summary();
    std::remove(logPath.c_str());
}
