#include "Common/Random.h"
#include "Gather/Query.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <queue>
#include <set>
#include <string>

// Random schedules in virtual time, compared with a reference implementation that gets the same answers. Each seed is
// one query.

using Common::AttemptId;
using Common::keySpaceSize;
using Common::Milliseconds;
using Common::Random;
using Common::TimePoint;
using namespace Gather;

namespace {

constexpr uint64_t defaultRuns = 100'000;
constexpr uint64_t firstSeed = 1;

struct Event {
    enum class Kind {
        Started,
        NotStarted,
        Answer,
        Failed,
        Wake,
    };

    TimePoint when;
    uint64_t order { 0 }; // Breaks ties.
    Kind kind { Kind::Wake };
    StartAttempt attempt;
    Common::IndexVersion version;
    Common::ShardId shard;
    Common::KeyRange range;
    std::vector<Item> items;

    friend bool operator<(const Event& a, const Event& b)
    {
        return std::tie(b.when, b.order) < std::tie(a.when, a.order);
    }
};

Plan randomPlan(Random& random)
{
    // Each version has its own shards, as after a repartitioning.
    Plan plan { Common::IndexVersion(1 + random.below(2)), {} };
    std::set<uint64_t> cuts { 0 };
    for (uint64_t n = random.chance(0.05) ? 60 : 1 + random.below(12); cuts.size() < n;)
        cuts.insert(random.below(keySpaceSize));
    uint32_t id = 0;
    for (auto it = cuts.begin(); it != cuts.end(); ++it) {
        uint64_t end = std::next(it) == cuts.end() ? keySpaceSize : *std::next(it);
        plan.shards.push_back({ Common::ShardId(id++), { *it, end } });
    }
    return plan;
}

// The items that a server of a version holds in a range; some items are on two shards.
std::vector<Item> itemsOf(Common::IndexVersion version, Common::KeyRange range)
{
    std::vector<Item> items;
    for (uint64_t i = 0; i < range.begin % 4; ++i) {
        std::string key = std::to_string(i < 1 ? range.begin % 5 : range.begin + i);
        items.push_back({ key, "v" + std::to_string(version.value()) });
        if (i % 2)
            items.push_back(items.back());
    }
    return items;
}

// The reference: takes the first report of each attempt and the first valid answer of each shard.
struct ReferenceGatherer {
    const Plan& plan;
    std::set<uint64_t> reported;
    std::map<Common::ShardId, std::vector<Item>> answers;

    void report(const Event& event)
    {
        if (!reported.insert(event.attempt.id.value()).second || event.kind != Event::Kind::Answer)
            return;
        if (event.version != plan.version || event.shard != event.attempt.shard || event.range != event.attempt.range)
            return;
        answers.emplace(event.shard, event.items);
    }

    void check(const Answer& answer, const QueryOptions& options) const
    {
        uint64_t points = 0;
        std::set<Item> items;
        std::set<Common::ShardId> missing;
        for (const Model::Shard& shard : plan.shards) {
            auto it = answers.find(shard.id);
            if (it == answers.end()) {
                missing.insert(shard.id);
                continue;
            }
            points += shard.range.size();
            items.insert(it->second.begin(), it->second.end());
        }
        double coverage = static_cast<double>(points) / static_cast<double>(keySpaceSize);
        ASSERT_EQ(answer.coverage.value(), coverage);
        ASSERT_EQ(answer.complete, points == keySpaceSize);
        ASSERT_EQ(answer.snapshot, plan.version);
        ASSERT_EQ(answer.refusal.has_value(), points == 0 || coverage < options.minimumCoverage.value());
        std::vector<Item> results(items.begin(), items.end());
        ASSERT_EQ(answer.results, answer.refusal ? std::vector<Item>() : results);
        ASSERT_EQ(answer.missing.size(), missing.size());
        for (const MissingPart& part : answer.missing)
            ASSERT_TRUE(missing.contains(part.shard) && !part.detail.empty());
    }
};

class Schedule {
public:
    explicit Schedule(uint64_t seed)
        : m_random(seed)
        , m_plan(randomPlan(m_random))
        , m_reference { m_plan, {}, {} }
        , m_failureRate(m_random.chance(0.3) ? 0 : m_random.unit() * 0.4)
    {
        m_options.deadline = TimePoint(Milliseconds(60 + m_random.unit() * 60));
        m_options.minimumCoverage = Common::Ratio(m_random.chance(0.2) ? m_random.unit() : 0);
        m_options.maximumAttempts = 1 + static_cast<int>(m_random.below(4));
        m_options.mayRetry = m_random.chance(0.9);
    }

