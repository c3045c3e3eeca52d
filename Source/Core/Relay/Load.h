#pragma once

#include "Common/Clock.h"

#include <vector>

namespace Relay {

// How a request to a server ended. Used to rank servers.
struct Outcome {
    enum class Kind {
        Answered,
        Failed, // The server ran it and failed.
        Shed, // The server rejected it for lack of capacity.
        Unreachable, // No connection, or the connection was lost.
        Misdirected, // Another server has the address.
        Unusable, // The answer is malformed or belongs to another request.
        Cancelled, // Cancelled by this instance. The time taken is a lower bound.
    };

    Kind kind { Kind::Answered };
    Common::Milliseconds took;
};

// The load and latency of one backend server as observed by this instance. Plain data: the caller keeps it under a
// lock.
struct Load {
    std::vector<Common::TimePoint> inFlight; // Send times of the requests in flight.
    Common::Milliseconds latency; // Moving average; 0 before the first answer.
    Common::Milliseconds longTermLatency; // Moving average over a much longer time.
    int consecutiveFailures { 0 };
    double failureRate { 0 }; // Moving average: the share of ended requests that were shed or failed.
    Common::TimePoint pausedUntil;
    Common::TimePoint lastEndedAt;
};

void begin(Load&, Common::TimePoint now);
void end(Load&, Common::TimePoint sentAt, const Outcome&, Common::TimePoint now);

// Expected latency of a request sent now. A server that has been stalled for some time is expected to stay stalled for
// as long again. Sheds and failures add the cost of a second send. Latency above the long-term average decays while the
// server is idle, so that a server that was slow is tried again.
Common::Milliseconds expectedLatency(const Load&, Common::TimePoint now);

} // namespace Relay
