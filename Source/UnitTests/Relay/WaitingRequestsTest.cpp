#include "Relay/Engine.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <thread>

using Common::Clock;
using Common::GroupName;
using Common::Milliseconds;

namespace {

constexpr int waitMilliseconds = 5'000;

// Takes one connection and answers its requests one after the other, each when it is told to.
class SteppedServer {
public:
    SteppedServer()
        : m_listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(m_listening, reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(::getsockname(m_listening, reinterpret_cast<sockaddr*>(&address), &size), 0);
        EXPECT_EQ(::listen(m_listening, 1), 0);
        m_address = Common::Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }

    ~SteppedServer()
    {
        ::close(m_listening);
        if (m_connection >= 0)
            ::close(m_connection);
    }
    SteppedServer(const SteppedServer&) = delete;
    SteppedServer& operator=(const SteppedServer&) = delete;

    const Common::Address& address() const { return m_address; }

    // The target of the next request; empty if none comes.
    std::string receive()
    {
        if (m_connection < 0 && waitFor(m_listening))
            m_connection = ::accept(m_listening, nullptr, nullptr);
        std::string text;
        char buf[512];
        while (text.find("\r\n\r\n") == std::string::npos && waitFor(m_connection)) {
            ssize_t n = ::recv(m_connection, buf, sizeof(buf), 0);
            if (n <= 0)
                return {};
            text.append(buf, static_cast<size_t>(n));
        }
        size_t begin = text.find(' ') + 1;
        return text.substr(begin, text.find(' ', begin) - begin);
    }

