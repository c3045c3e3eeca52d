#include "Control/HeldLease.h"

#include <algorithm>

namespace Control {

void extendLease(HeldLease& held, Common::TimePoint sentAt, Common::Milliseconds duration)
{
    held.until = std::max(held.until, sentAt + duration * (1 - clockDriftMargin));
}

void releaseLease(HeldLease& held) { held.released = true; }

bool isLeaseValid(const HeldLease& held, Common::TimePoint now) { return !held.released && now < held.until; }

} // namespace Control
