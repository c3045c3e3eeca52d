#include "Limits/LoadShedder.h"

#include <algorithm>

namespace Limits {

namespace {

    constexpr double averageWindow = 7; // Answers.
    constexpr double overloadedLateShare = 0.3; // Above it the admitted share falls.
    constexpr double recoveredLateShare = 0.15; // Below it the admitted share rises.
    constexpr double decreasePerAnswer = 0.03;
    constexpr double increasePerAnswer = 0.04;
    // Answers are also late for other reasons than load, and shedding does not help then.
    constexpr double minimumAdmittedShare = 0.6;

} // namespace

void recordAnswer(LoadShedder& shedder, bool isLate)
{
    shedder.lateShare += ((isLate ? 1 : 0) - shedder.lateShare) / averageWindow;
    if (shedder.lateShare > overloadedLateShare)
        shedder.admittedShare = std::max(minimumAdmittedShare, shedder.admittedShare - decreasePerAnswer);
    else if (shedder.lateShare < recoveredLateShare)
        shedder.admittedShare = std::min(1.0, shedder.admittedShare + increasePerAnswer);
}

bool shouldAdmit(const LoadShedder& shedder, double chance) { return chance < shedder.admittedShare; }

} // namespace Limits
