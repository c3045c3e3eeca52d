#include "Load/Transport.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr std::chrono::seconds longWait { 30 };

// Fake entry instance on raw sockets. Sends the same answer to each request, or closes the connection without one if
// the answer is empty.
class CannedEntry {
public:
    explicit CannedEntry(std::string answer)
        : m_answer(std::move(answer))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in in {};
        in.sin_family = AF_INET;
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(in);
        auto* raw = reinterpret_cast<sockaddr*>(&in);
        EXPECT_EQ(::bind(m_fd, raw, size), 0);
        EXPECT_EQ(::listen(m_fd, 8), 0);
        EXPECT_EQ(::getsockname(m_fd, raw, &size), 0);
        m_address = Common::Address("127.0.0.1:" + std::to_string(ntohs(in.sin_port)));
        m_thread = std::thread([this] { work(); });
    }

    ~CannedEntry()
    {
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
    }
    CannedEntry(const CannedEntry&) = delete;
    CannedEntry& operator=(const CannedEntry&) = delete;

    Common::Address address() const { return m_address; }
    int requests() const { return m_requests; }
    // Call it only after the last answer has arrived.
    const std::string& lastRequest() const { return m_lastRequest; }

private:
    void work()
    {
        for (int fd = ::accept(m_fd, nullptr, nullptr); fd >= 0; fd = ::accept(m_fd, nullptr, nullptr)) {
            serve(fd);
            ::close(fd);
        }
    }

    void serve(int fd)
    {
        std::string request;
        char buf[4096];
        // Each request body of these tests ends with a brace.
        while (request.find("\r\n\r\n") == std::string::npos || request.back() != '}') {
            const ssize_t n = ::recv(fd, buf, sizeof(buf), 0);
            if (n <= 0)
                return;
            request.append(buf, static_cast<size_t>(n));
        }
        m_lastRequest = request;
        ++m_requests;
        if (!m_answer.empty())
            ::send(fd, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
    }

    const std::string m_answer;
    int m_fd;
    Common::Address m_address;
    std::string m_lastRequest;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

std::string answerText(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Load::AttemptResult sendOne(const CannedEntry& entry, Load::Mode mode)
{
    Load::Options options;
    options.entries = { entry.address() };
    options.route = Common::RouteName("households");
    options.mode = mode;
    options.deadline = Common::Milliseconds(120);
    const Load::Transport transport = Load::httpTransport(options);
    auto promise = std::make_shared<std::promise<Load::AttemptResult>>();
    auto future = promise->get_future();
    const Load::Attempt attempt { entry.address(), Common::RequestId("load-1-7"), "Durbar" };
    transport.send(attempt, [promise](Load::AttemptResult it) { promise->set_value(std::move(it)); });
    EXPECT_EQ(future.wait_for(longWait), std::future_status::ready);
    return future.get();
}

} // namespace

TEST(LoadHttpTransport, ReadsAnswersToQueries)
{
    const CannedEntry entry(answerText("200 OK", R"({"complete": false, "coverage": 0.75, "results": []})"));
    const auto result = sendOne(entry, Load::Mode::Query);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.outcome, Load::Outcome::Done);
    EXPECT_FALSE(result.complete);
    EXPECT_DOUBLE_EQ(result.coverage.value(), 0.75);
    EXPECT_EQ(entry.lastRequest().find("POST /v1/query/households HTTP/1.1"), 0U) << entry.lastRequest();
    EXPECT_NE(entry.lastRequest().find(R"("deadline_ms":120)"), std::string::npos) << entry.lastRequest();
}

TEST(LoadHttpTransport, ReadsRefusals)
{
    const CannedEntry entry(
        answerText("503 Busy", R"({"error": {"reason": "overloaded", "message": "m", "ran": "not-run"}})"));
    const auto result = sendOne(entry, Load::Mode::Booking);
    EXPECT_EQ(result.status, 503);
    EXPECT_EQ(result.reason, "overloaded");
    EXPECT_EQ(result.outcome, Load::Outcome::NotRun);
    EXPECT_NE(entry.lastRequest().find("X-Request-Id: load-1-7\r\n"), std::string::npos) << entry.lastRequest();
}

TEST(LoadHttpTransport, TellsMalformedAnswers)
{
    const CannedEntry entry(answerText("200 OK", R"({"coverage": "much"})"));
    const auto result = sendOne(entry, Load::Mode::Query);
    EXPECT_EQ(result.reason, "malformed-answer");
    EXPECT_EQ(result.outcome, Load::Outcome::Unknown);
}

TEST(LoadHttpTransport, ABookingWithoutAnswerIsSentOnceAndUnknown)
{
    const CannedEntry entry("");
    const auto result = sendOne(entry, Load::Mode::Booking);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.reason, "connection-error");
    EXPECT_EQ(result.outcome, Load::Outcome::Unknown);
    EXPECT_EQ(entry.requests(), 1);
}
