#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Random.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Routing {

// A replica that may serve a sub-request, as observed by this instance. A copy: the state that it is taken from is
// locked.
struct Candidate {
    Common::BackendServerId server;
    Common::FailureDomain domain;
    int64_t inFlight { 0 };
    double limit { 1 }; // Concurrent requests, as in Limits::ServerLoad. Below 1 it is a duty cycle.
    Common::Milliseconds latency; // Estimate; 0 if unknown.
    bool cold { false };
    bool paused { false }; // Backing off after sheds or failures, or waiting between two paced requests.
};

// Servers and failure domains that earlier attempts at the same sub-request used.
struct Exclusions {
    std::vector<Common::BackendServerId> servers;
    std::vector<Common::FailureDomain> domains;
};

// Returns the indexes of the candidates that may be tried, best first. Excluded servers are left out. Excluded failure
// domains, servers at their limit and paused servers come last. The others are ordered by expected latency with random
// jitter, so that instances with the same view do not all choose the same server.
std::vector<size_t> rank(const std::vector<Candidate>&, const Exclusions&, Common::Random&);

} // namespace Routing
