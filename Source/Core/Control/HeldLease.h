#pragma once

#include "Common/Clock.h"

namespace Control {

// Tolerated relative difference between the clock rates of two machines: 5 %, far above the drift of a quartz clock.
inline constexpr double clockDriftMargin = 0.05;

// The holder's view of its lease. The duration counts from when the renewal was sent and is shortened by the margin for
// clock drift, so the lease expires here before it expires at the leader.
struct HeldLease {
    Common::TimePoint until;
    bool released { false };
};

// Extends the lease by a granted renewal that was sent at `sentAt`. Replies may arrive in any order.
void extendLease(HeldLease&, Common::TimePoint sentAt, Common::Milliseconds duration);
// Gives up the lease for good, on a planned stop or when the leader refuses to renew it.
void releaseLease(HeldLease&);
bool isLeaseValid(const HeldLease&, Common::TimePoint now);

} // namespace Control
