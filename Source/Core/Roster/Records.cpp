#include "Roster/Records.h"

#include <algorithm>

namespace Roster {

namespace {

    // Clocks and delays of messages differ by less. A later end is reported at once, so that a cold server is not taken
    // for a warm one.
    constexpr Common::Milliseconds smallestDelay { 50 };
    // Heartbeats arrive this late if the server pauses, so an earlier end is reported only if it is more than that.
    constexpr Common::Milliseconds maximumDelay { 500 };

} // namespace

bool isWarmAtChanged(Common::TimePoint known, Common::TimePoint reported, Common::TimePoint now)
{
    auto left = [&](Common::TimePoint warmAt) { return std::max(warmAt - now, Common::Milliseconds(0)); };
    return left(reported) > left(known) + smallestDelay || left(reported) + maximumDelay < left(known);
}

KnownStart later(const KnownStart& a, const KnownStart& b)
{
    auto latest = std::max(a.latest, b.latest);
    bool isLeaving = (a.isLeaving && a.latest == latest) || (b.isLeaving && b.latest == latest);
    return { latest, std::max(a.heard, b.heard), isLeaving };
}

bool isOfStart(const Report& report) { return report.status != ServerStatus::Leaving || report.sequence; }

const char* statusName(ServerStatus status)
{
    switch (status) {
    case ServerStatus::Serving:
        return "serving";
    case ServerStatus::Leaving:
        return "leaving";
    case ServerStatus::Lost:
        return "lost";
    }
    return "";
}

} // namespace Roster
