#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <unordered_set>

namespace Membership {

// Fingerprints that ran to their end lately on all servers that they touch: a loss with one of them in flight is not
// its doing, most likely. Two sets take turns, so that the state is bounded and old ones are forgotten.
struct CompletedFingerprints {
    std::unordered_set<Common::Fingerprint> newer;
    std::unordered_set<Common::Fingerprint> older;
    Common::TimePoint turnedAt;
};

inline constexpr size_t maximumCompleted = 32'768; // In each set.
inline constexpr Common::Milliseconds completedFor { 300'000 }; // At least, unless there are too many.

void addCompleted(CompletedFingerprints&, Common::Fingerprint, Common::TimePoint now);
bool hasCompleted(const CompletedFingerprints&, Common::Fingerprint);

} // namespace Membership
