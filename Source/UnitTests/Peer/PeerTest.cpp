#include "Peer/Client.h"
#include "Peer/Server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Common::Milliseconds;
using Common::Reason;
using Peer::Service;
using Answer = Common::Result<std::string>;

constexpr Milliseconds longTimeout { 20'000 };
constexpr std::chrono::seconds longWait { 30 };
const Common::Address anyPort("127.0.0.1:0");

Peer::ClientOptions clientOptions()
{
    Peer::ClientOptions options;
    options.self = Common::InstanceId("test");
    options.heartbeat = Milliseconds(50);
    options.silenceTimeout = Milliseconds(400);
    return options;
}

std::unique_ptr<Peer::Server> echoServer(const Common::Address& address, int threads = 1)
{
    auto server = Peer::Server::listen(address, threads);
    EXPECT_TRUE(server);
    server.value()->handle(Service::Control,
        [](const Common::InstanceId&, std::string_view payload, auto reply) { reply(std::string(payload)); });
    server.value()->start();
    return std::move(server.value());
}

std::future<Answer> send(
    Peer::Client& client, const Common::Address& to, Service service, std::string payload, Milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    client.call(to, service, std::move(payload), timeout, [promise](Answer a) { promise->set_value(std::move(a)); });
    return future;
}

Answer callNow(Peer::Client& client, const Common::Address& to, std::string payload, Milliseconds timeout = longTimeout)
{
    auto future = send(client, to, Service::Control, std::move(payload), timeout);
    EXPECT_EQ(future.wait_for(longWait), std::future_status::ready);
    return future.get();
}

Reason reasonOf(const Answer& answer) { return answer ? Reason::Internal : answer.error().reason; }

// A listening socket that never answers.
class SilentPeer {
public:
    explicit SilentPeer(int backlog = 8)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in in {};
        in.sin_family = AF_INET;
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(in);
        auto* raw = reinterpret_cast<sockaddr*>(&in);
        EXPECT_EQ(::bind(m_fd, raw, size), 0);
        EXPECT_EQ(::listen(m_fd, backlog), 0);
        EXPECT_EQ(::getsockname(m_fd, raw, &size), 0);
        m_port = ntohs(in.sin_port);
    }

    ~SilentPeer() { ::close(m_fd); }
    SilentPeer(const SilentPeer&) = delete;
    SilentPeer& operator=(const SilentPeer&) = delete;

    Common::Address address() const { return Common::Address("127.0.0.1:" + std::to_string(m_port)); }

    // Accepts one connection. Returns -1 if none arrives within the time.
    int accept(std::chrono::milliseconds time)
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        return ::poll(&waiting, 1, static_cast<int>(time.count())) > 0 ? ::accept(m_fd, nullptr, nullptr) : -1;
    }

private:
    int m_fd;
    int m_port { 0 };
};

// Forwards one connection to a server and counts the bytes in both directions.
class CountingProxy {
public:
    explicit CountingProxy(const Common::Address& server)
        : m_server(server)
        , m_thread([this] { forward(); })
    {
    }

    ~CountingProxy()
    {
        m_stopping = true;
        m_thread.join();
    }
    CountingProxy(const CountingProxy&) = delete;
    CountingProxy& operator=(const CountingProxy&) = delete;

