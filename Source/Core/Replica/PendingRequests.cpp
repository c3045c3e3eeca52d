#include "Replica/PendingRequests.h"

#include <utility>

namespace Replica {

using Common::LogIndex;
using Common::Reason;

namespace {

    Common::Error outcomeUnknownError()
    {
        return Common::makeError(
            Reason::ConnectionLost, "propose", "leadership was lost before the command was applied");
    }

    template <typename Done> void addErrorCallback(Callbacks& callbacks, Done done, Common::Error error)
    {
        callbacks.push_back([done = std::move(done), error = std::move(error)] { done(error); });
    }

} // namespace

Common::Error notLeaderError()
{
    return Common::makeError(Reason::Unavailable, "propose", "this member is not the leader");
}

void failProposalsAbove(PendingRequests& pending, LogIndex index, Callbacks& callbacks)
{
    auto first = pending.proposals.upper_bound(index);
    for (auto it = first; it != pending.proposals.end(); ++it)
        addErrorCallback(callbacks, std::move(it->second.done), outcomeUnknownError());
    pending.proposals.erase(first, pending.proposals.end());
}

void failQueuedProposals(PendingRequests& pending, Callbacks& callbacks)
{
    for (QueuedProposal& it : pending.queuedProposals)
        addErrorCallback(callbacks, std::move(it.done), notLeaderError());
    pending.queuedProposals.clear();
}

void failReads(PendingRequests& pending, Callbacks& callbacks)
{
    for (LogShard::ReadDone& done : pending.queuedReads)
        addErrorCallback(callbacks, std::move(done), notLeaderError());
    pending.queuedReads.clear();
    while (!pending.reads.empty())
        failRead(pending, pending.reads.begin()->first, callbacks);
    for (auto& [index, done] : pending.confirmedReads)
        addErrorCallback(callbacks, std::move(done), notLeaderError());
    pending.confirmedReads.clear();
}

void failRead(PendingRequests& pending, Consensus::ReadId id, Callbacks& callbacks)
{
    auto node = pending.reads.extract(id);
    if (node.empty())
        return;
    for (LogShard::ReadDone& done : node.mapped())
        addErrorCallback(callbacks, std::move(done), notLeaderError());
}

void confirmRead(PendingRequests& pending, Consensus::ReadId id, LogIndex index)
{
    auto node = pending.reads.extract(id);
    if (node.empty())
        return;
    for (LogShard::ReadDone& done : node.mapped())
        pending.confirmedReads.emplace(index, std::move(done));
}

void completeReadsUpTo(PendingRequests& pending, LogIndex applied, Callbacks& callbacks)
{
    auto end = pending.confirmedReads.upper_bound(applied);
    for (auto it = pending.confirmedReads.begin(); it != end; ++it)
        callbacks.push_back([done = std::move(it->second), index = it->first] { done(index); });
    pending.confirmedReads.erase(pending.confirmedReads.begin(), end);
}

void completeProposal(PendingRequests& pending, const Consensus::Entry& entry, std::string result, Callbacks& callbacks)
{
    auto node = pending.proposals.extract(entry.index);
    if (node.empty())
        return;
    LogShard::ProposeDone done = std::move(node.mapped().done);
    if (node.mapped().term != entry.term) {
        addErrorCallback(callbacks, std::move(done), outcomeUnknownError());
        return;
    }
    callbacks.push_back([done = std::move(done), result = std::move(result)] { done(result); });
}

} // namespace Replica
