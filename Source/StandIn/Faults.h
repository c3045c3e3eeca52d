#pragma once

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Common/Units.h"

#include <string>
#include <string_view>

namespace StandIn {

// Injected faults of a server. See docs/BACKEND-PROTOCOL.md.
struct Faults {
    Common::Milliseconds delay;
    Common::Ratio slowFraction;
    double slowFactor { 50 };
    Common::Ratio dropFraction;
    Common::Ratio shedFraction;
    bool mute { false };
    std::string crashOn;
    Common::Milliseconds cold;
    double coldFactor { 10 };
    bool draining { false };
    Common::Milliseconds healthLag;
    bool mislead { false };
};

// The faults that are applied to one request.
struct FaultDecision {
    bool shed { false };
    bool crash { false };
    bool drop { false };
    Common::Milliseconds duration;
};

// Searches `text` for crashOn. `sinceColdStart` is the time since the last cold start.
FaultDecision decideFaults(const Faults&, Common::Milliseconds service, std::string_view text,
    Common::Milliseconds sinceColdStart, Common::Random&);

} // namespace StandIn
