#include "Consensus/Election.h"

#include "Common/Assert.h"
#include "Consensus/Bootstrap.h"
#include "Consensus/Membership.h"
#include "Consensus/Reads.h"
#include "Consensus/Replication.h"

#include <algorithm>
#include <utility>

namespace Consensus {

using Common::LogIndex;
using Common::Term;

namespace {

    constexpr Term nextTerm { 1 };
    // Of the election timeout: how long a first round takes precedence over those of members with higher ids. Members
    // that it reaches answer sooner; after that, it has found no majority.
    constexpr double precedenceShare = 0.1;

    bool isUpToDate(const State& state, const VoteRequest& request)
    {
        Term own = lastTerm(state.log);
        if (request.lastTerm != own)
            return request.lastTerm > own;
        return request.lastIndex >= lastIndex(state.log);
    }

    VoteRequest makeVoteRequest(const State& state, bool pre, bool transfer)
    {
        return { pre, transfer, lastIndex(state.log), lastTerm(state.log) };
    }

    bool hasQuorumOfVotes(const State& state)
    {
        return hasQuorum(membership(state), [&](const MemberId& id) { return state.candidate.votes.contains(id); });
    }

    template <typename Function> void forEachOtherVoter(const State& state, Function&& fn)
    {
        for (const Member& member : membership(state).members) {
            if (member.voter && member.id != state.options.self)
                fn(member.id);
        }
    }

    void becomeLeader(Context& c)
    {
        State& state = c.state;
        CORIANDERLOCK_INVARIANT(state.hardStateWrite <= state.persistedWrite, "the candidate's own vote is durable");
        CORIANDERLOCK_INVARIANT(!state.leader, "at most one leader per term");
        state.role = Role::Leader;
        state.leader = state.options.self;
        state.hasKnownLeader = true;
        state.leading = {};
        state.leading.heartbeatDue = c.now + state.options.heartbeat;
        syncProgress(c);
        state.leading.firstIndexOfTerm = lastIndex(state.log) + LogIndex(1);
        appendAsLeader(c, { .kind = EntryKind::NoOp });
        sendEntriesToAll(c);
    }

    // Not long after that: two members without a majority would otherwise repeat their first rounds in turn.
    bool isInFirstRound(const Context& c)
    {
        const State& state = c.state;
        return state.role == Role::PreCandidate && state.candidate.firstRoundAt
            && c.now - *state.candidate.firstRoundAt < state.options.electionTimeout * precedenceShare;
    }

    // Of two members with equal logs whose first rounds overlap, the one with the lower id goes on. Without this, both
    // could become candidates of the same term, and with three of five members up, neither would get a majority.
    bool takesPrecedence(const Context& c, const Message& message, const VoteRequest& request)
    {
        const State& state = c.state;
        bool isSameLog = request.lastTerm == lastTerm(state.log) && request.lastIndex == lastIndex(state.log);
        return isInFirstRound(c) && isSameLog && state.options.self < message.from;
    }

    // Lets the member whose pre-vote was granted win before this one begins its own first round.
    void postponeFirstRound(Context& c)
    {
        State& state = c.state;
        if (isInFirstRound(c)) {
            state.role = Role::Follower;
            state.isFirstRoundPending = true;
        }
        if (state.isFirstRoundPending && state.role == Role::Follower)
            state.electionDue = c.now + firstRoundDelay(state);
    }

    // A member with an older log may be the one that completes a majority, after the first rounds of the others found
    // none. It can't be elected, so that the others would wait for a whole election timeout.
    void repeatFirstRound(Context& c)
    {
        State& state = c.state;
        bool isWaiting = state.role == Role::Follower || state.role == Role::PreCandidate;
        if (state.hasKnownLeader || state.isFirstRoundPending || !isWaiting)
            return;
        state.role = Role::Follower;
        state.isFirstRoundPending = true;
        state.electionDue = std::min(state.electionDue, c.now + firstRoundDelay(state));
    }

