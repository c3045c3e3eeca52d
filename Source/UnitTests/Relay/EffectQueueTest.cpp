#include "Relay/EffectQueue.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>

using Common::AttemptId;
using Common::GroupName;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

constexpr Milliseconds timeLimit { 1'000 };
constexpr int silentShare = 3; // One in this many sends is never answered.

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Routes::TablePtr makeTable()
{
    auto table = std::make_shared<Routes::Table>();
    Routes::Route route;
    route.name = Common::RouteName("gather");
    route.fanOut = Routes::FanOut { {}, 5, Common::Ratio(0.5) };
    route.idempotency = Routes::Idempotency::Idempotent;
    route.maximumAttempts = 2;
    table->routes.push_back(route);
    return table;
}

// Performs the effects of one bundle in virtual time, as the engine does: sends may fail at once, a delivery may be
// followed at once by a resume, in the middle of the effects of the step that decided it.
class SimulatedBundle {
public:
    SimulatedBundle(uint32_t seed, int groups)
        : m_random(seed)
    {
        std::vector<GroupName> names;
        names.reserve(static_cast<size_t>(groups));
        for (int i = 0; i < groups; ++i)
            names.emplace_back("g" + std::to_string(i));
        auto table = makeTable();
        m_query = Relay::makeQuery(table, table->routes.front(), names, 1, true, { at(0), at(200), at(0) + timeLimit });
        step([&] { return Relay::start(m_query, m_now); });
    }

    // Runs until nothing is left to happen.
    void run()
    {
        while (!m_events.empty() || m_wakeAt) {
            bool isWake = m_wakeAt && (m_events.empty() || *m_wakeAt <= m_events.begin()->first);
            if (isWake) {
                m_now = *std::exchange(m_wakeAt, std::nullopt);
                step([&] { return Relay::wake(m_query, m_now); });
                continue;
            }
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    bool hasEnded() const { return m_ends == 1 && !m_wakeAt && m_inFlight.empty(); }
    TimePoint endedAt() const { return m_endedAt; }

private:
    void step(const std::function<Relay::Effects()>& decide)
    {
        if (!Relay::push(m_effects, decide()))
            return;
        while (auto effect = Relay::next(m_effects))
            std::visit([&](auto& e) { perform(e); }, *effect);
    }

    void perform(const Relay::Send& send)
    {
        AttemptId id = send.attempt;
        int behaviour = static_cast<int>(m_random() % 6);
        if (behaviour == 0) {
            step([&] { return Relay::notSent(m_query, id, Common::Error(), m_now); });
            return;
        }
        if (!Relay::sent(m_query, id, Common::BackendServerId("s"), m_now, Milliseconds(50)))
            return;
        m_inFlight.insert(id);
        step([&] { return Relay::wake(m_query, m_now); });
        if (m_random() % silentShare == 0)
            return;
        m_events.emplace(m_now + Milliseconds(static_cast<double>(m_random() % 600)), [this, id, behaviour] {
            if (!m_inFlight.erase(id))
                return;
            Relay::SubAnswer answer;
            answer.outcome = behaviour < 4 ? Relay::SubAnswer::Outcome::Success : Relay::SubAnswer::Outcome::Failure;
            step([&] { return Relay::answered(m_query, id, answer, m_now); });
        });
    }

    void perform(const Relay::Abandon& abandon) { m_inFlight.erase(abandon.attempt); }
    void perform(const Relay::WakeAt& wakeAt) { m_wakeAt = wakeAt.when; }
    void perform(const Relay::Finish&) { end(); }
    void perform(const Relay::Expire&) { end(); }

    void perform(const Relay::Deliver&)
    {
        auto resume = [this] { step([&] { return Relay::resume(m_query, 1 + m_random() % 2, m_now); }); };
        switch (m_random() % 3) {
        case 0:
            resume();
            return;
        case 1:
            m_events.emplace(m_now + Milliseconds(static_cast<double>(m_random() % 100)), resume);
            return;
        default:
            return;
        }
    }

    void end()
    {
        ++m_ends;
        m_endedAt = m_now;
        m_wakeAt.reset();
    }

    std::mt19937 m_random;
    TimePoint m_now;
    Relay::Query m_query;
    Relay::EffectQueue m_effects;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::optional<TimePoint> m_wakeAt;
    std::set<AttemptId> m_inFlight;
    int m_ends { 0 };
    TimePoint m_endedAt;
};

} // namespace

// Guards against queries that lose their timer, and so are never answered, when a callback of one of their effects
// starts the next step.
TEST(EffectQueue, EachBundleEndsOnceByItsDeadline)
{
    for (uint32_t seed = 1; seed <= 20'000; ++seed) {
        SimulatedBundle bundle(seed, 1 + static_cast<int>(seed % 4));
        bundle.run();
        ASSERT_TRUE(bundle.hasEnded()) << "seed " << seed;
        ASSERT_LE(bundle.endedAt(), at(0) + timeLimit) << "seed " << seed;
    }
}

TEST(EffectQueue, EffectsDecidedMeanwhileWaitForTheirTurn)
{
    Relay::EffectQueue queue;
    EXPECT_FALSE(Relay::push(queue, {})) << "nothing to perform";
    EXPECT_TRUE(Relay::push(queue, { Relay::WakeAt { at(1) }, Relay::WakeAt { at(2) } }));
    EXPECT_EQ(std::get<Relay::WakeAt>(*Relay::next(queue)).when, at(1));
    EXPECT_FALSE(Relay::push(queue, { Relay::WakeAt { at(3) } })) << "somebody performs";
    EXPECT_EQ(std::get<Relay::WakeAt>(*Relay::next(queue)).when, at(2));
    EXPECT_EQ(std::get<Relay::WakeAt>(*Relay::next(queue)).when, at(3));
    EXPECT_FALSE(Relay::next(queue));
    EXPECT_TRUE(Relay::push(queue, { Relay::WakeAt { at(4) } })) << "all was performed";
}
