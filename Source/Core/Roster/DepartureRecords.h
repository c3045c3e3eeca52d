#pragma once

#include "Roster/Departures.h"

#include <unordered_map>

namespace Roster {

// The departures that a control instance keeps on its disk: the latest of each server. Plain data: the caller keeps it
// under a lock.
struct DepartureRecords {
    struct Entry {
        Departure departure;
        Common::TimePoint addedAt;
    };

    std::unordered_map<Common::BackendServerId, Entry> entries;
};

// Returns false if the known departure of the server ends the same starts already.
bool add(DepartureRecords&, const Departure&, Common::TimePoint now);

// Removes the departures that were added before this time.
void forgetBefore(DepartureRecords&, Common::TimePoint);

} // namespace Roster
