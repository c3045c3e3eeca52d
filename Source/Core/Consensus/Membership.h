#pragma once

#include "Consensus/Types.h"

#include <functional>

namespace Consensus {

const Member* find(const Membership&, const MemberId&);
const Member* findVoterOf(const Membership&, const Common::InstanceId&);
const Member* findLearnerOf(const Membership&, const Common::InstanceId&);
bool isVoter(const Membership&, const MemberId&);
size_t voterCount(const Membership&);
// Voters that make a majority.
size_t quorum(const Membership&);
// Voters that must hold an entry before it is committed; never more than there are.
size_t commitQuorum(const Membership&, size_t minimumCopies);
// True if more than half of the voters fulfil the condition; false if there are none.
bool hasQuorum(const Membership&, const std::function<bool(const MemberId&)>& condition);

// Each returns the membership after one change. Voters are added or removed one at a time, so that any two majorities
// of neighbouring memberships share a voter.
Membership withLearner(Membership, const MemberId&); // Takes the place of another learner of the same instance.
Membership withPromoted(Membership, const MemberId&);
Membership without(Membership, const MemberId&);

} // namespace Consensus
