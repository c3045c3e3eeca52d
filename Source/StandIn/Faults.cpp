#include "StandIn/Faults.h"

namespace StandIn {

Treatment treat(const Faults& faults, Common::Milliseconds service, std::string_view text, Common::Milliseconds warmFor,
    Common::Random& random)
{
    // Each number is drawn whatever the faults are, so that a fault changes no other decision of the same seed.
    const bool slow = random.chance(faults.slowFraction.value());
    Treatment treatment;
    treatment.shed = random.chance(faults.shedFraction.value());
    treatment.drop = random.chance(faults.dropFraction.value());
    treatment.crash = !faults.crashOn.empty() && text.find(faults.crashOn) != std::string_view::npos;
    treatment.duration = service + faults.delay;
    if (slow)
        treatment.duration = treatment.duration * faults.slowFactor;
    if (warmFor < faults.cold)
        treatment.duration = treatment.duration * faults.coldFactor;
    return treatment;
}

} // namespace StandIn
