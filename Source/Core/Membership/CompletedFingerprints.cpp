#include "Membership/CompletedFingerprints.h"

#include <utility>

namespace Membership {

void addCompleted(CompletedFingerprints& completed, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    if (now - completed.rotatedAt >= completedRetention || completed.current.size() >= maximumCompletedPerSet) {
        completed.previous = std::exchange(completed.current, {});
        completed.rotatedAt = now;
    }
    completed.current.insert(fingerprint);
}

bool hasCompleted(const CompletedFingerprints& completed, Common::Fingerprint fingerprint)
{
    return completed.current.count(fingerprint) || completed.previous.count(fingerprint);
}

} // namespace Membership
