#include "Load/Schedule.h"

#include "Common/Random.h"

#include <cmath>

namespace Load {

namespace {

    constexpr double millisecondsPerSecond = 1000;

} // namespace

std::vector<Arrival> schedule(const Options& options)
{
    std::vector<Arrival> arrivals;
    if (options.entries.empty() || options.queries.empty() || options.ratePerSecond <= 0)
        return arrivals;
    Common::Random random(options.seed);
    const std::string prefix = options.requestIdPrefix + '-' + std::to_string(options.seed) + '-';
    Common::Milliseconds at;
    while (true) {
        at += Common::Milliseconds(-std::log1p(-random.unit()) * millisecondsPerSecond / options.ratePerSecond);
        if (at >= options.duration)
            return arrivals;
        const size_t n = arrivals.size();
        arrivals.push_back({ at, random.below(options.queries.size()), n % options.entries.size(),
            Common::RequestId(prefix + std::to_string(n)) });
    }
}

} // namespace Load
