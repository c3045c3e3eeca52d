#include "Control/HeldLease.h"

#include <algorithm>

namespace Control {

void holdLease(HeldLease& held, Common::TimePoint sentAt, Common::Milliseconds duration)
{
    held.until = std::max(held.until, sentAt + duration * (1 - leaseDriftShare));
}

void dropLease(HeldLease& held) { held.released = true; }

bool mayTakeWork(const HeldLease& held, Common::TimePoint now) { return !held.released && now < held.until; }

} // namespace Control
