#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Appends the entry with the next index and the leader's term and returns its index. Sends nothing.
Common::LogIndex appendAsLeader(Context&, Entry);
void handlePropose(Context&, const Propose&);
// Adds and removes replication progress to match the current membership.
void syncProgress(Context&);

void sendEntriesToAll(Context&);
void sendHeartbeatToAll(Context&);
// Sends the commit index to the members that already have the whole log.
void sendCommitToAll(Context&);
// Returns true if the leader received a message from a quorum of voters within an election timeout.
bool hasActiveQuorum(const Context&);
// Returns true if the leader received a message from this member within an election timeout.
bool isActive(const Context&, const MemberId&);

void handleAppendRequest(Context&, const Message&, const AppendRequest&);
void handleAppendReply(Context&, const Message&, const AppendReply&);
void handleSnapshotRequest(Context&, const Message&, const SnapshotRequest&);

} // namespace Consensus
