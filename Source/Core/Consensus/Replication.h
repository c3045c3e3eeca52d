#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Gives the entry the next index and the leader's term; returns its index. Sends nothing.
Common::LogIndex appendAsLeader(Context&, Entry);
void handlePropose(Context&, const Propose&);
// Makes the leader's list of members that of the membership.
void syncProgress(Context&);

void sendEntriesToAll(Context&);
void sendHeartbeatToAll(Context&);
// Lets the members that have nothing else to get know how far the log is committed.
void sendCommitToAll(Context&);
// True if a quorum of voters was heard within an election timeout.
bool hasActiveQuorum(const Context&);
bool isActive(const Context&, const MemberId&);

void handleAppendRequest(Context&, const Message&, const AppendRequest&);
void handleAppendReply(Context&, const Message&, const AppendReply&);
void handleSnapshotRequest(Context&, const Message&, const SnapshotRequest&);

} // namespace Consensus