    Answer run()
    {
        m_query = makeQuery(m_plan, m_options);
        carryOut(start(m_query, m_now, Milliseconds(1 + m_random.unit() * 20)));
        while (!m_events.empty() && !testing::Test::HasFatalFailure()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            carryOut(deliver(event));
        }
        EXPECT_EQ(m_finishes, 1);
        EXPECT_LE(m_finishedAt, m_options.deadline - m_options.returnMargin);
        EXPECT_TRUE(m_running.empty()) << "an attempt was neither ended nor cancelled";
        m_reference.check(m_answer, m_options);
        return m_answer;
    }

private:
    void push(double delay, Event event)
    {
        event.when = m_now + Milliseconds(delay);
        event.order = m_order++;
        m_events.push(std::move(event));
    }

    double randomDelay() { return m_random.chance(0.1) ? m_random.unit() * 150 : m_random.unit() * 10; }

    Effects deliver(Event& event)
    {
        AttemptId id = event.attempt.id;
        bool wanted = m_wanted.contains(id.value());
        switch (event.kind) {
        case Event::Kind::Started:
            return startedEffects(event);
        case Event::Kind::NotStarted:
            m_wanted.erase(id.value());
            return attemptNotStarted(m_query, id, randomError(), m_now);
        case Event::Kind::Failed:
        case Event::Kind::Answer:
            // A cancelled attempt may still report; the reference ignores it.
            if (wanted && !m_finishes)
                m_reference.report(event);
            m_wanted.erase(id.value());
            m_running.erase(id.value());
            if (event.kind == Event::Kind::Failed)
                return failureEffects(event.attempt, wanted);
            return subAnswer(m_query, id, event.version, event.shard, event.range, event.items, m_now);
        case Event::Kind::Wake:
            return wake(m_query, m_now);
        }
        return {};
    }

    Effects startedEffects(const Event& event)
    {
        const StartAttempt& attempt = event.attempt;
        Common::BackendServerId server("s" + std::to_string(attempt.id.value()));
        Common::FailureDomain domain(server.value());
        Effects effects = attemptStarted(m_query, attempt.id, server, domain, m_now);
        if (!effects.empty() && std::holds_alternative<CancelAttempt>(effects.front()))
            return effects;
        EXPECT_TRUE(m_wanted.contains(attempt.id.value())) << "a cancelled attempt was started";
        m_running.insert(attempt.id.value());
        m_used[attempt.shard].insert(server);
        bool hedge = attempt.purpose == Purpose::Hedge;
        EXPECT_TRUE(!hedge || m_hedged.insert(attempt.shard).second) << "two hedges of a shard";
        answerLater(attempt);
        return effects;
    }

    void answerLater(const StartAttempt& attempt)
    {
        if (m_random.chance(m_failureRate * 0.3))
            return; // Lost without an answer.
        Event event { .kind = Event::Kind::Answer, .attempt = attempt, .version = m_plan.version };
        event.shard = attempt.shard;
        event.range = attempt.range;
        if (m_random.chance(m_failureRate))
            corrupt(event);
        event.items = itemsOf(event.version, event.range);
        push(randomDelay(), event);
        if (m_random.chance(0.1))
            push(randomDelay() + 10, event); // A duplicate.
    }

