#include "Relay/Engine.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using Common::Address;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::RequestId;

namespace {

constexpr int waitMilliseconds = 5'000;

// Takes connections and never answers.
class SilentServer {
public:
    SilentServer()
        : m_listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(m_listening, reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(::getsockname(m_listening, reinterpret_cast<sockaddr*>(&address), &size), 0);
        EXPECT_EQ(::listen(m_listening, 1), 0);
        m_address = Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }

    ~SilentServer()
    {
        ::close(m_listening);
        if (m_connection >= 0)
            ::close(m_connection);
    }
    SilentServer(const SilentServer&) = delete;
    SilentServer& operator=(const SilentServer&) = delete;

    const Address& address() const { return m_address; }

    // Whether a request comes.
    bool receive()
    {
        if (!waitFor(m_listening))
            return false;
        m_connection = ::accept(m_listening, nullptr, nullptr);
        char byte = 0;
        return m_connection >= 0 && waitFor(m_connection) && ::recv(m_connection, &byte, 1, 0) == 1;
    }

    // Whether the peer closes the connection of the request.
    bool isClosed() const
    {
        char buf[256];
        ssize_t n = 1;
        while (n > 0 && waitFor(m_connection))
            n = ::recv(m_connection, buf, sizeof(buf), 0);
        return n <= 0;
    }

private:
    static bool waitFor(int fd)
    {
        pollfd poll { fd, POLLIN, 0 };
        return ::poll(&poll, 1, waitMilliseconds) == 1;
    }

    int m_listening { -1 };
    int m_connection { -1 };
    Address m_address;
};

Routes::TablePtr makeTable()
{
    auto table = std::make_shared<Routes::Table>();
    Routes::Route route;
    route.name = Common::RouteName("gather");
    route.host = "h";
    route.prefix = "/";
    route.fanOut = Routes::FanOut { { GroupName("g") }, 5, Common::Ratio(0.5) };
    route.idempotency = Routes::Idempotency::Idempotent;
    route.timeout = Milliseconds(60'000);
    route.latencyObjective = Milliseconds(30'000);
    table->routes.push_back(route);
    table->groups.push_back({ GroupName("g"), Common::Connections(100) });
    Routes::index(*table);
    return table;
}

class CancelBundle : public testing::Test {
protected:
    CancelBundle()
        : m_engine(std::make_unique<Relay::Engine>(
            options(), codec(), Relay::Peers {}, m_timers, m_metrics, std::make_shared<Suspects::Board>()))
    {
        m_engine->setTable(makeTable());
        Roster::EligibleServer server;
        server.server = Common::BackendServerId("s");
        server.address = m_server.address();
        server.incarnation = Incarnation(1);
        m_engine->setServers(
            std::make_shared<const Relay::ServersByGroup>(Relay::ServersByGroup { { GroupName("g"), { server } } }));
    }

    ~CancelBundle() override { m_timers.stop(); }

    static Relay::EngineOptions options()
    {
        Relay::EngineOptions options;
        options.self = { Address("gatherer:1"), Common::FailureDomain("a") };
        options.abandonGrace = Milliseconds(10);
        return options;
    }

    static Relay::BackendCodec codec()
    {
        Relay::BackendCodec codec;
        codec.encodeHead = [](const Relay::Call&) { return std::string(); };
        codec.encode = [](const std::string&, const Relay::Call&, const Common::BackendServerId&, Milliseconds) {
            return std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        };
        return codec;
    }

    void gather()
    {
        auto call = std::make_shared<Relay::Call>();
        call->id = RequestId("r1");
        call->host = "h";
        call->path = "/x";
        Relay::DelegatedCall delegated { m_bundle, m_engine->table()->number, Milliseconds(0), std::nullopt, { 0 },
            call };
        m_engine->gather({ m_requester, delegated }, [this](const Common::Result<Relay::BundleAnswer>& answer) {
            ++m_answers;
            EXPECT_TRUE(answer && std::holds_alternative<Relay::CallerGone>(answer.value().answer));
        });
    }

    void cancel(const char* call) { m_engine->cancel({ m_requester, m_bundle, RequestId(call) }); }

    const Address m_requester { "requester:1" };
    const Relay::BundleId m_bundle { Incarnation(5), 7 };
    SilentServer m_server;
    Common::Timers m_timers { 1 };
    Observe::Metrics m_metrics;
    int m_answers { 0 };
    std::unique_ptr<Relay::Engine> m_engine;
};

} // namespace

// Guards against servers that work on for callers that have left the relay for which this one gathers.
TEST_F(CancelBundle, EndsTheRequestsToServers)
{
    gather();
    ASSERT_TRUE(m_server.receive());
    EXPECT_EQ(m_engine->inFlight(), 1u);
    cancel("r1");
    EXPECT_EQ(m_answers, 1);
    EXPECT_EQ(m_engine->inFlight(), 0u);
    EXPECT_TRUE(m_server.isClosed());
}

TEST_F(CancelBundle, HasNoEffectBeforeTheBundleOrAfterItOrForAnotherCall)
{
    cancel("r1");
    gather();
    cancel("r2");
    EXPECT_EQ(m_engine->inFlight(), 1u);
    EXPECT_EQ(m_answers, 0);
    cancel("r1");
    cancel("r1");
    EXPECT_EQ(m_engine->inFlight(), 0u);
    EXPECT_EQ(m_answers, 1) << "answered once";
}
