#include "StandIn/Faults.h"

namespace StandIn {

FaultDecision decideFaults(const Faults& faults, Common::Milliseconds service, std::string_view text,
    Common::Milliseconds sinceColdStart, Common::Random& random)
{
    // Always draws the same number of random values, so that changing one fault doesn't change the decisions about
    // others with the same seed.
    const bool slow = random.chance(faults.slowFraction.value());
    FaultDecision decision;
    decision.shed = random.chance(faults.shedFraction.value());
    decision.drop = random.chance(faults.dropFraction.value());
    decision.crash = !faults.crashOn.empty() && text.find(faults.crashOn) != std::string_view::npos;
    decision.duration = service + faults.delay;
    if (slow)
        decision.duration = decision.duration * faults.slowFactor;
    if (sinceColdStart < faults.cold)
        decision.duration = decision.duration * faults.coldFactor;
    return decision;
}

} // namespace StandIn