    void handlePreVote(Context& c, const Message& message, const VoteRequest& request)
    {
        bool granted = !hasOtherActiveLeader(c, message.from) && message.term > c.state.hard.term
            && isUpToDate(c.state, request) && !takesPrecedence(c, message, request);
        if (granted)
            postponeFirstRound(c);
        else if (!isUpToDate(c.state, request))
            repeatFirstRound(c);
        Message reply = makeMessage(c.state, message.from, VoteReply { true, granted });
        if (granted)
            reply.term = message.term;
        c.effects.messages.push_back(std::move(reply));
    }

} // namespace

void becomeFollower(Context& c, Term term, std::optional<MemberId> leader)
{
    State& state = c.state;
    if (isLeading(state))
        failReads(c);
    if (term > state.hard.term) {
        setHardState(c, term, std::nullopt);
        state.leader.reset();
    }
    if (state.role != Role::Follower) {
        state.role = Role::Follower;
        state.leading = {};
        state.leader.reset();
        resetElectionTimer(c);
    }
    if (leader) {
        state.leader = std::move(leader);
        state.isFirstRoundPending = false;
        state.hasKnownLeader = true;
    }
}

bool hasActiveLeader(const Context& c)
{
    const State& state = c.state;
    if (isLeading(state))
        return true;
    return state.leader && state.lastLeaderContact && c.now - *state.lastLeaderContact < state.options.electionTimeout;
}

bool hasOtherActiveLeader(const Context& c, const MemberId& candidate)
{
    return hasActiveLeader(c) && (isLeading(c.state) || candidate != *c.state.leader);
}

void resetElectionTimer(Context& c)
{
    c.state.electionDue = c.now + c.state.options.electionTimeout * (1 + c.state.random.unit());
}

void startPreVote(Context& c)
{
    State& state = c.state;
    state.role = Role::PreCandidate;
    state.leader.reset();
    state.candidate = {};
    state.candidate.votes.insert(state.options.self);
    if (std::exchange(state.isFirstRoundPending, false))
        state.candidate.firstRoundAt = c.now;
    resetElectionTimer(c);
    if (hasQuorumOfVotes(state)) {
        startElection(c, false);
        return;
    }
    // The group may have replaced all members that this one knows. The replies to announcements name the current
    // members.
    sendAnnouncements(c);
    forEachOtherVoter(state, [&](const MemberId& id) {
        Message message = makeMessage(state, id, makeVoteRequest(state, true, false));
        message.term += nextTerm;
        c.effects.messages.push_back(std::move(message));
    });
}

void startElection(Context& c, bool transfer)
{
    State& state = c.state;
    CORIANDERLOCK_INVARIANT(isSelfVoter(state), "only a voter starts an election");
    state.role = Role::Candidate;
    state.leader.reset();
    state.isFirstRoundPending = false;
    setHardState(c, state.hard.term + nextTerm, state.options.self);
    state.candidate = {};
    state.candidate.ownVoteWrite = state.lastWrite;
    resetElectionTimer(c);
    forEachOtherVoter(
        state, [&](const MemberId& id) { sendAfterWrites(c, id, makeVoteRequest(state, false, transfer)); });
}

void countOwnVote(Context& c)
{
    State& state = c.state;
    if (state.role != Role::Candidate || state.persistedWrite < state.candidate.ownVoteWrite)
        return;
    state.candidate.votes.insert(state.options.self);
    if (hasQuorumOfVotes(state))
        becomeLeader(c);
}

void handleVoteRequest(Context& c, const Message& message, const VoteRequest& request)
{
    State& state = c.state;
    if (request.pre) {
        handlePreVote(c, message, request);
        return;
    }
    bool canVote = !state.hard.vote || *state.hard.vote == message.from;
    bool granted = message.term == state.hard.term && canVote && !state.leader && isUpToDate(state, request);
    if (!granted) {
        sendAfterHardState(c, message.from, VoteReply { false, false });
        return;
    }
    CORIANDERLOCK_INVARIANT(message.to == state.options.self, "a vote request is addressed to this storage identity");
    setHardState(c, state.hard.term, message.from);
    state.isFirstRoundPending = false;
    resetElectionTimer(c);
    sendAfterWrites(c, message.from, VoteReply { false, true });
}

void handleVoteReply(Context& c, const Message& message, const VoteReply& reply)
{
    State& state = c.state;
    if (!reply.granted)
        return;
    if (reply.pre) {
        if (state.role != Role::PreCandidate || message.term != state.hard.term + nextTerm)
            return;
        state.candidate.votes.insert(message.from);
        if (hasQuorumOfVotes(state))
            startElection(c, false);
        return;
    }
    if (state.role != Role::Candidate || message.term != state.hard.term)
        return;
    state.candidate.votes.insert(message.from);
    // A granted vote implies that the candidate's own vote is durable, since the requests were sent after that write.
    // The Persisted event that counts this vote may still come later.
    if (hasQuorumOfVotes(state) && state.candidate.votes.contains(state.options.self))
        becomeLeader(c);
}

} // namespace Consensus
