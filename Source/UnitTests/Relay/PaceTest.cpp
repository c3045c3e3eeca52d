#include "Common/Random.h"
#include "Relay/ServerPool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

// Several instances send the requests of callers to a group of small fake servers in virtual time, with and without the
// pace. The figures are what callers get: the share of their requests that is answered within the objective.

using Common::BackendServerId;
using Common::Connections;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Random;
using Common::RouteName;
using Common::TimePoint;
using Pace = Relay::ServerPool::Pace;

namespace {

constexpr size_t slots = 2;
constexpr double latency = 0.5; // One way.
constexpr double floorInterval = 250; // As in ServerPace.cpp.
constexpr double troubleAt = 3'000;

struct Kind {
    RouteName route;
    double work;
    double objective;
    double share; // Of all requests.
};

const Kind kinds[] = { { RouteName("small"), 4, 50, 0.4 }, { RouteName("large"), 15, 150, 0.6 } };

struct FakeServer {
    BackendServerId id;
    Common::FailureDomain domain;
    double speed { 1 };
    uint64_t start { 1 };
    bool isUp { true };
    double warmAt { 0 }; // 1.6 times slower until then.
    size_t crashesAt { 1'000 }; // Requests in progress while it is cold.
    double downTime { 2'000 };
    double slowFactor { 1 };
    bool answersErrors { false };
    size_t running { 0 };
    std::deque<size_t> queue; // Of attempts.
    std::vector<size_t> inside; // Attempts that run or wait.
    size_t crashes { 0 };
};

struct Scenario {
    std::vector<FakeServer> servers;
    size_t instances { 2 };
    double perSecond { 300 };
    int64_t connections { 8 }; // Per instance and server.
    double length { 10'000 };
    std::function<void(std::vector<FakeServer>&, double now)> script; // Called each millisecond.
};

struct Result {
    double inTime { 0 }; // Share of the requests.
    double answered { 0 };
    size_t crashes { 0 };
    double failures { 0 }; // Sends that failed at a server, as a share of the requests.
    double longestWithoutSend { 0 }; // While requests waited.
};

class World {
public:
    World(const Scenario& scenario, Pace pace, uint64_t seed)
        : m_scenario(scenario)
        , m_servers(scenario.servers)
        , m_random(seed)
    {
        for (size_t i = 0; i < scenario.instances; ++i)
            m_instances.push_back(std::make_unique<Instance>(pace));
    }

    Result run()
    {
        at(0, [this] { tick(); });
        at(1, [this] { arrive(); });
        while (!m_events.empty() && m_events.begin()->first < m_scenario.length + 1'000) {
            auto first = m_events.begin();
            m_now = first->first;
            auto fn = std::move(first->second);
            m_events.erase(first);
            fn();
        }
        for (const FakeServer& server : m_servers)
            m_result.crashes += server.crashes;
        m_result.inTime /= static_cast<double>(m_requests.size());
        m_result.answered /= static_cast<double>(m_requests.size());
        m_result.failures /= static_cast<double>(m_requests.size());
        return m_result;
    }

private:
    struct Instance {
        explicit Instance(Pace pace)
            : pool(pace)
        {
        }

        Relay::ServerPool pool;
        std::deque<size_t> waiting; // Requests.
        double sentAt { 0 };
        size_t firstSends { 0 };
        size_t retries { 0 };
    };

    struct Request {
        size_t instance;
        const Kind* kind;
        double arrivedAt;
        int attempts { 0 };
        std::vector<BackendServerId> avoid;
    };

    struct Attempt {
        size_t request;
        size_t server;
        uint64_t start;
        double sentAt;
        Relay::ConnectionPtr connection;
        bool isEnded { false };
    };

    TimePoint now() const { return TimePoint(Milliseconds(10'000 + m_now)); }

    void at(double time, std::function<void()> fn) { m_events.emplace(time, std::move(fn)); }

    void tick()
    {
        if (m_scenario.script)
            m_scenario.script(m_servers, m_now);
        for (auto& instance : m_instances) {
            if (!instance->waiting.empty())
                m_result.longestWithoutSend = std::max(m_result.longestWithoutSend, m_now - instance->sentAt);
            else
                instance->sentAt = m_now;
        }
        at(m_now + 1, [this] { tick(); });
    }

    void arrive()
    {
        if (m_now > m_scenario.length)
            return;
        const Kind& kind = m_random.unit() < kinds[0].share ? kinds[0] : kinds[1];
        m_requests.push_back({ m_random.below(m_scenario.instances), &kind, m_now });
        submit(m_requests.size() - 1);
        at(m_now - std::log(1 - m_random.unit()) * 1'000 / m_scenario.perSecond, [this] { arrive(); });
    }

    Relay::Targets targets() const
    {
        std::vector<Roster::EligibleServer> list;
        for (const FakeServer& server : m_servers) {
            Roster::EligibleServer it;
            it.server = server.id;
            it.address = Common::Address("127.0.0.1:1");
            it.incarnation = Incarnation(server.start);
            it.slots = Common::Slots(slots);
            it.warmAt = TimePoint(Milliseconds(10'000 + server.warmAt));
            // A server that is down is known as such only after a while, so it stays in the list.
            list.push_back(it);
        }
        return { std::make_shared<const std::vector<Roster::EligibleServer>>(std::move(list)), {} };
    }

    void submit(size_t index)
    {
        if (!trySend(index)) {
            m_instances[m_requests[index].instance]->waiting.push_back(index);
            wakeLater(m_requests[index].instance);
        }
    }

    bool trySend(size_t index)
    {
        Request& request = m_requests[index];
        Instance& instance = *m_instances[request.instance];
        auto group = targets();
        Connections limit(m_scenario.connections);
        auto candidates = instance.pool.candidates(*group.servers, limit, {}, now());
        for (size_t i : Routing::rank(candidates, { request.avoid, {} }, m_random)) {
            auto lease = instance.pool.acquire(group, i, limit, now());
            if (!lease)
                continue;
            instance.sentAt = m_now;
            instance.firstSends += request.attempts ? 0 : 1;
            m_attempts.push_back({ index, i, m_servers[i].start, m_now, lease->connection });
            at(m_now + latency, [this, attempt = m_attempts.size() - 1] { reach(attempt); });
            return true;
        }
        return false;
    }

    void reach(size_t index)
    {
        FakeServer& server = m_servers[m_attempts[index].server];
        if (!server.isUp || server.start != m_attempts[index].start) {
            end(index, Relay::Outcome::Kind::Unreachable);
            return;
        }
        if (server.answersErrors) {
            at(m_now + 1, [this, index] { end(index, Relay::Outcome::Kind::Failed); });
            return;
        }
        server.inside.push_back(index);
        if (m_now < server.warmAt && server.inside.size() >= server.crashesAt) {
            crash(server);
            return;
        }
        server.queue.push_back(index);
        work(m_attempts[index].server);
    }

    void work(size_t place)
    {
        FakeServer& server = m_servers[place];
        while (server.running < slots && !server.queue.empty()) {
            size_t index = server.queue.front();
            server.queue.pop_front();
            ++server.running;
            double factor = server.slowFactor * (m_now < server.warmAt ? 1.6 : 1);
            double took = m_requests[m_attempts[index].request].kind->work * factor / server.speed;
            at(m_now + took, [this, index, place, start = server.start] {
                FakeServer& done = m_servers[place];
                if (done.start != start || !done.isUp)
                    return;
                --done.running;
                std::erase(done.inside, index);
                at(m_now + latency, [this, index] { end(index, Relay::Outcome::Kind::Answered); });
                work(place);
            });
        }
    }

    void crash(FakeServer& server)
    {
        ++server.crashes;
        server.isUp = false;
        auto lost = std::move(server.inside);
        server.inside.clear();
        server.queue.clear();
        server.running = 0;
        for (size_t index : lost)
            at(m_now + latency, [this, index] { end(index, Relay::Outcome::Kind::Unreachable); });
        at(m_now + server.downTime, [this, &server] {
            ++server.start;
            server.isUp = true;
            server.warmAt = m_now + 3'000;
        });
    }

    void end(size_t index, Relay::Outcome::Kind kind)
    {
        Attempt& attempt = m_attempts[index];
        Request& request = m_requests[attempt.request];
        Instance& instance = *m_instances[request.instance];
        const BackendServerId id = m_servers[attempt.server].id;
        TimePoint sentAt(Milliseconds(10'000 + attempt.sentAt));
        Relay::Outcome outcome { kind, now() - sentAt };
        instance.pool.recordPace(*targets().servers,
            { id, Incarnation(attempt.start), request.kind->route, sentAt, outcome },
            Connections(m_scenario.connections), now());
        instance.pool.release(id, attempt.connection, sentAt, outcome, now());
        if (kind == Relay::Outcome::Kind::Answered) {
            m_result.answered += 1;
            m_result.inTime += m_now - request.arrivedAt <= request.kind->objective ? 1 : 0;
        } else {
            ++m_result.failures;
            // One retry within a budget of a tenth of the first sends, as the routes of this load have.
            request.avoid.push_back(id);
            bool hasBudget
                = static_cast<double>(instance.retries) < 10 + 0.1 * static_cast<double>(instance.firstSends);
            if (++request.attempts < 2 && hasBudget) {
                ++instance.retries;
                submit(attempt.request);
            }
        }
        serveWaiting(request.instance);
    }

    void serveWaiting(size_t place)
    {
        Instance& instance = *m_instances[place];
        while (!instance.waiting.empty()) {
            size_t index = instance.waiting.front();
            bool isLate = m_now - m_requests[index].arrivedAt > m_requests[index].kind->objective;
            if (!isLate && !trySend(index)) {
                wakeLater(place);
                return;
            }
            instance.waiting.pop_front();
        }
    }

    void wakeLater(size_t place)
    {
        auto wait = m_instances[place]->pool.nextSendIn(targets(), {}, now());
        if (wait)
            at(m_now + wait->value() + 0.01, [this, place] { serveWaiting(place); });
    }

    Scenario m_scenario;
    std::vector<FakeServer> m_servers;
    Random m_random;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::multimap<double, std::function<void()>> m_events;
    Result m_result;
    double m_now { 0 };
};

std::vector<FakeServer> servers(size_t count)
{
    std::vector<FakeServer> out(count);
    for (size_t i = 0; i < count; ++i) {
        out[i].id = BackendServerId("s" + std::to_string(i));
        out[i].speed = 0.8 + 0.25 * static_cast<double>(i % 3);
    }
    return out;
}

// Down for a second, then back and cold for 3 s.
void setDown(FakeServer& server, double now)
{
    if (now < troubleAt || server.start > 1)
        return;
    server.isUp = false;
    if (now < troubleAt + 1'000)
        return;
    server.start = 2;
    server.isUp = true;
    server.warmAt = now + 3'000;
}

// Sums over some seeds; the shares are averages.
Result play(const Scenario& scenario, Pace pace)
{
    constexpr int runs = 20;
    Result sum;
    for (int seed = 1; seed <= runs; ++seed) {
        Result one = World(scenario, pace, static_cast<uint64_t>(seed)).run();
        sum.inTime += one.inTime / runs;
        sum.answered += one.answered / runs;
        sum.failures += one.failures / runs;
        sum.crashes += one.crashes;
        sum.longestWithoutSend = std::max(sum.longestWithoutSend, one.longestWithoutSend);
    }
    std::printf(
        "%s pace: in time %.4f, answered %.4f, failed sends %.4f, crashes %zu, longest without a send %.0f ms\n",
        pace == Pace::Adaptive ? "with" : "without", sum.inTime, sum.answered, sum.failures, sum.crashes,
        sum.longestWithoutSend);
    EXPECT_LE(sum.longestWithoutSend, floorInterval + 10);
    return sum;
}

} // namespace

// A server returns cold into a group that is nearly full: it gets the requests that wait, crashes, and comes back to
// the same. Callers may lose one send in 200; more uses up their retries, which are a tenth of the first sends.
TEST(Pace, AServerThatStartsIsNotFlooded)
{
    Scenario scenario;
    scenario.servers = servers(3);
    scenario.servers.front().crashesAt = 8;
    scenario.perSecond = 420;
    scenario.script = [](std::vector<FakeServer>& all, double now) { setDown(all[0], now); };
    auto isGood = [](const Result& result) { return result.failures < 0.005 && result.inTime > 0.97; };
    EXPECT_TRUE(isGood(play(scenario, Pace::Adaptive)));
    EXPECT_FALSE(isGood(play(scenario, Pace::Unlimited)));
}

// One of three servers is 8 times slower for 5 s. Of the requests, 99 in 100 are to be answered within the objective.
TEST(Pace, AServerThatRecoversFromSlownessHoldsFewRequests)
{
    Scenario scenario;
    scenario.servers = servers(3);
    scenario.perSecond = 400;
    scenario.connections = 4;
    scenario.script = [](std::vector<FakeServer>& all, double now) {
        all[0].slowFactor = now > troubleAt && now < troubleAt + 5'000 ? 8 : 1;
    };
    auto isGood = [](const Result& result) { return result.inTime > 0.99; };
    EXPECT_TRUE(isGood(play(scenario, Pace::Adaptive)));
    EXPECT_FALSE(isGood(play(scenario, Pace::Unlimited)));
}

// Two of four servers return at once, cold. In 20 runs each of them may crash again in one of five; each crash takes
// capacity from all callers for another 2 s.
TEST(Pace, AFailureDomainThatReturnsIsNotFlooded)
{
    Scenario scenario;
    scenario.servers = servers(4);
    scenario.servers[0].crashesAt = 8;
    scenario.servers[1].crashesAt = 8;
    scenario.perSecond = 390;
    scenario.script = [](std::vector<FakeServer>& all, double now) {
        setDown(all[0], now);
        setDown(all[1], now);
    };
    auto isGood = [](const Result& result) { return result.crashes <= 8 && result.inTime > 0.981; };
    EXPECT_TRUE(isGood(play(scenario, Pace::Adaptive)));
    EXPECT_FALSE(isGood(play(scenario, Pace::Unlimited)));
}

// A server says that it is well and answers each request at once with an error. Callers may see an error for one
// request in a thousand.
TEST(Pace, AServerThatReportsAFalseStateIsJudgedByItsAnswers)
{
    Scenario scenario;
    scenario.servers = servers(3);
    scenario.perSecond = 420;
    scenario.script = [](std::vector<FakeServer>& all, double now) {
        all[0].answersErrors = now > troubleAt && now < troubleAt + 5'000;
    };
    auto isGood = [](const Result& result) { return result.answered > 0.999 && result.failures < 0.01; };
    EXPECT_TRUE(isGood(play(scenario, Pace::Adaptive)));
    EXPECT_FALSE(isGood(play(scenario, Pace::Unlimited)));
}

// After a start of the whole system all servers are new, and none may be held back.
TEST(Pace, AGroupOfNewServersServesAtTheUsualRate)
{
    Scenario scenario;
    scenario.servers = servers(3);
    scenario.perSecond = 450;
    scenario.length = 500;
    Result paced = play(scenario, Pace::Adaptive);
    Result plain = play(scenario, Pace::Unlimited);
    EXPECT_GT(paced.inTime, 0.999);
    EXPECT_GT(paced.inTime, plain.inTime - 0.001);
}
