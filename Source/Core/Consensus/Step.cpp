#include "Consensus/Step.h"

#include "Common/Assert.h"
#include "Consensus/Bootstrap.h"
#include "Consensus/Commit.h"
#include "Consensus/Context.h"
#include "Consensus/Election.h"
#include "Consensus/Membership.h"
#include "Consensus/MembershipChange.h"
#include "Consensus/Reads.h"
#include "Consensus/Replication.h"
#include "Consensus/Transfer.h"

namespace Consensus {

using Common::LogIndex;

namespace {

    bool isAnnouncement(const Message& message)
    {
        return std::holds_alternative<Announce>(message.body) || std::holds_alternative<AnnounceReply>(message.body);
    }

    bool isFromLeader(const Message& message)
    {
        return std::holds_alternative<AppendRequest>(message.body)
            || std::holds_alternative<SnapshotRequest>(message.body);
    }

    // Returns false for messages to another storage identity or from another group.
    bool isAddressedToSelf(const State& state, const Message& message)
    {
        if (message.to.instance != state.options.self.instance || message.from == state.options.self)
            return false;
        if (std::holds_alternative<Announce>(message.body))
            return true;
        if (message.to.storage != state.options.self.storage)
            return false;
        GroupId own = membership(state).group;
        return isAnnouncement(message) || own == GroupId(0) || message.group == GroupId(0) || message.group == own;
    }

    // The other storage identity is an earlier one, or a later one if an old disk was put back.
    bool isToEarlierStorage(const State& state, const Message& message)
    {
        const MemberId& self = state.options.self;
        return message.to.instance == self.instance && message.to.storage != self.storage && !isAnnouncement(message);
    }

    // Adopts a higher term from the message. Returns false if the message is to be dropped.
    bool adoptTerm(Context& c, const Message& message)
    {
        if (message.term <= c.state.hard.term)
            return true;
        if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
            if (request->pre)
                return true;
            // A member with an active leader ignores vote requests, unless the leader itself asks or transfers its
            // leadership.
            if (!request->transfer && hasOtherActiveLeader(c, message.from))
                return false;
        }
        const auto* reply = std::get_if<VoteReply>(&message.body);
        if (reply && reply->pre && reply->granted)
            return true;
        becomeFollower(c, message.term, std::nullopt);
        return true;
    }

    // Replies with the current term to a sender with an older one.
    void replyToStaleTerm(Context& c, const Message& message)
    {
        if (const auto* request = std::get_if<VoteRequest>(&message.body))
            sendAfterHardState(c, message.from, VoteReply { request->pre, false });
        else if (isFromLeader(message))
            sendAfterHardState(c, message.from, AppendReply {});
    }

    struct BodyHandler {
        Context& c;
        const Message& message;

        void operator()(const VoteRequest& body) const { handleVoteRequest(c, message, body); }
        void operator()(const VoteReply& body) const { handleVoteReply(c, message, body); }
        void operator()(const AppendRequest& body) const { handleAppendRequest(c, message, body); }
        void operator()(const AppendReply& body) const { handleAppendReply(c, message, body); }
        void operator()(const SnapshotRequest& body) const { handleSnapshotRequest(c, message, body); }
        void operator()(const TimeoutNow&) const { handleTimeoutNow(c, message); }
        void operator()(const Announce&) const { handleAnnounce(c, message); }
        void operator()(const AnnounceReply& body) const { handleAnnounceReply(c, message, body); }
    };

    void receive(Context& c, const Message& message)
    {
        if (!isAddressedToSelf(c.state, message)) {
            if (isToEarlierStorage(c.state, message))
                handleMessageToEarlierStorage(c, message);
            return;
        }
        if (!isAnnouncement(message)) {
            if (!adoptTerm(c, message))
                return;
            if (message.term < c.state.hard.term) {
                replyToStaleTerm(c, message);
                return;
            }
        }
        std::visit(BodyHandler { c, message }, message.body);
    }

    void checkQuorum(Context& c)
    {
        if (isLeading(c.state) && !hasActiveQuorum(c))
            becomeFollower(c, c.state.hard.term, std::nullopt);
    }

    // Number of election timeouts after which a write that is not durable means that the disk stalls.
    constexpr double stalledWriteTimeouts = 2;

    bool isDiskStalled(const Context& c)
    {
        const State& state = c.state;
        return !state.pendingWrites.empty()
            && c.now - state.pendingWrites.front().requestedAt > state.options.electionTimeout * stalledWriteTimeouts;
    }

    // A leader whose disk stalls still sends heartbeats, and the others commit what it sends, but it can't apply and
    // acknowledge anything.
    void checkDisk(Context& c)
    {
        if (isLeading(c.state) && isDiskStalled(c))
            yieldLeadership(c);
    }

    void tickElectionTimer(Context& c)
    {
        // A vote for itself would wait for the disk as well.
        if (isDiskStalled(c))
            resetElectionTimer(c);
        else
            startPreVote(c);
    }

    void noteOwnCommit(Context& c)
    {
        State& state = c.state;
        if (isLeading(state) && state.commit >= state.leading.firstIndexOfTerm)
            state.groupCommit = { state.commit, c.now };
    }

    void tickLeader(Context& c)
    {
        State& state = c.state;
        if (c.now < state.leading.heartbeatDue)
            return;
        state.leading.heartbeatDue = c.now + state.options.heartbeat;
        expireTransfer(c);
        advanceMembershipChange(c);
        sendHeartbeatToAll(c);
        advanceTransfer(c);
    }

    void tick(Context& c)
    {
        State& state = c.state;
        if (isLeading(state))
            tickLeader(c);
        else if (isSelfVoter(state) && c.now >= state.electionDue)
            tickElectionTimer(c);
        else if (!isSelfVoter(state) && c.now >= state.announceDue)
            announce(c);
    }

    struct EventHandler {
        Context& c;

        void operator()(const Tick&) const { tick(c); }
        void operator()(const Receive& event) const { receive(c, event.message); }
        void operator()(const Propose& event) const { handlePropose(c, event); }
        void operator()(const ConfirmRead& event) const { handleConfirmRead(c, event.id); }
        void operator()(const SnapshotTaken& event) const { compactLog(c, event); }
        void operator()(const TransferLeadership&) const { startTransfer(c); }
        void operator()(const Persisted& event) const
        {
            recordPersisted(c, event.number);
            countOwnVote(c);
            if (isLeading(c.state)) {
                advanceCommit(c);
                confirmReads(c);
            }
        }
        void operator()(const StorageFailed&) const
        {
            becomeFollower(c, c.state.hard.term, std::nullopt);
            c.state.storageFailed = true;
        }
    };

    void failEvent(const Event& event, Effects& effects)
    {
        if (const auto* read = std::get_if<ConfirmRead>(&event))
            effects.failedReads.push_back(read->id);
    }

} // namespace

Effects step(State& state, const Event& event, Common::TimePoint now)
{
    Effects effects;
    if (state.storageFailed) {
        failEvent(event, effects);
        return effects;
    }
    LogIndex commitBefore = state.commit;
    LogIndex deliveredBefore = state.delivered;
    Context c { state, effects, now };
    checkQuorum(c);
    checkDisk(c);
    std::visit(EventHandler { c }, event);
    noteOwnCommit(c);
    deliver(c);
    finishStep(c);
    CORIANDERLOCK_INVARIANT(state.commit >= commitBefore, "the commit index never decreases");
    CORIANDERLOCK_INVARIANT(state.delivered >= deliveredBefore, "the delivered index never decreases");
    return effects;
}

} // namespace Consensus
