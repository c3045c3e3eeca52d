#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Steps down if leading. The leader is the one of this term, if it is known.
void becomeFollower(Context&, Common::Term, std::optional<MemberId> leader);
// True while a leader of the current term is known and was heard within an election timeout.
bool hasActiveLeader(const Context&);
void resetElectionTimer(Context&);

// Asks the voters whether they would grant a vote, so that a member which was cut off disturbs nobody.
void startPreVote(Context&);
void startElection(Context&, bool transfer);
// To be called after a write became durable.
void countOwnVote(Context&);

void handleVoteRequest(Context&, const Message&, const VoteRequest&);
void handleVoteReply(Context&, const Message&, const VoteReply&);

} // namespace Consensus