    void answer()
    {
        std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(::send(m_connection, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    }

private:
    static bool waitFor(int fd)
    {
        pollfd poll { fd, POLLIN, 0 };
        return ::poll(&poll, 1, waitMilliseconds) == 1;
    }

    int m_listening { -1 };
    int m_connection { -1 };
    Common::Address m_address;
};

Routes::Route route(const std::string& name, int priority)
{
    Routes::Route route;
    route.name = Common::RouteName(name);
    route.host = "h";
    route.prefix = "/" + name + "/";
    route.timeout = Milliseconds(60'000);
    route.latencyObjective = Milliseconds(30'000);
    route.priority = priority;
    route.weightedGroups = { { GroupName("g"), 1 } };
    return route;
}

Relay::EngineOptions withPriorities()
{
    Relay::EngineOptions options;
    options.usesPriorities = true;
    return options;
}

// An engine with one connection to the only server of a group.
class WaitingRequests : public testing::Test {
protected:
    WaitingRequests()
        : m_engine(std::make_unique<Relay::Engine>(
            withPriorities(), codec(), Relay::Peers {}, m_timers, m_metrics, std::make_shared<Suspects::Board>()))
    {
        auto table = std::make_shared<Routes::Table>();
        table->routes = { route("patient", 1), route("urgent", 0) };
        table->groups.push_back({ GroupName("g"), Common::Connections(1) });
        Routes::index(*table);
        m_engine->setTable(table);
        Roster::EligibleServer server;
        server.server = Common::BackendServerId("s");
        server.address = m_server.address();
        server.incarnation = Common::Incarnation(1);
        m_engine->setServers(
            std::make_shared<const Relay::ServersByGroup>(Relay::ServersByGroup { { GroupName("g"), { server } } }));
    }

    ~WaitingRequests() override { m_timers.stop(); }

    static Relay::BackendCodec codec()
    {
        Relay::BackendCodec codec;
        codec.encodeHead = [](const Relay::Call&) { return std::string(); };
        codec.encode = [](const std::string&, const Relay::Call& call, const Common::BackendServerId&, Milliseconds) {
            return "GET " + call.path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        };
        codec.decode = [](const Relay::Call&, const Http::Response&) {
            Relay::SubAnswer answer;
            answer.outcome = Relay::SubAnswer::Outcome::Success;
            answer.status = 200;
            return answer;
        };
        return codec;
    }

    void relay(const std::string& path, std::optional<Milliseconds> timeLeft = {})
    {
        auto call = std::make_shared<Relay::Call>();
        call->id = Common::RequestId(path);
        call->host = "h";
        call->path = path;
        call->timeLeft = timeLeft;
        m_engine->relay(call, [this](Relay::Answer answer) {
            std::lock_guard lock(m_mutex);
            m_answers.push_back(std::move(answer));
            m_changed.notify_all();
        });
    }

    // Waits for that many answers, and returns the last of them.
    std::optional<Relay::Answer> answer(size_t count)
    {
        std::unique_lock lock(m_mutex);
        bool isThere = m_changed.wait_for(
            lock, std::chrono::milliseconds(waitMilliseconds), [&] { return m_answers.size() >= count; });
        return isThere ? std::optional(m_answers[count - 1]) : std::nullopt;
    }

    SteppedServer m_server;
    Common::Timers m_timers { 1 };
    Observe::Metrics m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Relay::Answer> m_answers;
    std::unique_ptr<Relay::Engine> m_engine;
};

} // namespace

// Guards against an urgent request that waits for less urgent ones that came before it.
TEST_F(WaitingRequests, AreSentByPriority)
{
    for (const char* path : { "/patient/1", "/patient/2", "/patient/3", "/urgent/4" })
        relay(path);
    for (const char* path : { "/patient/1", "/urgent/4", "/patient/2", "/patient/3" }) {
        EXPECT_EQ(m_server.receive(), path);
        m_server.answer();
    }
    EXPECT_TRUE(answer(4));
}

// Guards against a request that waits until its deadline although it can no longer be answered by then.
TEST_F(WaitingRequests, AreRefusedOnceTheyCanNoLongerBeAnsweredInTime)
{
    constexpr Milliseconds serviceTime { 600 };
    constexpr Milliseconds timeLeft { 1'500 };
    relay("/patient/1");
    EXPECT_EQ(m_server.receive(), "/patient/1");
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(serviceTime.value()));
    m_server.answer();
    ASSERT_TRUE(answer(1));
    relay("/patient/2");
    EXPECT_EQ(m_server.receive(), "/patient/2");
    auto begin = Clock::now();
    relay("/patient/3", timeLeft);
    auto refused = answer(2);
    ASSERT_TRUE(refused);
    auto* refusal = std::get_if<Relay::Refusal>(&*refused);
    ASSERT_TRUE(refusal);
    EXPECT_TRUE(refusal->hasNotRun);
    EXPECT_EQ(refusal->error.reason, Common::Reason::Overloaded);
    EXPECT_LT(Clock::now() - begin, timeLeft - serviceTime * 0.5);
    m_server.answer();
    EXPECT_TRUE(answer(3));
}

// Guards against calls without an answer when the instance stops.
TEST_F(WaitingRequests, EndByTheStopOfTheInstance)
{
    constexpr Milliseconds serviceTime { 400 };
    constexpr Milliseconds stopTime { 1'000 };
    relay("/patient/1");
    EXPECT_EQ(m_server.receive(), "/patient/1");
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(serviceTime.value()));
    m_server.answer();
    ASSERT_TRUE(answer(1));
    relay("/patient/2");
    EXPECT_EQ(m_server.receive(), "/patient/2");
    relay("/patient/3");
    auto stopAt = Clock::now() + stopTime;
    m_engine->stopBy(stopAt);
    auto queued = answer(2);
    EXPECT_LT(Clock::now(), stopAt - serviceTime * 0.5) << "the queued call is refused before the stop";
    auto sent = answer(3);
    EXPECT_GE(Clock::now(), stopAt) << "the server has the time until the stop";
    relay("/patient/4");
    auto late = answer(4);
    for (auto& [ended, hasNotRun] : { std::pair(queued, true), std::pair(sent, false), std::pair(late, true) }) {
        ASSERT_TRUE(ended);
        auto* refusal = std::get_if<Relay::Refusal>(&*ended);
        ASSERT_TRUE(refusal);
        EXPECT_EQ(refusal->hasNotRun, hasNotRun);
    }
    EXPECT_EQ(m_engine->inFlight(), 0U);
    // The engine closes the connection of the request in flight and logs that on another thread, which must not happen
    // while the static objects of the process are destroyed.
    EXPECT_EQ(m_server.receive(), "") << "the server is told to cancel";
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
}
