#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"
#include "Observe/MetricNames.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Observe {

// The metrics of one process. Any thread may call any member at any time. Counters and histograms are kept in
// shards by thread, so that threads do not wait for each other; text() adds them up.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(Counter, std::string_view label = {}, uint64_t n = 1);
    void set(Gauge, double value, std::string_view label = {});
    void change(Gauge, double difference, std::string_view label = {});
    // Forgets the gauge of a label that no longer exists, such as a backend server that is gone.
    void remove(Gauge, std::string_view label);
    void observe(Latency, Common::Milliseconds, std::string_view label = {});
    void observe(Share, Common::Ratio, std::string_view label = {});

    // The sum over all threads so far.
    uint64_t value(Counter, std::string_view label = {}) const;
    double value(Gauge, std::string_view label = {}) const;
    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Observe
