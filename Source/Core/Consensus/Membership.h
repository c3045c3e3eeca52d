#pragma once

#include "Consensus/Types.h"

#include <functional>

namespace Consensus {

const Member* find(const Membership&, const MemberId&);
const Member* findVoterOf(const Membership&, const Common::InstanceId&);
const Member* findLearnerOf(const Membership&, const Common::InstanceId&);
bool isVoter(const Membership&, const MemberId&);
size_t voterCount(const Membership&);
// The number of voters that form a majority.
size_t quorum(const Membership&);
// The number of voters that must hold an entry before it is committed: a majority, and at least minimumCopies or all
// voters if there are fewer.
size_t commitQuorum(const Membership&, size_t minimumCopies);
// Returns true if a majority of the voters meets the condition; false if there are no voters.
bool hasQuorum(const Membership&, const std::function<bool(const MemberId&)>& condition);

// Each function returns the membership after one change. Voters are added or removed one at a time, so that a majority
// before and a majority after the change have at least one voter in common.
Membership withLearner(Membership, const MemberId&); // Replaces another learner of the same instance.
Membership withPromoted(Membership, const MemberId&);
Membership without(Membership, const MemberId&);

} // namespace Consensus
