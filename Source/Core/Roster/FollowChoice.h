#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace Roster {

// A control instance as one that follows it sees it.
struct FollowedControl {
    std::optional<Common::TimePoint> startedAt; // Since when it is asked; nothing if it is not.
    std::optional<Common::TimePoint> answeredAt; // Its last answer since then.
    bool hasFailed { false }; // The last question was not answered.
    bool isBehind { false }; // It has not heard from another control instance for a while.
};

// Which of the control instances to ask: the first one of the own failure domain, and the next ones as long as those
// before do not answer. One that is behind is asked together with one more. Of `domains` a missing one is not known.
std::vector<Common::Address> chooseFollowed(const std::vector<Common::Address>& members,
    const std::map<Common::Address, Common::FailureDomain>& domains, const std::map<Common::Address, FollowedControl>&,
    const Common::InstanceId& self, const Common::FailureDomain& own, Common::TimePoint now);

} // namespace Roster
