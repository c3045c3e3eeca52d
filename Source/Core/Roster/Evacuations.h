#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <vector>

namespace Roster {

// The failure domains whose servers get no requests, as of a revision of the configuration. 0: nothing is known.
struct Evacuations {
    Common::Revision revision;
    std::vector<Common::FailureDomain> domains;

    friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

bool isEvacuated(const Evacuations&, const Common::FailureDomain&);

} // namespace Roster
