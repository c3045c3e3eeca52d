#include "Limits/ServerRate.h"

#include "Common/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

// Many instances send to one server that names a rate, with uneven load, while keepers restart, views differ and
// messages are lost.

using namespace Limits;
using Common::BackendServerId;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Random;
using Common::RequestRate;
using Common::TimePoint;

namespace {

constexpr double tick = 5;
constexpr double window = 4'000;
constexpr double contact = 4'000;
constexpr double told = 500; // Before that an instance need not obey.
constexpr double length = 30'000;
const BackendServerId server { "s" };
const Incarnation start { 1 };

struct Options {
    size_t instances { 9 };
    double perSecond { 20 };
    double load { 60 }; // Requests a second of all instances together.
    bool oneSends { false };
    double lossOfMessages { 0 };
    double keeperChangesEvery { 0 }; // 0: never.
    double viewsDifferFor { 0 }; // After a change of the keeper.
    bool keeperRestarts { false };
};

struct Outcome {
    size_t most { 0 }; // Requests in some window, after the contact time.
    double used { 0 }; // Share of the rate.
};

struct Instance {
    ServerRate rate;
    size_t keeperInView { 0 };
    double viewChangesAt { 0 };
    std::optional<double> toldAt; // By the server's first answer.
};

class World {
public:
    World(uint64_t seed, const Options& options)
        : m_random(seed)
        , m_options(options)
        , m_instances(options.instances)
    {
    }

    Outcome run()
    {
        double nextChange = m_options.keeperChangesEvery;
        for (m_ms = 0; m_ms < length; m_ms += tick) {
            if (nextChange > 0 && m_ms >= nextChange) {
                nextChange += m_options.keeperChangesEvery;
                changeKeeper();
            }
            for (Instance& instance : m_instances) {
                if (m_ms >= instance.viewChangesAt)
                    instance.keeperInView = m_keeper;
            }
            if (m_random.chance(m_options.load * tick / 1'000))
                send(m_options.oneSends ? 1 : m_random.below(m_instances.size()));
        }
        return outcome();
    }

private:
    TimePoint now() const { return TimePoint(Milliseconds(m_ms)); }

    void changeKeeper()
    {
        if (m_options.keeperRestarts)
            m_instances[m_keeper] = {};
        m_keeper = (m_keeper + 1) % m_instances.size();
        for (Instance& instance : m_instances)
            instance.viewChangesAt = m_ms + m_random.unit() * m_options.viewsDifferFor;
    }

    RateRole roleIn(size_t index) const
    {
        return m_instances[index].keeperInView == index ? RateRole::Keeper : RateRole::Asker;
    }

    void send(size_t index)
    {
        Instance& instance = m_instances[index];
        RateRole role = roleOf(instance.rate, roleIn(index), now());
        if (role == RateRole::Asker)
            askKeeper(instance);
        if (!tryTakeToken(instance.rate, start, role, m_instances.size(), now()))
            return;
        if (instance.toldAt && m_ms >= *instance.toldAt + told)
            m_arrivals.push_back(m_ms);
        instance.toldAt = instance.toldAt.value_or(m_ms);
        ServerNotice notice;
        notice.limit = RequestRate(m_options.perSecond);
        recordRate(instance.rate.named, start, notice, true, now());
    }

    void askKeeper(Instance& instance)
    {
        auto claim = ask(instance.rate, server, start, 1, now());
        if (!claim)
            return;
        size_t keeper = instance.keeperInView;
        std::optional<RateGrant> answer = grant(m_instances[keeper].rate, *claim, roleIn(keeper), now());
        if (m_random.chance(m_options.lossOfMessages))
            answer.reset();
        answerAsk(instance.rate, answer, now());
    }

    Outcome outcome() const
    {
        Outcome result;
        size_t counted = 0;
        for (size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[first] <= m_arrivals[last] - window || m_arrivals[first] < contact)
                if (++first > last)
                    break;
            counted += m_arrivals[last] >= contact ? 1 : 0;
            result.most = std::max(result.most, last + 1 - std::min(first, last + 1));
        }
        result.used = static_cast<double>(counted) * 1'000 / (length - contact) / m_options.perSecond;
        return result;
    }

    Random m_random;
    Options m_options;
    std::vector<Instance> m_instances;
    std::vector<double> m_arrivals;
    size_t m_keeper { 0 };
    double m_ms { 0 };
};

// What the platform allows: half more than the rate, and five requests.
size_t allowed(const Options& options) { return static_cast<size_t>(1.5 * options.perSecond * window / 1'000 + 5); }

void expectWithinRate(const Options& options, double leastUsed)
{
    const char* text = std::getenv("CORIANDERLOCK_RUNS");
    int seeds = text ? std::atoi(text) : 20;
    for (int seed = 1; seed <= seeds; ++seed) {
        Outcome outcome = World(static_cast<uint64_t>(seed), options).run();
        EXPECT_LE(outcome.most, allowed(options)) << "seed " << seed;
        EXPECT_GE(outcome.used, leastUsed) << "seed " << seed;
    }
}

} // namespace

TEST(SharedRate, HoldsAndIsUsedWithEvenLoad)
{
    for (size_t instances : { 1, 3, 9, 295 })
        expectWithinRate({ instances, 20, 60 }, 0.75);
}

TEST(SharedRate, HoldsAndIsUsedIfOneInstanceHasAllCallers)
{
    expectWithinRate({ 9, 20, 60, true }, 0.75);
    expectWithinRate({ 295, 20, 60, true }, 0.75);
}

TEST(SharedRate, HoldsForLowAndHighRates)
{
    expectWithinRate({ 9, 0.5, 60 }, 0.5);
    expectWithinRate({ 9, 150, 190 }, 0.75);
}

TEST(SharedRate, HoldsWhileKeepersChangeAndViewsDiffer)
{
    Options options { 9, 20, 90 };
    options.keeperChangesEvery = 5'000;
    options.viewsDifferFor = 2'000;
    expectWithinRate(options, 0.5);
    options.keeperRestarts = true;
    expectWithinRate(options, 0.4);
}

TEST(SharedRate, HoldsWhileMessagesAreLost)
{
    Options options { 9, 20, 90 };
    options.lossOfMessages = 0.3;
    expectWithinRate(options, 0.2);
}
