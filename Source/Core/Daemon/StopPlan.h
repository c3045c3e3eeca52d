#pragma once

#include "Common/Clock.h"
#include "Settings/Settings.h"

namespace Daemon {

// The steps of a graceful stop, in ascending order. All are within the grace period.
struct StopPlan {
    Common::TimePoint serveUntil; // New connections are accepted until then.
    Common::TimePoint answerBy; // Calls that are still open then are answered with what is known of them.
    Common::TimePoint abortAt; // Requests that still have no answer then get an error.
    Common::TimePoint writeBy; // Connections on which an answer is still being written then are closed.
};

// For a stop that was requested at this time.
StopPlan planStop(const Settings::Stop&, Common::TimePoint requested);

} // namespace Daemon
