#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Adds the member as a learner if it may join, its instance has no active voter and no other change is in progress.
// Called on the leader.
void maybeAddLearner(Context&, const MemberId&);
// Takes the next step for a learner that has caught up: first removes the voter that it replaces, if there is one, then
// promotes it. Called on the leader at each heartbeat.
void advanceMembershipChange(Context&);

} // namespace Consensus
