#include "Daemon/StopPlan.h"

#include <algorithm>

using Common::Milliseconds;
using Common::TimePoint;

namespace Daemon {

namespace {

    // For ending the open calls and for writing the last answers, on a machine that has a fraction of a core.
    constexpr Milliseconds answerTime { 150 };
    constexpr Milliseconds writeTime { 250 };
    // For ending the process after that.
    constexpr Milliseconds exitTime { 250 };
    // Share of a short grace period that these may use together.
    constexpr double largestShare = 0.25;

} // namespace

StopPlan planStop(const Settings::Stop& stop, TimePoint requested)
{
    double scale = std::min(1.0, stop.grace.value() * largestShare / (answerTime + writeTime + exitTime).value());
    StopPlan plan;
    plan.writeBy = requested + stop.grace - exitTime * scale;
    plan.answerBy = plan.writeBy - (writeTime + answerTime) * scale;
    plan.serveUntil = std::min(requested + stop.balancerWait, plan.answerBy);
    if (stop.finishTimeout)
        plan.answerBy = std::min(plan.answerBy, plan.serveUntil + *stop.finishTimeout);
    plan.abortAt = plan.answerBy + answerTime * scale;
    return plan;
}

} // namespace Daemon
