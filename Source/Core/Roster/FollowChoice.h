#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace Roster {

// The state of a control instance as seen by a follower.
struct FollowedControl {
    std::optional<Common::TimePoint> startedAt; // When the first request was sent; empty if it is not followed.
    std::optional<Common::TimePoint> answeredAt; // The time of its last reply since then.
    bool hasFailed { false }; // The last request failed.
    bool isRosterBehind { false }; // It has had no reply from another control instance recently.
    bool isLogBehind { false }; // It has not held all committed changes recently.
};

// Chooses the control instances to follow. Those in the follower's own failure domain come first; the next one is added
// only while none before it replies. If the chosen one is behind another, one more is followed; if its log is behind,
// further ones are, until the log of one is not or a majority of the members is followed. `domains` holds the failure
// domains that are known.
std::vector<Common::Address> chooseFollowed(const std::vector<Common::Address>& members,
    const std::map<Common::Address, Common::FailureDomain>& domains, const std::map<Common::Address, FollowedControl>&,
    const Common::InstanceId& self, const Common::FailureDomain& own, Common::TimePoint now);

// Chooses the control instances that a follower without a route table asks at the same time: those of its own failure
// domain first, then others. After a power loss of all machines it is unknown which of them serve first.
std::vector<Common::Address> chooseAtStart(const std::vector<Common::Address>& members,
    const std::map<Common::Address, Common::FailureDomain>& domains, const Common::InstanceId& self,
    const Common::FailureDomain& own);

// A pause before the next request to a control instance that has failed. It is short in the first seconds after the
// start of a follower without a route table, and spread, since hundreds of followers may start at the same time.
Common::Milliseconds retryPause(bool hasTable, Common::Milliseconds sinceStart, double random);

} // namespace Roster
