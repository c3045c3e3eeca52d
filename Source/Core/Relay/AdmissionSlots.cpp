#include "Relay/AdmissionSlots.h"

#include <algorithm>

namespace Relay {

namespace {

    constexpr double millisecondsPerSecond = 1'000;
    // Keeps the estimate finite where every server is cold and the requests take no time.
    constexpr double minimumSlots = 0.01;

} // namespace

double admissionSlots(const std::vector<Roster::EligibleServer>& servers, Common::Connections limit,
    Common::RequestRate warmupRate, Common::Milliseconds service, Common::TimePoint now)
{
    auto connections = static_cast<double>(limit.value());
    double coldSlots = std::min(connections, warmupRate.value() * service.value() / millisecondsPerSecond);
    bool hasColdRate = warmupRate > Common::RequestRate(0) && service > Common::Milliseconds(0);
    double slots = 0;
    for (const Roster::EligibleServer& server : servers)
        slots += hasColdRate && server.warmAt > now ? coldSlots : connections;
    return servers.empty() ? 1 : std::max(slots, minimumSlots);
}

} // namespace Relay
