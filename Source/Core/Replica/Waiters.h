#pragma once

#include "Consensus/Types.h"
#include "Replica/LogShard.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Replica {

// Calls to make once the shard's lock is released.
using Calls = std::vector<std::function<void()>>;

struct QueuedProposal {
    std::string command;
    LogShard::ProposeDone done;
};

struct PendingProposal {
    Common::Term term;
    LogShard::ProposeDone done;
};

// Who waits for what on one shard. Guarded by the shard's lock.
struct Waiters {
    std::vector<QueuedProposal> queuedProposals; // For the next batch.
    std::map<Common::LogIndex, PendingProposal> proposals; // In the log, not applied yet.
    std::vector<LogShard::ReadDone> queuedReads; // For the next round.
    std::map<Consensus::ReadId, std::vector<LogShard::ReadDone>> reads; // In a round that is not confirmed yet.
    std::multimap<Common::LogIndex, LogShard::ReadDone> confirmedReads; // Until their index is applied.
};

// The proposals that can no longer be applied under this lead: those above the index.
void failProposalsAbove(Waiters&, Common::LogIndex, Calls&);
void failQueuedProposals(Waiters&, Calls&);
// Also those that are queued.
void failReads(Waiters&, Calls&);
void failRead(Waiters&, Consensus::ReadId, Calls&);
void confirmRead(Waiters&, Consensus::ReadId, Common::LogIndex);
void finishReadsUpTo(Waiters&, Common::LogIndex applied, Calls&);
// Hands the result to the proposer of this entry, if it waits here.
void finishProposal(Waiters&, const Consensus::Entry&, std::string result, Calls&);

Common::Error notLeading();

} // namespace Replica
