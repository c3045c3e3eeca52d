#pragma once

#include "Common/Ids.h"

#include <map>
#include <vector>

namespace Control {

// An instance with its network address.
struct LiveInstance {
    Common::InstanceId id;
    Common::Incarnation incarnation;
    Common::Address address;
    Common::FailureDomain domain;

    friend bool operator==(const LiveInstance&, const LiveInstance&) = default;
};

// An incarnation whose lease has ended.
struct EndedLease {
    Common::InstanceId id;
    Common::Incarnation incarnation;

    friend bool operator==(const EndedLease&, const EndedLease&) = default;
};

// The instances that may hold a lease, as recorded in the configuration log. An instance joins before its first lease
// is granted and leaves after its last one has ended, so a new leader knows all leases that earlier leaders may have
// granted.
using LeaseHolders = std::map<Common::InstanceId, LiveInstance>;

// A command of the configuration log.
struct HolderChange {
    std::vector<LiveInstance> joined;
    std::vector<EndedLease> left;

    friend bool operator==(const HolderChange&, const HolderChange&) = default;
};

// An older incarnation neither replaces nor removes a newer one.
void applyChange(LeaseHolders&, const HolderChange&);

} // namespace Control
