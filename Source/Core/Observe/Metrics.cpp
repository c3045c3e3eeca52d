#include "Observe/Metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <unordered_map>
#include <vector>

namespace Observe {

namespace {

    constexpr size_t shardCount = 16;

    constexpr std::array latencyBounds { 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 10.0, 15.0, 20.0, 30.0, 50.0, 75.0, 100.0, 150.0,
        200.0, 300.0, 500.0, 750.0, 1'000.0, 2'000.0, 5'000.0, 10'000.0, 30'000.0, 60'000.0 };
    constexpr std::array shareBounds { 0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999, 1.0 };

    struct LabelHash {
        using is_transparent = void;
        size_t operator()(std::string_view label) const { return std::hash<std::string_view> {}(label); }
    };
    template <typename Value> using ByLabel = std::unordered_map<std::string, Value, LabelHash, std::equal_to<>>;

    // The value of a label, default-constructed if absent. The lookup does not copy the label.
    template <typename Value> Value& valueOf(ByLabel<Value>& values, std::string_view label)
    {
        auto it = values.find(label);
        if (it == values.end())
            it = values.emplace(label, Value {}).first;
        return it->second;
    }

    template <size_t BoundCount> struct HistogramCells {
        std::array<uint64_t, BoundCount + 1> counts {}; // The last bucket holds values above all bounds.
        double sum { 0 };

        void add(const std::array<double, BoundCount>& bounds, double value)
        {
            auto it = std::lower_bound(bounds.begin(), bounds.end(), value);
            ++counts[static_cast<size_t>(it - bounds.begin())];
            sum += value;
        }

        void add(const HistogramCells& other)
        {
            for (size_t i = 0; i < counts.size(); ++i)
                counts[i] += other.counts[i];
            sum += other.sum;
        }
    };
    using LatencyCells = HistogramCells<latencyBounds.size()>;
    using ShareCells = HistogramCells<shareBounds.size()>;

    template <typename Enum, typename Value> using Table = std::array<ByLabel<Value>, static_cast<size_t>(Enum::Count)>;

    struct Shard {
        std::mutex mutex;
        Table<Counter, uint64_t> counters;
        Table<Latency, LatencyCells> latencies;
        Table<Share, ShareCells> shares;
    };

    struct GaugeShard {
        std::mutex mutex;
        Table<Gauge, double> values;
    };

    // Threads are numbered in the order of their first call, so that the first shardCount threads share no shard.
    size_t shardOfThisThread()
    {
        static std::atomic<size_t> threads { 0 };
        thread_local const size_t shard = threads.fetch_add(1, std::memory_order_relaxed) % shardCount;
        return shard;
    }

    void addSums(std::map<std::string, uint64_t>& sums, const ByLabel<uint64_t>& values)
    {
        for (const auto& [label, n] : values)
            sums[label] += n;
    }

    template <typename Cells> void addSums(std::map<std::string, Cells>& sums, const ByLabel<Cells>& values)
    {
        for (const auto& [label, cells] : values)
            sums[label].add(cells);
    }

    prometheus::MetricFamily makeFamily(const MetricText& text, prometheus::MetricType type)
    {
        return { text.name, text.help, type, {} };
    }

    prometheus::ClientMetric& addMetric(
        prometheus::MetricFamily& family, const MetricText& text, const std::string& label)
    {
        auto& metric = family.metric.emplace_back();
        if (*text.label)
            metric.label.push_back({ text.label, label });
        return metric;
    }

    template <size_t BoundCount>
    void fillHistogram(prometheus::ClientMetric& metric, const std::array<double, BoundCount>& bounds,
        const HistogramCells<BoundCount>& cells)
    {
        uint64_t n = 0;
        for (size_t i = 0; i < cells.counts.size(); ++i) {
            n += cells.counts[i];
            double bound = i < BoundCount ? bounds[i] : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back({ n, bound });
        }
        metric.histogram.sample_count = n;
        metric.histogram.sample_sum = cells.sum;
    }

} // namespace

struct Metrics::Private {
    std::array<Shard, shardCount> shards;
    std::array<GaugeShard, shardCount> gauges;

    Shard& shard() { return shards[shardOfThisThread()]; }
    GaugeShard& gaugeShard(std::string_view label) { return gauges[LabelHash {}(label) % shardCount]; }

