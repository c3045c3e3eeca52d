#pragma once

#include "Common/Clock.h"

#include <vector>

namespace Relay {

// How a request to a server ended, for the choice of later ones.
struct Outcome {
    enum class Kind {
        Answered,
        Failed, // The server ran it and failed.
        Shed, // The server had no room.
        Unreachable, // No connection, or it was lost.
        Misdirected, // Another server has the address.
        GivenUp, // By us; the time taken is a lower bound.
    };

    Kind kind { Kind::Answered };
    Common::Milliseconds took;
};

// One backend server as this instance observes it. Plain data: the caller keeps it under a lock.
struct Load {
    std::vector<Common::TimePoint> live; // When the requests under way were sent.
    Common::Milliseconds latency; // Moving average; 0 before the first answer.
    Common::Milliseconds usualLatency; // The same over a much longer time.
    int troubles { 0 }; // In a row.
    double troubleShare { 0 }; // Moving average: of the requests that ended, those that were shed or failed.
    Common::TimePoint pausedUntil;
    Common::TimePoint heardAt; // When the last request ended.
};

void begin(Load&, Common::TimePoint now);
void end(Load&, Common::TimePoint sentAt, const Outcome&, Common::TimePoint now);

// What a request sent now would take, as far as is known: a server that has not answered for long is expected to take
// as long again, and one that sheds or fails costs a second send. What exceeds the usual fades while nothing is sent,
// so that a server that was slow is tried again.
Common::Milliseconds expectedLatency(const Load&, Common::TimePoint now);

} // namespace Relay
