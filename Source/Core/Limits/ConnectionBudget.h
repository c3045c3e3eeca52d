#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <vector>

namespace Limits {

// The part of instance number `index` of `instances` in a server's connection limit. The parts add up to the limit.
// 0 for some instances when the limit is lower than their number: see owners().
Common::Connections connectionShare(Common::Connections limit, size_t instances, size_t index);

// The `k` instances that own connections to a server, best first, by rendezvous hashing: each instance computes the
// same, and a joining or leaving instance changes only the owners that it becomes or was.
std::vector<Common::InstanceId> owners(
    const Common::BackendServerId&, const std::vector<Common::InstanceId>& instances, size_t k);

// How many connections this instance may hold to one server while instances join and leave.
//
// A smaller share counts at once, a greater one only after `settleTime`, and a joining instance has none before. The
// sum over all instances stays under the limit if each of them learns of a change, and closes what it holds too much,
// within the settle time; an instance that left has closed its connections before the others learn of it.
struct ConnectionBudget {
    struct Share {
        Common::Connections connections;
        Common::TimePoint since;
    };

    Common::Milliseconds settleTime { 5000 };
    std::vector<Share> shares; // Oldest first; the last is the newest. Before the first the share is 0.
};

// Sets the share that follows from the newest list of instances.
void setShare(ConnectionBudget&, Common::Connections, Common::TimePoint now);
Common::Connections allowed(const ConnectionBudget&, Common::TimePoint now);

} // namespace Limits
