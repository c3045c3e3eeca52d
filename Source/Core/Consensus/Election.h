#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Becomes a follower in this term, stepping down if leading. `leader` is the leader of the term, if known.
void becomeFollower(Context&, Common::Term, std::optional<MemberId> leader);
// Returns true if this member leads or received a message from the leader of its term within an election timeout.
bool hasActiveLeader(const Context&);
// Like hasActiveLeader(), except where the candidate for a later term is itself the leader known here: it has restarted
// or has stepped down.
bool hasOtherActiveLeader(const Context&, const MemberId& candidate);
void resetElectionTimer(Context&);

// Starts a pre-vote: asks the voters whether they would grant a vote, without raising the term. A member that was
// partitioned thus doesn't depose a working leader when it reconnects.
void startPreVote(Context&);
void startElection(Context&, bool transfer);
// Counts a candidate's vote for itself once that vote is durable. Called whenever a write became durable.
void countOwnVote(Context&);

void handleVoteRequest(Context&, const Message&, const VoteRequest&);
void handleVoteReply(Context&, const Message&, const VoteReply&);

} // namespace Consensus