    Common::Address address() const { return m_listener.address(); }
    size_t bytes() const { return m_bytes; }

private:
    void forward()
    {
        int client = -1;
        while (client < 0 && !m_stopping)
            client = m_listener.accept(std::chrono::milliseconds(20));
        int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<uint16_t>(std::stoi(m_server.value().substr(m_server.value().find(':') + 1))));
        EXPECT_EQ(::connect(server, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
        pollfd both[] { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
        char buf[4'096];
        while (!m_stopping) {
            ::poll(both, 2, 20);
            for (int i = 0; i < 2; ++i) {
                ssize_t n = both[i].revents ? ::recv(both[i].fd, buf, sizeof buf, MSG_DONTWAIT) : 0;
                if (n > 0)
                    m_bytes += static_cast<size_t>(::send(both[1 - i].fd, buf, static_cast<size_t>(n), MSG_NOSIGNAL));
            }
        }
        ::close(client);
        ::close(server);
    }

    const Common::Address m_server;
    SilentPeer m_listener;
    std::atomic<size_t> m_bytes { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace

TEST(Peer, CallsAndCarriesLogicalTime)
{
    std::atomic<uint64_t> seenByServer { 0 };
    std::atomic<uint64_t> seenByClient { 0 };
    auto server = Peer::Server::listen(anyPort, 2);
    ASSERT_TRUE(server);
    std::string caller;
    server.value()->handle(Service::Gossip, [&](const Common::InstanceId& from, std::string_view payload, auto reply) {
        caller = from.value();
        reply("got " + std::string(payload));
    });
    server.value()->setLogicalTimeHooks({ [] { return 8; }, [&](uint64_t t) { seenByServer = t; } });
    server.value()->start();
    auto options = clientOptions();
    options.logicalTime = { [] { return 5; }, [&](uint64_t t) { seenByClient = t; } };
    Peer::Client client(options);
    auto answer = send(client, server.value()->address(), Service::Gossip, "x", longTimeout).get();
    ASSERT_TRUE(answer) << answer.error();
    EXPECT_EQ(answer.value(), "got x");
    EXPECT_EQ(caller, "test");
    EXPECT_EQ(seenByServer, 5U);
    EXPECT_EQ(seenByClient, 8U);
}

TEST(Peer, HandlerErrorsAreReturnedUnchanged)
{
    auto server = Peer::Server::listen(anyPort, 1);
    ASSERT_TRUE(server);
    server.value()->handle(Service::Control, [](const auto&, std::string_view, const auto& reply) {
        reply(Common::makeError(Reason::Conflict, "append-log", "lost the race", "control-2"));
        reply(std::string("a second reply is ignored"));
    });
    server.value()->handle(Service::Observe, [](const auto&, std::string_view, const auto&) {});
    server.value()->start();
    Peer::Client client(clientOptions());
    const auto address = server.value()->address();
    auto answer = callNow(client, address, "x");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, Reason::Conflict);
    EXPECT_EQ(answer.error().step, "append-log");
    EXPECT_EQ(answer.error().peer, "control-2");
    EXPECT_EQ(answer.error().message, "lost the race");
    EXPECT_EQ(reasonOf(send(client, address, Service::Consensus, "", longTimeout).get()), Reason::NotFound);
    auto dropped = send(client, address, Service::Observe, "", longTimeout).get();
    ASSERT_FALSE(dropped);
    EXPECT_EQ(dropped.error().step, "handle-call");
}

TEST(Peer, CarriesLargePayloadsWhole)
{
    auto server = echoServer(anyPort);
    Peer::Client client(clientOptions());
    std::string payload(8 << 20, 'a');
    for (size_t i = 0; i < payload.size(); ++i)
        payload[i] = static_cast<char>(i * 31 + i / 251);
    auto answer = callNow(client, server->address(), payload);
    ASSERT_TRUE(answer) << answer.error();
    EXPECT_EQ(answer.value(), payload);
    EXPECT_EQ(reasonOf(callNow(client, server->address(), std::string(33 << 20, 'b'))), Reason::InvalidInput);
}

TEST(Peer, CallWithoutListenerIsConnectionFailed)
{
    Common::Address gone;
    {
        SilentPeer peer;
        gone = peer.address();
    }
    Peer::Client client(clientOptions());
    EXPECT_EQ(reasonOf(callNow(client, gone, "x")), Reason::ConnectionFailed);
    EXPECT_EQ(reasonOf(callNow(client, gone, "x")), Reason::ConnectionFailed);
    EXPECT_EQ(reasonOf(callNow(client, Common::Address("no address"), "x")), Reason::ConnectionFailed);
}

// Guards against a process that loses a connect timeout to a machine that starts at the same time and drops the first
// SYN, which the kernel sends again only after a second.
TEST(Peer, UnansweredConnectionAttemptIsFollowedByAnotherAtTheStart)
{
    SilentPeer peer(0); // Drops each SYN while one connection waits to be accepted.
    Peer::Client filler(clientOptions());
    auto first = send(filler, peer.address(), Service::Control, "", longTimeout);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto options = clientOptions();
    options.connectTimeout = Milliseconds(5'000);
    options.eagerUntil = Common::Clock::now() + longTimeout;
    Peer::Client client(options);
    auto second = send(client, peer.address(), Service::Control, "", longTimeout);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    int firstConnection = peer.accept(std::chrono::milliseconds(0));
    EXPECT_GE(firstConnection, 0);
    int secondConnection = peer.accept(std::chrono::milliseconds(500));
    EXPECT_GE(secondConnection, 0);
    ::close(firstConnection);
    ::close(secondConnection);
}

// Guards against the backoff of up to 500 ms for a peer that starts slightly later than this process.
TEST(Peer, RefusedConnectionsAreRetriedWithoutBackoffAtTheStart)
{
    Common::Address address;
    {
        auto server = echoServer(anyPort);
        address = server->address();
        server->stop();
    }
    auto options = clientOptions();
    options.eagerUntil = Common::Clock::now() + longTimeout;
    Peer::Client client(options);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(reasonOf(callNow(client, address, "")), Reason::ConnectionFailed);
        std::this_thread::sleep_for(std::chrono::milliseconds(15));
    }
    auto server = echoServer(address);
    auto answer = callNow(client, address, "x");
    EXPECT_TRUE(answer && answer.value() == "x");
}

TEST(Peer, PendingCallsFailWithTheirServerAndLaterCallsReachItsReplacement)
{
    std::mutex mutex;
    std::vector<Peer::Reply> held;
    std::promise<void> allArrived;
    constexpr size_t callCount = 20;
    auto server = Peer::Server::listen(anyPort, 1);
    ASSERT_TRUE(server);
    server.value()->handle(Service::Control, [&](const auto&, std::string_view, Peer::Reply reply) {
        std::lock_guard lock(mutex);
        held.push_back(std::move(reply));
        if (held.size() == callCount)
            allArrived.set_value();
    });
    server.value()->start();
    const auto address = server.value()->address();
    auto options = clientOptions();
    options.silenceTimeout = longTimeout;
    Peer::Client client(options);
    std::vector<std::future<Answer>> calls;
    for (size_t i = 0; i < callCount; ++i)
        calls.push_back(send(client, address, Service::Control, "x", longTimeout));
    ASSERT_EQ(allArrived.get_future().wait_for(longWait), std::future_status::ready);
    server.value().reset();
    for (auto& call : calls) {
        ASSERT_EQ(call.wait_for(longWait), std::future_status::ready);
        EXPECT_EQ(reasonOf(call.get()), Reason::ConnectionLost);
    }
    held.front()(std::string("too late"));
    auto replacement = echoServer(address);
    const auto end = std::chrono::steady_clock::now() + longWait;
    auto answer = callNow(client, address, "again");
    while (!answer && std::chrono::steady_clock::now() < end)
        answer = callNow(client, address, "again");
    ASSERT_TRUE(answer) << answer.error();
    EXPECT_EQ(answer.value(), "again");
}

TEST(Peer, SilentPeerIsDetectedAndBlocksNoOtherPeer)
{
    SilentPeer silent;
    auto server = echoServer(anyPort);
    Peer::Client client(clientOptions()); // One thread, so both peers share its event loop.
    auto stuck = send(client, silent.address(), Service::Control, "x", longTimeout);
    for (int i = 0; i < 50; ++i)
        EXPECT_TRUE(callNow(client, server->address(), "y"));
    ASSERT_EQ(stuck.wait_for(longWait), std::future_status::ready);
    EXPECT_EQ(reasonOf(stuck.get()), Reason::ConnectionLost);
    EXPECT_EQ(reasonOf(callNow(client, silent.address(), "x", Milliseconds(60))), Reason::DeadlineExceeded);
}

TEST(Peer, HeartbeatsKeepASlowCallAlive)
{
    std::promise<Peer::Reply> held;
    auto server = Peer::Server::listen(anyPort, 1);
    ASSERT_TRUE(server);
    server.value()->handle(
        Service::Control, [&](const auto&, std::string_view, Peer::Reply reply) { held.set_value(std::move(reply)); });
    server.value()->start();
    Peer::Client client(clientOptions());
    auto slow = send(client, server.value()->address(), Service::Control, "x", longTimeout);
    auto reply = held.get_future().get();
    // Three times the silence timeout.
    EXPECT_EQ(slow.wait_for(std::chrono::milliseconds(1200)), std::future_status::timeout);
    reply(std::string("done"));
    auto answer = slow.get();
    ASSERT_TRUE(answer) << answer.error();
}

TEST(Peer, IdleConnectionCarriesNoBytesAndStaysOpen)
{
    auto server = echoServer(anyPort);
    CountingProxy proxy(server->address());
    Peer::Client client(clientOptions());
    ASSERT_TRUE(callNow(client, proxy.address(), "x"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    size_t before = proxy.bytes();
    // 12 heartbeat intervals, and longer than the silence timeout.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    EXPECT_EQ(proxy.bytes(), before);
    EXPECT_TRUE(callNow(client, proxy.address(), "y")) << "the proxy accepts only one connection";
}

TEST(Peer, ConnectionIsReplacedAfterACallTimedOut)
{
    SilentPeer silent;
    Peer::Client client(clientOptions());
    EXPECT_EQ(reasonOf(callNow(client, silent.address(), "x", Milliseconds(60))), Reason::DeadlineExceeded);
    int first = silent.accept(longWait);
    EXPECT_GE(first, 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    EXPECT_EQ(reasonOf(callNow(client, silent.address(), "x", Milliseconds(60))), Reason::DeadlineExceeded);
    int second = silent.accept(longWait);
    EXPECT_GE(second, 0);
    ::close(first);
    ::close(second);
}

TEST(Peer, PendingBytesAreBounded)
{
    SilentPeer silent;
    auto options = clientOptions();
    options.silenceTimeout = longTimeout;
    options.maximumPending = Common::Bytes(10'000);
    Peer::Client client(options);
    auto first = send(client, silent.address(), Service::Control, std::string(9'000, 'a'), Milliseconds(300));
    EXPECT_EQ(reasonOf(callNow(client, silent.address(), std::string(2'000, 'b'))), Reason::Overloaded);
    EXPECT_EQ(reasonOf(first.get()), Reason::DeadlineExceeded);
    // The bytes of the first call were released.
    auto third = callNow(client, silent.address(), std::string(9'000, 'a'), Milliseconds(50));
    EXPECT_EQ(reasonOf(third), Reason::DeadlineExceeded);
}

TEST(Peer, StopCompletesEveryCall)
{
    SilentPeer silent;
    auto client = std::make_unique<Peer::Client>(clientOptions());
    std::atomic<int> answers { 0 };
    constexpr int callCount = 100;
    for (int i = 0; i < callCount; ++i) {
        client->call(silent.address(), Service::Control, "x", longTimeout, [&](const Answer& answer) {
            EXPECT_FALSE(answer);
            ++answers;
        });
    }
    client->stop();
    EXPECT_EQ(answers, callCount);
    EXPECT_EQ(reasonOf(callNow(*client, silent.address(), "x")), Reason::Unavailable);
}

// Prints calls per second and CPU time per call (client and server) for several numbers of calls in flight.
TEST(PeerSpeed, CallsPerSecond)
{
    const char* scale = std::getenv("PEER_SPEED_CALLS");
    const int total = scale ? std::atoi(scale) : 2'000;
    auto server = echoServer(anyPort);
    for (const int inFlight : { 1, 50, 500 }) {
        auto options = clientOptions();
        options.silenceTimeout = longTimeout; // On a busy machine, a slow answer must not count as silence.
        Peer::Client client(options);
        std::atomic<int> started { 0 };
        std::atomic<int> succeeded { 0 };
        std::atomic<int> ended { 0 };
        std::promise<void> allDone;
        std::function<void()> next = [&] {
            if (started++ >= total)
                return;
            client.call(server->address(), Service::Control, std::string(200, 'p'), longTimeout, [&](const Answer& a) {
                succeeded += a.has_value();
                next();
                if (++ended == total)
                    allDone.set_value();
            });
        };
        const auto begin = std::chrono::steady_clock::now();
        const std::clock_t cpuBegin = std::clock();
        for (int i = 0; i < inFlight; ++i)
            next();
        ASSERT_EQ(allDone.get_future().wait_for(longWait * 4), std::future_status::ready);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
        const double cpu = static_cast<double>(std::clock() - cpuBegin) / CLOCKS_PER_SEC;
        EXPECT_EQ(succeeded, total);
        std::cout << "in flight " << inFlight << ": " << static_cast<int>(total / took.count()) << " calls/s, "
                  << cpu / total * 1e6 << " us of CPU time per call\n";
    }
}
