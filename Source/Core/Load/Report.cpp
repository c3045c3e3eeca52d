#include "Load/Report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Load {

namespace {

    constexpr double millisecondsPerSecond = 1000;

    Latency latencyOf(std::vector<Common::Milliseconds> times)
    {
        std::sort(times.begin(), times.end());
        return { quantile(times, 0.5), quantile(times, 0.9), quantile(times, 0.99), quantile(times, 0.999),
            times.empty() ? Common::Milliseconds() : times.back() };
    }

} // namespace

const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::RefusedByBackendServer:
        return "refused-by-backend-server";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Common::Milliseconds quantile(const std::vector<Common::Milliseconds>& sorted, double q)
{
    if (sorted.empty())
        return {};
    const auto n = static_cast<double>(sorted.size());
    const double rank = std::clamp(std::ceil(q * n), 1.0, n);
    return sorted[static_cast<size_t>(rank) - 1];
}

Common::Milliseconds longestGap(std::vector<Common::Milliseconds> times)
{
    std::sort(times.begin(), times.end());
    Common::Milliseconds last;
    Common::Milliseconds longest;
    for (const Common::Milliseconds at : times) {
        longest = std::max(longest, at - last);
        last = at;
    }
    return longest;
}

void addSamples(Report& report, const std::vector<Sample>& samples)
{
    std::vector<Common::Milliseconds> latencies;
    std::vector<Common::Milliseconds> ends;
    double coverage = 0;
    uint64_t complete = 0;
    for (const Sample& sample : samples) {
        ++report.byStatus[sample.status];
        ++report.byOutcome[sample.outcome];
        report.resends += sample.resends;
        if (!sample.reason.empty())
            ++report.byReason[sample.reason];
        if (sample.outcome != Outcome::Done)
            continue;
        latencies.push_back(sample.endedAt - sample.intendedAt);
        ends.push_back(sample.endedAt);
        coverage += sample.coverage.value();
        complete += sample.complete;
    }
    report.done = latencies.size();
    if (report.done) {
        const auto n = static_cast<double>(report.done);
        report.coverageMean = Common::Ratio(coverage / n);
        report.completeShare = Common::Ratio(static_cast<double>(complete) / n);
    }
    if (report.duration.value() > 0)
        report.goodput = static_cast<double>(report.done) * millisecondsPerSecond / report.duration.value();
    report.latency = latencyOf(std::move(latencies));
    report.longestGap = longestGap(std::move(ends));
}

std::string describe(const Report& it)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "scheduled " << it.scheduled << ", sent " << it.sent << ", not sent " << it.notSent << ", unfinished "
        << it.unfinished << ", done " << it.done << ", resends " << it.resends << '\n';
    out << "latency ms: p50 " << it.latency.p50 << ", p90 " << it.latency.p90 << ", p99 " << it.latency.p99
        << ", p99.9 " << it.latency.p999 << ", max " << it.latency.max << '\n';
    out << "goodput " << it.goodput << "/s, longest gap " << it.longestGap << " ms, latest send " << it.latestSend
        << " ms\n";
    out << std::setprecision(6) << "coverage mean " << it.coverageMean << ", complete " << it.completeShare << '\n';
    for (const auto& [status, n] : it.byStatus)
        out << "status " << status << ": " << n << '\n';
    for (const auto& [reason, n] : it.byReason)
        out << "reason " << reason << ": " << n << '\n';
    for (const auto& [outcome, n] : it.byOutcome)
        out << "ending " << outcomeName(outcome) << ": " << n << '\n';
    return out.str();
}

} // namespace Load
