#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"
#include "Roster/ServerView.h"

#include <vector>

namespace Relay {

// Concurrent requests that the servers of a group take from this instance, for the estimate of how long a new call
// waits. A cold server counts with the requests that its rate permits, not with its connections: after a failure domain
// comes back cold as a whole, calls would be admitted that no server may get in time.
double admissionSlots(const std::vector<Roster::EligibleServer>&, Common::Connections limit,
    Common::RequestRate warmupRate, Common::Milliseconds service, Common::TimePoint now);

} // namespace Relay
