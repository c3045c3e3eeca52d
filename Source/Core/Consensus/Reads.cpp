#include "Consensus/Reads.h"

#include "Consensus/Membership.h"
#include "Consensus/Replication.h"

namespace Consensus {

namespace {

    bool isRoundConfirmed(const State& state, ReadRound round)
    {
        return hasQuorum(membership(state), [&](const MemberId& id) {
            if (id == state.options.self)
                return true;
            auto it = state.leading.progress.find(id);
            return it != state.leading.progress.end() && it->second.acknowledgedRound >= round;
        });
    }

    void startRound(Context& c)
    {
        c.state.leading.round += ReadRound(1);
        sendHeartbeatToAll(c);
        confirmReads(c);
    }

    // Until an entry of its term is committed, a leader's commit index may be lower than that of its predecessors.
    bool hasCommittedInTerm(const State& state) { return state.commit >= state.leading.firstIndexOfTerm; }

    void queueRead(State& state, ReadId id)
    {
        state.leading.pendingReads.push_back({ id, state.commit, state.leading.round + ReadRound(1) });
    }

} // namespace

void handleConfirmRead(Context& c, ReadId id)
{
    State& state = c.state;
    if (!isLeading(state)) {
        c.effects.failedReads.push_back(id);
        return;
    }
    if (!hasCommittedInTerm(state)) {
        state.leading.waitingReads.push_back(id);
        return;
    }
    queueRead(state, id);
    startRound(c);
}

void releaseWaitingReads(Context& c)
{
    LeaderState& leading = c.state.leading;
    if (leading.waitingReads.empty() || !hasCommittedInTerm(c.state))
        return;
    for (ReadId id : leading.waitingReads)
        queueRead(c.state, id);
    leading.waitingReads.clear();
    startRound(c);
}

void confirmReads(Context& c)
{
    std::deque<PendingRead>& reads = c.state.leading.pendingReads;
    while (!reads.empty() && isRoundConfirmed(c.state, reads.front().round)) {
        c.effects.confirmedReads.emplace_back(reads.front().id, reads.front().index);
        reads.pop_front();
    }
}

void failReads(Context& c)
{
    LeaderState& leading = c.state.leading;
    for (ReadId id : leading.waitingReads)
        c.effects.failedReads.push_back(id);
    for (const PendingRead& read : leading.pendingReads)
        c.effects.failedReads.push_back(read.id);
    leading.waitingReads.clear();
    leading.pendingReads.clear();
}

} // namespace Consensus