    void corrupt(Event& event)
    {
        switch (m_random.below(4)) {
        case 0:
            event.kind = Event::Kind::Failed;
            break;
        case 1:
            event.version = Common::IndexVersion(3 - event.version.value());
            break;
        case 2:
            event.shard = Common::ShardId(event.shard.value() + 1);
            break;
        default:
            event.range.end -= event.range.size() / 2 + 1;
        }
    }

    Common::Error randomError()
    {
        bool final = m_random.chance(0.3);
        return Common::makeError(final ? Common::Reason::Unavailable : Common::Reason::Overloaded, "send", "none");
    }

    Effects failureEffects(const StartAttempt& attempt, bool wanted)
    {
        bool shed = m_random.chance(0.5);
        if (shed && wanted)
            m_used[attempt.shard].erase(Common::BackendServerId("s" + std::to_string(attempt.id.value())));
        auto reason = shed ? Common::Reason::Refused : Common::Reason::ConnectionLost;
        return attemptFailed(m_query, attempt.id, Common::makeError(reason, "read", "none"), m_now);
    }

    void carryOut(const Effects& effects)
    {
        for (const Effect& effect : effects) {
            EXPECT_TRUE(!m_finishes || std::holds_alternative<CancelAttempt>(effect)) << "an effect after the answer";
            if (auto* attempt = std::get_if<StartAttempt>(&effect)) {
                EXPECT_TRUE(m_wanted.insert(attempt->id.value()).second) << "an attempt id was used twice";
                std::set<Common::BackendServerId> avoided(attempt->avoidServers.begin(), attempt->avoidServers.end());
                EXPECT_EQ(avoided, m_used[attempt->shard]);
                bool denied = m_random.chance(m_failureRate * (attempt->purpose == Purpose::First ? 0.1 : 1));
                auto kind = denied ? Event::Kind::NotStarted : Event::Kind::Started;
                push(m_random.chance(0.8) ? 0 : m_random.unit() * 40, { .kind = kind, .attempt = *attempt });
            } else if (auto* cancel = std::get_if<CancelAttempt>(&effect)) {
                m_wanted.erase(cancel->id.value());
                m_running.erase(cancel->id.value());
            } else if (auto* timer = std::get_if<WakeAt>(&effect)) {
                push((timer->when - m_now).value(), {});
            } else {
                ++m_finishes;
                m_finishedAt = m_now;
                m_answer = std::get<Finish>(effect).answer;
            }
        }
    }

    Random m_random;
    Plan m_plan;
    ReferenceGatherer m_reference;
    double m_failureRate;
    QueryOptions m_options;
    Query m_query;
    TimePoint m_now;
    std::priority_queue<Event> m_events;
    uint64_t m_order { 0 };
    std::set<uint64_t> m_wanted; // Requested, not ended, not cancelled.
    std::set<uint64_t> m_running; // Those of m_wanted that were sent.
    std::set<Common::ShardId> m_hedged;
    std::map<Common::ShardId, std::set<Common::BackendServerId>> m_used; // Without servers that refused.
    int m_finishes { 0 };
    TimePoint m_finishedAt;
    Answer m_answer;
};

uint64_t requestedRuns()
{
    const char* text = std::getenv("CORIANDERLOCK_RUNS");
    return text ? std::strtoull(text, nullptr, 10) : defaultRuns;
}

} // namespace

TEST(GatherDifferential, AgreesWithTheReference)
{
    uint64_t runs = requestedRuns();
    uint64_t complete = 0;
    uint64_t refused = 0;
    auto began = std::chrono::steady_clock::now();
    for (uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Answer answer = Schedule(seed).run();
        complete += answer.complete ? 1 : 0;
        refused += answer.refusal ? 1 : 0;
        if (HasFailure())
            return;
    }
    std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::printf("differential: %llu queries, seeds from %llu, %llu complete, %llu refused, %.1f s\n",
        static_cast<unsigned long long>(runs), static_cast<unsigned long long>(firstSeed),
        static_cast<unsigned long long>(complete), static_cast<unsigned long long>(refused), took.count());
}
