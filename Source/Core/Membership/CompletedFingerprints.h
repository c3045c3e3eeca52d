#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <unordered_set>

namespace Membership {

// Fingerprints of requests that recently completed on every server they were sent to. A server loss while such a
// request is in flight was probably not caused by it. Two sets are rotated to bound the state and to drop old
// fingerprints.
struct CompletedFingerprints {
    std::unordered_set<Common::Fingerprint> current;
    std::unordered_set<Common::Fingerprint> previous;
    Common::TimePoint rotatedAt;
};

inline constexpr size_t maximumCompletedPerSet = 32'768;
inline constexpr Common::Milliseconds completedRetention { 300'000 }; // The minimum, unless a set is full earlier.

void addCompleted(CompletedFingerprints&, Common::Fingerprint, Common::TimePoint now);
bool hasCompleted(const CompletedFingerprints&, Common::Fingerprint);

} // namespace Membership
