#include "Observe/Metrics.h"

#include <gtest/gtest.h>

#include <set>
#include <thread>
#include <vector>

using namespace Observe;

namespace {

template <typename Enum> void collectNames(std::set<std::string>& names)
{
    for (size_t i = 0; i < static_cast<size_t>(Enum::Count); ++i) {
        const MetricText& text = textOf(static_cast<Enum>(i));
        ASSERT_NE(text.name, nullptr);
        EXPECT_TRUE(names.insert(text.name).second) << text.name;
    }
}

} // namespace

TEST(Metrics, HaveUniqueNames)
{
    std::set<std::string> names;
    collectNames<Counter>(names);
    collectNames<Gauge>(names);
    collectNames<Latency>(names);
    collectNames<Share>(names);
}

// Threads that share a shard must not lose updates.
TEST(Metrics, LoseNoConcurrentUpdates)
{
    constexpr int threadCount = 20; // More than there are shards.
    constexpr int rounds = 5'000;
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < rounds; ++i) {
                metrics.count(Counter::Refusals, i % 2 ? "overloaded" : "unavailable");
                metrics.change(Gauge::InFlight, 1, "leaf-1");
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_EQ(metrics.value(Counter::Refusals, "overloaded"), static_cast<uint64_t>(threadCount * rounds / 2));
    EXPECT_EQ(metrics.value(Gauge::InFlight, "leaf-1"), threadCount * rounds);
}

// The Prometheus format needs cumulative buckets; a removed gauge is not exported.
TEST(Metrics, ExportCountersGaugesAndCumulativeBuckets)
{
    Metrics metrics;
    metrics.count(Counter::Refusals, "overloaded", 3);
    metrics.set(Gauge::RevisionInForce, 42);
    metrics.set(Gauge::Connections, 5, "leaf-1");
    metrics.remove(Gauge::Connections, "leaf-1");
    metrics.observe(Latency::Query, Common::Milliseconds(4), "free-slots");
    metrics.observe(Latency::Query, Common::Milliseconds(70'000), "free-slots");
    metrics.observe(Share::Coverage, Common::Ratio(1), "free-slots");

    std::string text = metrics.text();
    for (const char* line :
        { "corianderlock_refusals_total{reason=\"overloaded\"} 3", "corianderlock_revision_in_force 42",
            "corianderlock_query_milliseconds_bucket{route=\"free-slots\",le=\"5\"} 1",
            "corianderlock_query_milliseconds_bucket{route=\"free-slots\",le=\"60000\"} 1",
            "corianderlock_query_milliseconds_bucket{route=\"free-slots\",le=\"+Inf\"} 2",
            "corianderlock_coverage_ratio_bucket{route=\"free-slots\",le=\"0.9999\"} 0" })
        EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
    EXPECT_EQ(text.find("leaf-1"), std::string::npos);
}
