#include "Consensus/Commit.h"

#include "Common/Assert.h"
#include "Consensus/Membership.h"
#include "Consensus/Reads.h"
#include "Consensus/Replication.h"

#include <algorithm>

namespace Consensus {

using Common::LogIndex;

namespace {

    // Returns the highest index that is durable on a quorum of voters and on the minimum number of copies.
    LogIndex quorumMatchIndex(const State& state)
    {
        std::vector<LogIndex> matches;
        for (const Member& member : membership(state).members) {
            if (!member.voter)
                continue;
            if (member.id == state.options.self) {
                matches.push_back(state.persisted);
                continue;
            }
            auto it = state.leading.progress.find(member.id);
            matches.push_back(it == state.leading.progress.end() ? LogIndex(0) : it->second.match);
        }
        if (matches.empty())
            return LogIndex(0);
        std::sort(matches.begin(), matches.end(), std::greater<>());
        return matches[commitQuorum(membership(state), state.options.minimumCopies) - 1];
    }

    void pruneMembershipsBelow(State& state, LogIndex index)
    {
        while (state.memberships.size() > 1 && state.memberships[1].first <= index)
            state.memberships.erase(state.memberships.begin());
    }

} // namespace

void advanceCommit(Context& c)
{
    State& state = c.state;
    LogIndex index = quorumMatchIndex(state);
    // An entry of an earlier term must not be committed by counting replicas, since a later leader could still
    // overwrite it. It is committed together with an entry of the current term (Raft, section 5.4.2).
    if (index <= state.commit || termAt(state.log, index) != state.hard.term)
        return;
    commitUpTo(c, index);
    sendCommitToAll(c);
    releaseWaitingReads(c);
}

void commitUpTo(Context& c, LogIndex index)
{
    State& state = c.state;
    if (index <= state.commit)
        return;
    CORIANDERLOCK_INVARIANT(index <= lastIndex(state.log), "the commit index is within the log");
    state.commit = index;
}

void recordPersisted(Context& c, WriteNumber number)
{
    State& state = c.state;
    state.persistedWrite = std::max(state.persistedWrite, number);
    while (!state.pendingWrites.empty() && state.pendingWrites.front().number <= number) {
        state.persisted = std::max(state.persisted, state.pendingWrites.front().lastIndex);
        state.pendingWrites.pop_front();
    }
    CORIANDERLOCK_INVARIANT(state.persisted <= lastIndex(state.log), "the persisted index is within the log");
}

void deliver(Context& c)
{
    State& state = c.state;
    LogIndex limit = std::min(state.commit, state.persisted);
    if (state.snapshot && state.delivered < state.snapshot->meta.index) {
        if (limit < state.snapshot->meta.index)
            return;
        c.effects.restore = state.snapshot;
        state.delivered = state.snapshot->meta.index;
    }
    while (state.delivered < limit) {
        state.delivered += LogIndex(1);
        c.effects.deliver.push_back(entryAt(state.log, state.delivered));
    }
}

void compactLog(Context& c, const SnapshotTaken& taken)
{
    State& state = c.state;
    CORIANDERLOCK_INVARIANT(taken.index <= state.delivered, "a snapshot covers applied entries only");
    if (state.snapshot && taken.index <= state.snapshot->meta.index)
        return;
    SnapshotMeta meta { taken.index, termAt(state.log, taken.index), membershipAt(state, taken.index) };
    state.snapshot = std::make_shared<const Snapshot>(Snapshot { std::move(meta), taken.data });
    currentWrite(c).snapshot = state.snapshot;
    pruneMembershipsBelow(state, taken.index);
    uint64_t kept = std::min(state.options.keptEntries, taken.index.value());
    compactTo(state.log, taken.index - LogIndex(kept));
}

void installSnapshot(Context& c, const SnapshotRef& snapshot)
{
    State& state = c.state;
    const SnapshotMeta& meta = snapshot->meta;
    if (meta.index <= state.commit)
        return;
    if (!containsEntry(state.log, meta.index, meta.term)) {
        if (lastIndex(state.log) > state.commit)
            truncateLog(c, state.commit + LogIndex(1));
        reset(state.log, meta.index, meta.term);
        state.memberships = { { meta.index, meta.membership } };
    }
    state.snapshot = snapshot;
    currentWrite(c).snapshot = snapshot;
    pruneMembershipsBelow(state, meta.index);
    commitUpTo(c, meta.index);
}

} // namespace Consensus
