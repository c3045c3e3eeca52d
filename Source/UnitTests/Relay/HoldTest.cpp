#include "Relay/Engine.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

using Common::Clock;
using Common::GroupName;
using Common::Milliseconds;
using Common::Reason;

namespace {

constexpr std::chrono::seconds longWait { 10 };

class FakeCaller : public Http::Caller {
public:
    void onDisconnect(std::function<void()> fn) override { m_callback = std::move(fn); }
    void disconnect() { m_callback(); }

private:
    std::function<void()> m_callback;
};

class Hold : public testing::Test {
protected:
    ~Hold() override { m_timers.stop(); }

    static Routes::TablePtr makeTable()
    {
        auto table = std::make_shared<Routes::Table>();
        Routes::Route route;
        route.name = Common::RouteName("single");
        route.host = "h";
        route.prefix = "/";
        route.weightedGroups = { { GroupName("g"), 1 } };
        route.timeout = Milliseconds(10'000);
        route.latencyObjective = Milliseconds(400);
        table->routes.push_back(route);
        table->groups.push_back({ GroupName("g"), Common::Connections(100) });
        Routes::index(*table);
        return table;
    }

    void send(const char* id, const char* host, Milliseconds timeLeft, std::shared_ptr<Http::Caller> caller = nullptr)
    {
        auto call = std::make_shared<Relay::Call>();
        call->id = Common::RequestId(id);
        call->host = host;
        call->path = "/x";
        call->timeLeft = timeLeft;
        call->caller = std::move(caller);
        m_engine.relay(call, [this, id = std::string(id)](const Relay::Answer& answer) {
            std::lock_guard lock(m_mutex);
            auto refusal = std::get_if<Relay::Refusal>(&answer);
            m_answers.push_back(
                id + (refusal ? " " + std::string(Common::reasonCode(refusal->error.reason)) : " gone"));
            m_retryAfter = refusal ? refusal->retryAfter : Milliseconds(0);
            m_answered.notify_all();
        });
    }

    std::vector<std::string> waitForAnswers(size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_answered.wait_for(lock, longWait, [&] { return m_answers.size() >= count; });
        return m_answers;
    }

    static std::string answered(const char* id, Reason reason) { return id + (" " + std::string(reasonCode(reason))); }

    std::mutex m_mutex; // Guards the members down to m_retryAfter.
    std::condition_variable m_answered;
    std::vector<std::string> m_answers;
    Milliseconds m_retryAfter;
    Common::Timers m_timers { 1 };
    Observe::Metrics m_metrics;
    Relay::Engine m_engine { {}, { [](const Relay::Call&) { return std::string(); }, {}, {}, {} }, {}, m_timers,
        m_metrics, std::make_shared<Suspects::Board>() };
};

} // namespace

// Guards against calls that are refused although the table comes in time, and against another order than that of their
// arrival.
TEST_F(Hold, AdmitsInTheOrderOfArrivalOnceTheTableIsKnown)
{
    for (const char* id : { "1", "2", "3" })
        send(id, "other", Milliseconds(9'000));
    EXPECT_TRUE(waitForAnswers(0).empty());
    EXPECT_EQ(m_engine.inFlight(), 3u);
    m_engine.setTable(makeTable());
    m_engine.admitHeldCalls();
    EXPECT_EQ(waitForAnswers(3),
        (std::vector<std::string> {
            answered("1", Reason::NotFound), answered("2", Reason::NotFound), answered("3", Reason::NotFound) }));
    EXPECT_EQ(m_engine.inFlight(), 0u);
}

// Guards against callers that get no answer, or one without Retry-After, if no table comes.
TEST_F(Hold, RefusesAfterAThirdOfTheRemainingTime)
{
    auto begin = Clock::now();
    send("1", "h", Milliseconds(150));
    EXPECT_EQ(waitForAnswers(1), std::vector<std::string> { answered("1", Reason::Unavailable) });
    EXPECT_GE(Clock::now() - begin, Milliseconds(49));
    EXPECT_GT(m_retryAfter, Milliseconds(0));
    EXPECT_EQ(m_engine.inFlight(), 0u);
}

// Guards against calls that are sent to servers for callers that have left.
TEST_F(Hold, DropsACallWhoseCallerHasLeft)
{
    auto caller = std::make_shared<FakeCaller>();
    send("1", "h", Milliseconds(9'000), caller);
    caller->disconnect();
    EXPECT_EQ(waitForAnswers(1), std::vector<std::string> { "1 gone" });
    m_engine.setTable(makeTable());
    m_engine.admitHeldCalls();
    EXPECT_EQ(m_answers.size(), 1u) << "answered once";
    EXPECT_EQ(m_engine.inFlight(), 0u);
}

// Guards against a call that waits for servers longer than a quarter of its route's objective, or not at all.
TEST_F(Hold, WaitsForServersUpToAQuarterOfTheObjective)
{
    m_engine.setTable(makeTable());
    auto begin = Clock::now();
    send("1", "h", Milliseconds(3'000));
    EXPECT_EQ(m_engine.inFlight(), 1u);
    waitForAnswers(1);
    EXPECT_GE(Clock::now() - begin, Milliseconds(99));
    EXPECT_EQ(m_engine.inFlight(), 0u);
}
