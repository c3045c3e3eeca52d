#pragma once

#include "Consensus/Types.h"
#include "Replica/LogShard.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Replica {

// Callbacks to call once the shard's lock is released.
using Callbacks = std::vector<std::function<void()>>;

struct QueuedProposal {
    std::string command;
    LogShard::ProposeDone done;
};

struct PendingProposal {
    Common::Term term;
    LogShard::ProposeDone done;
};

// The proposals and reads of one shard that are not completed yet. Guarded by the shard's lock.
struct PendingRequests {
    std::vector<QueuedProposal> queuedProposals; // Not proposed yet; they form the next batch.
    std::map<Common::LogIndex, PendingProposal> proposals; // Appended to the log, not applied yet.
    std::vector<LogShard::ReadDone> queuedReads; // Waiting for the next round of heartbeats.
    std::map<Consensus::ReadId, std::vector<LogShard::ReadDone>> reads; // In a round that no quorum has confirmed yet.
    std::multimap<Common::LogIndex, LogShard::ReadDone> confirmedReads; // Waiting for their index to be applied.
};

// Fails the proposals above the index: this member can no longer apply them as the leader.
void failProposalsAbove(PendingRequests&, Common::LogIndex, Callbacks&);
void failQueuedProposals(PendingRequests&, Callbacks&);
// Fails all reads, including the queued ones.
void failReads(PendingRequests&, Callbacks&);
void failRead(PendingRequests&, Consensus::ReadId, Callbacks&);
void confirmRead(PendingRequests&, Consensus::ReadId, Common::LogIndex);
void completeReadsUpTo(PendingRequests&, Common::LogIndex applied, Callbacks&);
// Passes the result to the proposer of the entry. If the entry has another term, the proposer gets ConnectionLost.
void completeProposal(PendingRequests&, const Consensus::Entry&, std::string result, Callbacks&);

Common::Error notLeaderError();

} // namespace Replica
