#include "Gather/Query.h"

#include <gtest/gtest.h>

#include <ctime>
#include <malloc.h>

using Common::Milliseconds;
using Common::TimePoint;
using namespace Gather;

namespace {

constexpr Common::IndexVersion version { 1 };

Plan planOf(uint64_t n)
{
    Plan plan { version, {} };
    uint64_t step = Common::keySpaceSize / n;
    for (uint64_t i = 0; i < n; ++i)
        plan.shards.push_back({ Common::ShardId(static_cast<uint32_t>(i)),
            { step * i, i + 1 == n ? Common::keySpaceSize : step * (i + 1) } });
    return plan;
}

double processorMicroseconds() { return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC; }

size_t heapBytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

Query startAll(const Plan& plan, Effects& effects)
{
    Query query = makeQuery(plan, { .deadline = TimePoint(Milliseconds(1000)) });
    effects = start(query, TimePoint(), Milliseconds(10));
    Common::BackendServerId server("10.0.0.17:7001");
    Common::FailureDomain domain("kozep-a");
    for (const Effect& effect : effects)
        if (auto* attempt = std::get_if<StartAttempt>(&effect))
            attemptStarted(query, attempt->id, server, domain, TimePoint());
    return query;
}

bool answerAll(Query& query, const Effects& effects)
{
    Effects last;
    for (const Effect& effect : effects)
        if (auto* attempt = std::get_if<StartAttempt>(&effect))
            last = subAnswer(query, attempt->id, version, attempt->shard, attempt->range,
                { { "household-17", "gate 4" } }, TimePoint(Milliseconds(2)));
    return !last.empty() && std::get<Finish>(last.front()).answer.complete;
}

} // namespace

TEST(GatherCost, GrowsWithTheShards)
{
    for (uint64_t shards : { 10, 100, 1000 }) {
        Plan plan = planOf(shards);
        uint64_t rounds = 200'000 / shards;
        size_t before = heapBytes();
        Effects effects;
        Query kept = startAll(plan, effects);
        effects = {};
        double bytes = static_cast<double>(heapBytes() - before + sizeof(Query));
        double startedAt = processorMicroseconds();
        for (uint64_t i = 0; i < rounds; ++i) {
            Query query = startAll(plan, effects);
            ASSERT_TRUE(answerAll(query, effects));
        }
        double each = (processorMicroseconds() - startedAt) / static_cast<double>(rounds);
        std::printf("cost: %4d shards, %9.1f us a query, %6.3f us a shard, %8.0f bytes of state\n",
            static_cast<int>(shards), each, each / static_cast<double>(shards), bytes);
        EXPECT_FALSE(kept.finished);
    }
}
