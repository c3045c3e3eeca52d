#include "Limits/LoadShedder.h"

#include <algorithm>

namespace Limits {

namespace {

    constexpr double averageWindow = 7; // Answers.
    constexpr double muchLate = 0.3;
    constexpr double littleLate = 0.15;
    constexpr double lowered = 0.03; // An answer while much is late.
    constexpr double raised = 0.04; // An answer while little is.
    // Lateness has other causes than load, and then refusing does not help: so much is always taken on.
    constexpr double leastAdmitted = 0.6;

} // namespace

void recordAnswer(LoadShedder& shedder, bool isLate)
{
    shedder.lateShare += ((isLate ? 1 : 0) - shedder.lateShare) / averageWindow;
    if (shedder.lateShare > muchLate)
        shedder.admitted = std::max(leastAdmitted, shedder.admitted - lowered);
    else if (shedder.lateShare < littleLate)
        shedder.admitted = std::min(1.0, shedder.admitted + raised);
}

bool shouldAdmit(const LoadShedder& shedder, double chance) { return chance < shedder.admitted; }

} // namespace Limits
