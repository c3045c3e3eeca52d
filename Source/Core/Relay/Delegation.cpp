#include "Relay/Delegation.h"

#include <algorithm>

namespace Relay {

using Common::Milliseconds;
using Common::TimePoint;
using State = BundleProgress::State;

namespace {

    // The first probe is due when this share of the objective has passed, so that this instance can still gather the
    // bundle in time, but not before a gatherer on a tenth of a core has had the time to answer.
    constexpr double firstProbeShare = 0.4;
    constexpr Milliseconds minimumFirstProbe { 25 };
    // The second one finds gatherers that stalled later.
    constexpr Milliseconds probeAfterObjective { 10 };
    constexpr int maximumProbes = 2;

    TimePoint probeDueAt(const BundleProgress& bundle, const Times& times)
    {
        if (bundle.probes)
            return times.objective + probeAfterObjective;
        return bundle.sentAt + std::max((times.objective - bundle.sentAt) * firstProbeShare, minimumFirstProbe);
    }

} // namespace

BundleCheck checkBundles(std::vector<BundleProgress>& bundles, const Times& times, TimePoint now)
{
    BundleCheck check;
    auto checkAt = [&](TimePoint when) { check.next = std::min(check.next.value_or(when), when); };
    for (size_t i = 0; i < bundles.size(); ++i) {
        BundleProgress& bundle = bundles[i];
        if (bundle.state == State::Probing)
            checkAt(now + minimumFirstProbe);
        if (bundle.state != State::Sent || bundle.probes >= maximumProbes)
            continue;
        if (now >= probeDueAt(bundle, times)) {
            check.probe.push_back(i);
            ++bundle.probes;
        }
        if (bundle.probes < maximumProbes)
            checkAt(std::max(probeDueAt(bundle, times), now + minimumFirstProbe));
    }
    return check;
}

} // namespace Relay
