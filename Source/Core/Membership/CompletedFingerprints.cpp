#include "Membership/CompletedFingerprints.h"

#include <utility>

namespace Membership {

void addCompleted(CompletedFingerprints& completed, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    if (now - completed.turnedAt >= completedFor || completed.newer.size() >= maximumCompleted) {
        completed.older = std::exchange(completed.newer, {});
        completed.turnedAt = now;
    }
    completed.newer.insert(fingerprint);
}

bool hasCompleted(const CompletedFingerprints& completed, Common::Fingerprint fingerprint)
{
    return completed.newer.count(fingerprint) || completed.older.count(fingerprint);
}

} // namespace Membership
