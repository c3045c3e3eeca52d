#include "Consensus/Replication.h"

#include "Common/Assert.h"
#include "Consensus/Commit.h"
#include "Consensus/Election.h"
#include "Consensus/Membership.h"
#include "Consensus/Reads.h"
#include "Consensus/Transfer.h"

#include <algorithm>
#include <utility>

namespace Consensus {

using Common::LogIndex;
using Common::Milliseconds;

namespace {

    constexpr LogIndex one { 1 };
    // Number of election timeouts after which an unanswered snapshot is sent again.
    constexpr double snapshotResendTimeouts = 2;

    void sendAppend(Context& c, const MemberId& to, Progress& progress, bool withEntries)
    {
        const State& state = c.state;
        AppendRequest request;
        request.previousIndex = std::max(progress.next - one, state.log.base);
        request.previousTerm = termAt(state.log, request.previousIndex);
        request.commit = state.commit;
        request.round = state.leading.round;
        if (withEntries && progress.next > state.log.base) {
            request.entries
                = slice(state.log, progress.next, state.options.maximumBatchEntries, state.options.maximumBatchBytes);
        }
        if (!request.entries.empty())
            ++progress.inFlight;
        if (!progress.probing)
            progress.next += LogIndex(request.entries.size());
        send(c, to, std::move(request));
    }

    void sendSnapshot(Context& c, const MemberId& to, Progress& progress)
    {
        Milliseconds resendAfter = c.state.options.electionTimeout * snapshotResendTimeouts;
        if (progress.snapshotSentAt && c.now - *progress.snapshotSentAt < resendAfter)
            return;
        CORIANDERLOCK_INVARIANT(c.state.snapshot, "a snapshot covers the entries up to the log's base");
        progress.snapshotSentAt = c.now;
        send(c, to, SnapshotRequest { c.state.snapshot, c.state.leading.round });
    }

    void sendEntries(Context& c, const MemberId& to, Progress& progress)
    {
        const State& state = c.state;
        if (progress.next <= state.log.base) {
            sendSnapshot(c, to, progress);
            return;
        }
        if (progress.probing) {
            if (!progress.inFlight)
                sendAppend(c, to, progress, true);
            return;
        }
        while (progress.next <= lastIndex(state.log) && progress.inFlight < state.options.maximumInFlight)
            sendAppend(c, to, progress, true);
    }

    void sendHeartbeat(Context& c, const MemberId& to, Progress& progress)
    {
        if (progress.probing)
            progress.inFlight = 0;
        sendAppend(c, to, progress, progress.probing);
        if (progress.next <= c.state.log.base)
            sendSnapshot(c, to, progress);
    }

    void recordMatch(const State& state, Progress& progress, LogIndex match)
    {
        CORIANDERLOCK_INVARIANT(match <= lastIndex(state.log), "a member's match index is within the leader's log");
        progress.match = std::max(progress.match, match);
        progress.next = std::max(progress.next, match + one);
        if (progress.next > state.log.base) {
            progress.probing = false;
            progress.snapshotSentAt.reset();
        }
        if (progress.match + one >= progress.next)
            progress.inFlight = 0;
        else if (progress.inFlight)
            --progress.inFlight;
    }

    void recordRejection(Progress& progress, const AppendReply& reply)
    {
        // A delayed reply: the logs are already known to match beyond this index.
        if (reply.rejected <= progress.match)
            return;
        LogIndex next = std::min(reply.rejected, reply.hint + one);
        progress.next = std::max(progress.match + one, next);
        progress.probing = true;
        progress.inFlight = 0;
    }

    void rejectAppend(Context& c, const MemberId& to, const AppendRequest& request)
    {
        const State& state = c.state;
        AppendReply reply;
        reply.rejected = request.previousIndex;
        reply.round = request.round;
        reply.hint = lastIndex(state.log);
        if (request.previousIndex <= reply.hint) {
            CORIANDERLOCK_INVARIANT(request.previousIndex > state.commit, "leaders hold all committed entries");
            reply.hint = firstIndexOfTermAt(state.log, request.previousIndex) - one;
        }
        reply.hint = std::max(reply.hint, state.commit);
        sendAfterHardState(c, to, reply);
    }

    // Appends the missing entries. Truncates only at a conflicting entry, so that a delayed request doesn't shorten the
    // log.
    void mergeEntries(Context& c, const std::vector<EntryRef>& entries)
    {
        State& state = c.state;
        for (const EntryRef& entry : entries) {
            if (entry->index <= state.log.base || containsEntry(state.log, entry->index, entry->term))
                continue;
            if (entry->index <= lastIndex(state.log))
                truncateLog(c, entry->index);
            appendEntry(c, entry);
        }
    }

