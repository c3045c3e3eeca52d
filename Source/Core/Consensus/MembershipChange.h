#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Adds a member of a known instance as learner, if no change is under way. Called on the leader.
void maybeAddLearner(Context&, const MemberId&);
// Takes the next step for a learner that has caught up: first its instance's lost identity leaves, then it gets the
// vote. Called on the leader at each heartbeat.
void advanceMembershipChange(Context&);

} // namespace Consensus
