#pragma once

#include "Common/Clock.h"

namespace Control {

// Clocks of two machines may differ by this share in speed: 5 %, far more than quartz does.
inline constexpr double leaseDriftShare = 0.05;

// The instance's side of its lease. It holds from when the renewal was sent, less a margin for drift, so it ends here
// before the leader thinks so.
struct HeldLease {
    Common::TimePoint until;
    bool released { false };
};

// A renewal that was sent at `sentAt` was granted. Answers may come in any order.
void extendLease(HeldLease&, Common::TimePoint sentAt, Common::Milliseconds duration);
// A planned stop, or the leader refused to renew: no new work from now on.
void releaseLease(HeldLease&);
bool isLeaseValid(const HeldLease&, Common::TimePoint now);

} // namespace Control
