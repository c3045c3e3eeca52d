#pragma once

#include "Common/Ids.h"

#include <map>
#include <vector>

namespace Control {

// One of our processes, as others reach it.
struct LiveInstance {
    Common::InstanceId id;
    Common::Incarnation incarnation;
    Common::Address address;
    Common::FailureDomain domain;

    friend bool operator==(const LiveInstance&, const LiveInstance&) = default;
};

// One incarnation whose lease has ended.
struct EndedLease {
    Common::InstanceId id;
    Common::Incarnation incarnation;

    friend bool operator==(const EndedLease&, const EndedLease&) = default;
};

// Who may hold a lease, as the log of the configuration keeps it: an instance joins before its first lease is granted
// and leaves after its last one has ended. So a new leader knows whom its predecessors may have given leases.
using Holders = std::map<Common::InstanceId, LiveInstance>;

// A command of the log of the configuration.
struct HolderChange {
    std::vector<LiveInstance> joined;
    std::vector<EndedLease> left;

    friend bool operator==(const HolderChange&, const HolderChange&) = default;
};

// An older incarnation neither takes the place of a newer one nor ends it.
void applyChange(Holders&, const HolderChange&);

} // namespace Control