    // Until a leader has committed an entry of its term, its commit index may be lower than that of its predecessors.
    void noteGroupCommit(Context& c, Common::Term leaderTerm, LogIndex commit)
    {
        State& state = c.state;
        if (containsEntry(state.log, commit, leaderTerm))
            state.groupCommit = { commit, c.now };
    }

    void noteLeaderContact(Context& c, const MemberId& leader)
    {
        State& state = c.state;
        CORIANDERLOCK_INVARIANT(!isLeading(state), "at most one leader per term");
        becomeFollower(c, state.hard.term, std::nullopt);
        CORIANDERLOCK_INVARIANT(!state.leader || *state.leader == leader, "at most one leader per term");
        state.leader = leader;
        state.lastLeaderContact = c.now;
        resetElectionTimer(c);
    }

} // namespace

LogIndex appendAsLeader(Context& c, Entry entry)
{
    State& state = c.state;
    CORIANDERLOCK_INVARIANT(isLeading(state), "only a leader appends entries of its own");
    entry.index = lastIndex(state.log) + one;
    entry.term = state.hard.term;
    appendEntry(c, std::make_shared<const Entry>(std::move(entry)));
    return lastIndex(state.log);
}

void handlePropose(Context& c, const Propose& propose)
{
    State& state = c.state;
    if (!isLeading(state) || state.leading.transfer || propose.commands.empty())
        return;
    c.effects.accepted = lastIndex(state.log) + one;
    for (const std::string& command : propose.commands)
        appendAsLeader(c, { .kind = EntryKind::Command, .command = command });
    sendEntriesToAll(c);
}

void syncProgress(Context& c)
{
    State& state = c.state;
    std::map<MemberId, Progress>& progress = state.leading.progress;
    std::erase_if(progress, [&](const auto& pair) { return !find(membership(state), pair.first); });
    for (const Member& member : membership(state).members) {
        if (member.id == state.options.self || progress.contains(member.id))
            continue;
        progress[member.id].next = lastIndex(state.log) + one;
        progress[member.id].lastContact = c.now;
        progress[member.id].catchUpTarget = lastIndex(state.log) + one;
    }
}

void sendEntriesToAll(Context& c)
{
    for (auto& [id, progress] : c.state.leading.progress)
        sendEntries(c, id, progress);
}

void sendHeartbeatToAll(Context& c)
{
    for (auto& [id, progress] : c.state.leading.progress)
        sendHeartbeat(c, id, progress);
}

void sendCommitToAll(Context& c)
{
    for (auto& [id, progress] : c.state.leading.progress) {
        if (!progress.probing && progress.next > lastIndex(c.state.log))
            sendAppend(c, id, progress, false);
    }
}

bool isActive(const Context& c, const MemberId& id)
{
    const State& state = c.state;
    if (id == state.options.self)
        return true;
    auto it = state.leading.progress.find(id);
    return it != state.leading.progress.end() && c.now - it->second.lastContact <= state.options.electionTimeout;
}

bool hasActiveQuorum(const Context& c)
{
    return hasQuorum(membership(c.state), [&](const MemberId& id) { return isActive(c, id); });
}

void handleAppendRequest(Context& c, const Message& message, const AppendRequest& request)
{
    State& state = c.state;
    noteLeaderContact(c, message.from);
    bool matches = request.previousIndex < state.log.base
        || containsEntry(state.log, request.previousIndex, request.previousTerm);
    if (!matches) {
        rejectAppend(c, message.from, request);
        return;
    }
    mergeEntries(c, request.entries);
    LogIndex match = request.previousIndex + LogIndex(request.entries.size());
    commitUpTo(c, std::min(request.commit, match));
    noteGroupCommit(c, message.term, request.commit);
    AppendReply reply { .accepted = true, .match = match, .round = request.round };
    if (c.effects.write) {
        sendAfterWrites(c, message.from, reply);
        return;
    }
    // Without a new write the reply needn't wait for pending writes, if it reports only what is durable already.
    reply.match = std::min(match, state.persisted);
    sendAfterHardState(c, message.from, reply);
}

void handleAppendReply(Context& c, const Message& message, const AppendReply& reply)
{
    State& state = c.state;
    if (!isLeading(state))
        return;
    auto it = state.leading.progress.find(message.from);
    if (it == state.leading.progress.end())
        return;
    Progress& progress = it->second;
    progress.lastContact = c.now;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, reply.round);
    if (reply.accepted)
        recordMatch(state, progress, reply.match);
    else
        recordRejection(progress, reply);
    advanceCommit(c);
    confirmReads(c);
    sendEntries(c, message.from, progress);
    advanceTransfer(c);
}

void handleSnapshotRequest(Context& c, const Message& message, const SnapshotRequest& request)
{
    noteLeaderContact(c, message.from);
    installSnapshot(c, request.snapshot);
    sendAfterWrites(c, message.from,
        AppendReply { .accepted = true, .match = request.snapshot->meta.index, .round = request.round });
}

} // namespace Consensus
