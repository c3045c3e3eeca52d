#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Random.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Routing {

// A replica that may serve a sub-request, as this instance observes it. Copied out of the state under its lock.
struct Candidate {
    Common::BackendServerId server;
    Common::FailureDomain domain;
    int64_t inFlight { 0 };
    double limit { 1 }; // As in Limits::ServerLoad; below 1 it is a duty cycle.
    Common::Milliseconds latency; // Estimate; 0 if unknown.
    bool cold { false };
    bool paused { false }; // After sheds or failures, or between two paced requests.
};

// What earlier attempts at the same sub-request have used.
struct Exclusions {
    std::vector<Common::BackendServerId> servers;
    std::vector<Common::FailureDomain> domains;
};

// Indexes of the candidates that may be tried, best first. Avoided servers are left out; avoided failure domains,
// full and paused servers come last. Between others the expected time to an answer decides, with some randomness so
// that instances which see the same do not all choose the same.
std::vector<size_t> rank(const std::vector<Candidate>&, const Exclusions&, Common::Random&);

} // namespace Routing
