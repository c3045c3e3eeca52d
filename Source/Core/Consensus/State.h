#pragma once

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Consensus/Log.h"
#include "Consensus/Types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Consensus {

enum class Role {
    Follower, // Also the role of a learner; the membership says which members are voters.
    PreCandidate,
    Candidate,
    Leader,
};

struct Options {
    MemberId self;
    // The same on every member; the lowest one bootstraps the group. If empty, this member only joins an existing
    // group.
    std::vector<Common::InstanceId> initialVoters;
    // Seed instances to which a member outside the group sends its announcements.
    std::vector<Common::InstanceId> contacts;
    // If 0, only initial voters may be members. Otherwise any instance may join. It becomes a voter while there are
    // fewer voters than this, or in place of an unresponsive voter.
    size_t targetVoters { 0 };
    size_t minimumCopies { 1 }; // Voters that must hold an entry before it is committed; all voters if there are fewer.
    // A voter that has been silent for longer than this may be replaced by a learner that has caught up.
    Common::Milliseconds replaceVoterAfter { 2'500 };
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    size_t maximumBatchEntries { 1024 };
    size_t maximumBatchBytes { size_t { 256 } << 10 };
    size_t maximumInFlight { 16 }; // Unanswered append requests per member.
    uint64_t keptEntries { 1024 }; // Log entries kept below a snapshot for slightly lagging members.
};

// The replication progress of another member, as tracked by the leader.
struct Progress {
    Common::LogIndex next { 1 };
    Common::LogIndex match;
    Common::LogIndex catchUpTarget; // The commit index at the previous heartbeat.
    bool probing { true }; // Only one request in flight until the logs are known to match at next - 1.
    size_t inFlight { 0 };
    Common::TimePoint lastContact;
    std::optional<Common::TimePoint> snapshotSentAt;
    ReadRound acknowledgedRound;
};

struct PendingRead {
    ReadId id;
    Common::LogIndex index;
    ReadRound round;
};

struct PendingWrite {
    WriteNumber number;
    Common::LogIndex lastIndex; // The last index of the log once the write is durable.
    Common::TimePoint requestedAt;
};

// A member that has applied the log up to the index holds all that was committed at that time.
struct CommitReport {
    Common::LogIndex index;
    Common::TimePoint at;
};

struct PendingTransfer {
    MemberId target;
    Common::TimePoint until;
};

// A member that replied to an announcement that it is in no group.
struct AnnouncedMember {
    StorageId storage;
    Common::TimePoint lastContact;
};

// The members of the group as one of them named them in its latest reply to an announcement.
struct NamedMembers {
    std::vector<Common::InstanceId> instances;
    Common::TimePoint receivedAt;
};

struct LeaderState {
    Common::LogIndex firstIndexOfTerm;
    std::map<MemberId, Progress> progress;
    Common::TimePoint heartbeatDue;
    ReadRound round;
    std::vector<ReadId> waitingReads; // Until an entry of this term is committed.
    std::deque<PendingRead> pendingReads;
    std::optional<PendingTransfer> transfer;
};

struct CandidateState {
    // When this member asked for pre-votes in its first round; empty in later rounds.
    std::optional<Common::TimePoint> firstRoundAt;
    std::set<MemberId> votes;
    WriteNumber ownVoteWrite; // The candidate's own vote counts once this write is durable.
};

// The state of one member. Modified by step() only.
struct State {
    Options options;
    Common::Random random { 0 };
    HardState hard;
    Log log;
    SnapshotRef snapshot; // The latest snapshot; null if there is none.
    std::vector<std::pair<Common::LogIndex, Membership>> memberships; // Each in force from its index on; never empty.

    Common::LogIndex commit;
    Common::LogIndex delivered; // The last index delivered to the state machine.
    Common::LogIndex persisted;
    WriteNumber lastWrite;
    WriteNumber persistedWrite;
    WriteNumber hardStateWrite; // The last write that changed the hard state.
    std::deque<PendingWrite> pendingWrites;

    Role role { Role::Follower };
    std::optional<MemberId> leader; // The leader of the current term, if known.
    std::optional<Common::TimePoint> lastLeaderContact;
    std::optional<CommitReport> groupCommit; // The latest one; empty until a leader was heard of since the start.
    Common::TimePoint electionDue;
    // Since its start this member has neither begun an election round of its own nor known a leader. Another member's
    // pre-vote that it grants postpones the round.
    bool isFirstRoundPending { true };
    bool hasKnownLeader { false }; // Since its start.
    Common::TimePoint announceDue;
    size_t earlyAnnouncements { 0 }; // Sent since the start without an answer, at the shorter interval.
    LeaderState leading;
    CandidateState candidate;
    std::map<Common::InstanceId, AnnouncedMember> announcedMembers;
    std::map<Common::InstanceId, NamedMembers> namedMembers; // By the member of the group that named them.
    bool storageFailed { false };
};

// The state recovered from storage at start.
struct Recovered {
    HardState hard;
    SnapshotRef snapshot; // Null if there is none.
    std::vector<EntryRef> entries; // The entries after the snapshot follow it without gaps.
};

State makeState(Options, Recovered, uint64_t seed, Common::TimePoint now);

const Membership& membership(const State&);
Common::LogIndex membershipIndex(const State&);
// Returns the membership in force at this index, which must not be below the snapshot.
const Membership& membershipAt(const State&, Common::LogIndex);
bool isSelfVoter(const State&);
bool isLeading(const State&);
// A tenth to a fifth of the election timeout: the time from a start until the first election round.
Common::Milliseconds firstRoundDelay(State&);
// Returns when the next Tick is due.
Common::TimePoint nextTick(const State&);

} // namespace Consensus
