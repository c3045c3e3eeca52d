#include "Replica/Waiters.h"

#include <utility>

namespace Replica {

using Common::LogIndex;
using Common::Reason;

namespace {

    Common::Error outcomeUnknown()
    {
        return Common::makeError(Reason::ConnectionLost, "propose", "the lead was lost before the command was applied");
    }

    template <typename Done> void callWith(Calls& calls, Done done, Common::Error error)
    {
        calls.push_back([done = std::move(done), error = std::move(error)] { done(error); });
    }

} // namespace

Common::Error notLeading() { return Common::makeError(Reason::Unavailable, "propose", "this member does not lead"); }

void failProposalsAbove(Waiters& waiters, LogIndex index, Calls& calls)
{
    auto first = waiters.proposals.upper_bound(index);
    for (auto it = first; it != waiters.proposals.end(); ++it)
        callWith(calls, std::move(it->second.done), outcomeUnknown());
    waiters.proposals.erase(first, waiters.proposals.end());
}

void failQueuedProposals(Waiters& waiters, Calls& calls)
{
    for (QueuedProposal& it : waiters.queuedProposals)
        callWith(calls, std::move(it.done), notLeading());
    waiters.queuedProposals.clear();
}

void failReads(Waiters& waiters, Calls& calls)
{
    for (LogShard::ReadDone& done : waiters.queuedReads)
        callWith(calls, std::move(done), notLeading());
    waiters.queuedReads.clear();
    while (!waiters.reads.empty())
        failRead(waiters, waiters.reads.begin()->first, calls);
    for (auto& [index, done] : waiters.confirmedReads)
        callWith(calls, std::move(done), notLeading());
    waiters.confirmedReads.clear();
}

void failRead(Waiters& waiters, Consensus::ReadId id, Calls& calls)
{
    auto node = waiters.reads.extract(id);
    if (node.empty())
        return;
    for (LogShard::ReadDone& done : node.mapped())
        callWith(calls, std::move(done), notLeading());
}

void confirmRead(Waiters& waiters, Consensus::ReadId id, LogIndex index)
{
    auto node = waiters.reads.extract(id);
    if (node.empty())
        return;
    for (LogShard::ReadDone& done : node.mapped())
        waiters.confirmedReads.emplace(index, std::move(done));
}

void finishReadsUpTo(Waiters& waiters, LogIndex applied, Calls& calls)
{
    auto end = waiters.confirmedReads.upper_bound(applied);
    for (auto it = waiters.confirmedReads.begin(); it != end; ++it)
        calls.push_back([done = std::move(it->second), index = it->first] { done(index); });
    waiters.confirmedReads.erase(waiters.confirmedReads.begin(), end);
}

void finishProposal(Waiters& waiters, const Consensus::Entry& entry, std::string result, Calls& calls)
{
    auto node = waiters.proposals.extract(entry.index);
    if (node.empty())
        return;
    LogShard::ProposeDone done = std::move(node.mapped().done);
    if (node.mapped().term != entry.term) {
        callWith(calls, std::move(done), outcomeUnknown());
        return;
    }
    calls.push_back([done = std::move(done), result = std::move(result)] { done(result); });
}

} // namespace Replica
