#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"
#include "Observe/MetricNames.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Observe {

// The metrics of one process. Thread-safe. Counters and histograms are sharded by thread to avoid lock contention;
// text() sums the shards.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(Counter, std::string_view label = {}, uint64_t n = 1);
    void set(Gauge, double value, std::string_view label = {});
    void change(Gauge, double difference, std::string_view label = {});
    // Removes the gauge of a label that no longer exists, such as a backend server that was removed.
    void remove(Gauge, std::string_view label);
    void observe(Latency, Common::Milliseconds, std::string_view label = {});
    void observe(Share, Common::Ratio, std::string_view label = {});

    // The sum over all threads.
    uint64_t value(Counter, std::string_view label = {}) const;
    double value(Gauge, std::string_view label = {}) const;
    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Observe
