#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <vector>

namespace Limits {

// The share of instance number `index` out of `instances` in a server's connection limit. The shares add up to the
// limit. Some instances get 0 if the limit is lower than their number: see owners().
Common::Connections connectionShare(Common::Connections limit, size_t instances, size_t index);

// The `k` instances that own connections to a server, best first, by rendezvous hashing. Every instance computes the
// same list, and an instance that joins or leaves changes only the owners that it becomes or was.
std::vector<Common::InstanceId> owners(
    const Common::BackendServerId&, const std::vector<Common::InstanceId>& instances, size_t k);

// How many connections this instance may hold to one server while instances join and leave.
//
// A lower share applies at once, a higher one only after `settleTime`, and an instance that joins starts with 0. The
// sum over all instances stays within the limit if each instance learns of a change and closes its excess connections
// within the settle time. An instance that leaves closes its connections before the others learn of it.
struct ConnectionBudget {
    struct Share {
        Common::Connections connections;
        Common::TimePoint since;
    };

    Common::Milliseconds settleTime { 5000 };
    std::vector<Share> shares; // Oldest first. Before the first one the share is 0.
};

// Sets the share computed from the latest list of instances.
void setShare(ConnectionBudget&, Common::Connections, Common::TimePoint now);
// The lowest share that is still in force at `now`.
Common::Connections allowed(const ConnectionBudget&, Common::TimePoint now);

} // namespace Limits