    void addCounters(std::vector<prometheus::MetricFamily>&);
    void addGauges(std::vector<prometheus::MetricFamily>&);
    template <typename Enum, typename Cells, size_t BoundCount>
    void addHistograms(std::vector<prometheus::MetricFamily>&, Table<Enum, Cells> Shard::*,
        const std::array<double, BoundCount>& bounds);
};

void Metrics::Private::addCounters(std::vector<prometheus::MetricFamily>& families)
{
    for (size_t i = 0; i < static_cast<size_t>(Counter::Count); ++i) {
        std::map<std::string, uint64_t> sums;
        for (Shard& shard : shards) {
            std::lock_guard lock(shard.mutex);
            addSums(sums, shard.counters[i]);
        }
        const MetricText& text = textOf(static_cast<Counter>(i));
        auto family = makeFamily(text, prometheus::MetricType::Counter);
        for (const auto& [label, n] : sums)
            addMetric(family, text, label).counter.value = static_cast<double>(n);
        families.push_back(std::move(family));
    }
}

void Metrics::Private::addGauges(std::vector<prometheus::MetricFamily>& families)
{
    for (size_t i = 0; i < static_cast<size_t>(Gauge::Count); ++i) {
        const MetricText& text = textOf(static_cast<Gauge>(i));
        auto family = makeFamily(text, prometheus::MetricType::Gauge);
        for (GaugeShard& shard : gauges) {
            std::lock_guard lock(shard.mutex);
            for (const auto& [label, value] : shard.values[i])
                addMetric(family, text, label).gauge.value = value;
        }
        families.push_back(std::move(family));
    }
}

template <typename Enum, typename Cells, size_t BoundCount>
void Metrics::Private::addHistograms(std::vector<prometheus::MetricFamily>& families, Table<Enum, Cells> Shard::*table,
    const std::array<double, BoundCount>& bounds)
{
    for (size_t i = 0; i < static_cast<size_t>(Enum::Count); ++i) {
        std::map<std::string, Cells> sums;
        for (Shard& shard : shards) {
            std::lock_guard lock(shard.mutex);
            addSums(sums, (shard.*table)[i]);
        }
        const MetricText& text = textOf(static_cast<Enum>(i));
        auto family = makeFamily(text, prometheus::MetricType::Histogram);
        for (const auto& [label, cells] : sums)
            fillHistogram(addMetric(family, text, label), bounds, cells);
        families.push_back(std::move(family));
    }
}

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::string_view label, uint64_t n)
{
    Shard& shard = m_private->shard();
    std::lock_guard lock(shard.mutex);
    valueOf(shard.counters[static_cast<size_t>(counter)], label) += n;
}

void Metrics::set(Gauge gauge, double value, std::string_view label)
{
    GaugeShard& shard = m_private->gaugeShard(label);
    std::lock_guard lock(shard.mutex);
    valueOf(shard.values[static_cast<size_t>(gauge)], label) = value;
}

void Metrics::change(Gauge gauge, double difference, std::string_view label)
{
    GaugeShard& shard = m_private->gaugeShard(label);
    std::lock_guard lock(shard.mutex);
    valueOf(shard.values[static_cast<size_t>(gauge)], label) += difference;
}

void Metrics::remove(Gauge gauge, std::string_view label)
{
    GaugeShard& shard = m_private->gaugeShard(label);
    std::lock_guard lock(shard.mutex);
    auto& values = shard.values[static_cast<size_t>(gauge)];
    if (auto it = values.find(label); it != values.end())
        values.erase(it);
}

void Metrics::observe(Latency latency, Common::Milliseconds duration, std::string_view label)
{
    Shard& shard = m_private->shard();
    std::lock_guard lock(shard.mutex);
    valueOf(shard.latencies[static_cast<size_t>(latency)], label).add(latencyBounds, duration.value());
}

void Metrics::observe(Share share, Common::Ratio ratio, std::string_view label)
{
    Shard& shard = m_private->shard();
    std::lock_guard lock(shard.mutex);
    valueOf(shard.shares[static_cast<size_t>(share)], label).add(shareBounds, ratio.value());
}

uint64_t Metrics::value(Counter counter, std::string_view label) const
{
    uint64_t n = 0;
    for (Shard& shard : m_private->shards) {
        std::lock_guard lock(shard.mutex);
        const auto& values = shard.counters[static_cast<size_t>(counter)];
        if (auto it = values.find(label); it != values.end())
            n += it->second;
    }
    return n;
}

double Metrics::value(Gauge gauge, std::string_view label) const
{
    GaugeShard& shard = m_private->gaugeShard(label);
    std::lock_guard lock(shard.mutex);
    const auto& values = shard.values[static_cast<size_t>(gauge)];
    auto it = values.find(label);
    return it == values.end() ? 0 : it->second;
}

std::string Metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    m_private->addCounters(families);
    m_private->addGauges(families);
    m_private->addHistograms<Latency>(families, &Shard::latencies, latencyBounds);
    m_private->addHistograms<Share>(families, &Shard::shares, shareBounds);
    std::erase_if(families, [](const auto& family) { return family.metric.empty(); });
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families);
    return out.str();
}

} // namespace Observe
