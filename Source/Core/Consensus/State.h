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
    Follower, // Also a learner; whether a member has a vote is in the membership.
    PreCandidate,
    Candidate,
    Leader,
};

struct Options {
    MemberId self;
    // The same on each member; the lowest one founds the group. Empty: this member only joins a group that exists.
    std::vector<Common::InstanceId> initialVoters;
    std::vector<Common::InstanceId> contacts; // May belong to the group; a member outside it asks them.
    // 0: only initial voters are members. Otherwise any instance that asks is admitted, and gets a vote while there are
    // fewer voters than that, or in the place of one that is silent.
    size_t targetVoters { 0 };
    size_t minimumCopies { 1 }; // Voters that hold an entry before it is committed, if there are so many.
    // A voter that is silent for so long may be replaced by a member that has caught up.
    Common::Milliseconds replaceVoterAfter { 2'500 };
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    size_t maximumBatchEntries { 1024 };
    size_t maximumBatchBytes { size_t { 256 } << 10 };
    size_t maximumInFlight { 16 }; // Append requests sent to one member and not answered.
    uint64_t keptEntries { 1024 }; // Left in the log below a snapshot, for members that lag a little.
};

// What a leader knows of another member.
struct Progress {
    Common::LogIndex next { 1 };
    Common::LogIndex match;
    Common::LogIndex catchUpTarget; // What was committed one heartbeat ago.
    bool probing { true }; // One request at a time, until the logs are known to agree at next - 1.
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
    Common::LogIndex lastIndex; // Of the log that is durable once the write is done.
};

struct PendingTransfer {
    MemberId target;
    Common::TimePoint until;
};

struct AnnouncedMember {
    StorageId storage;
    Common::TimePoint lastContact;
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
    std::set<MemberId> votes;
    WriteNumber ownVoteWrite; // The own vote counts once this write is durable.
};

// All that one member knows. Only step() changes it.
struct State {
    Options options;
    Common::Random random { 0 };
    HardState hard;
    Log log;
    SnapshotRef snapshot; // The latest; null if none was taken.
    std::vector<std::pair<Common::LogIndex, Membership>> memberships; // In force from their index on; never empty.

    Common::LogIndex commit;
    Common::LogIndex delivered; // Handed to the state machine.
    Common::LogIndex persisted;
    WriteNumber lastWrite;
    WriteNumber persistedWrite;
    WriteNumber hardStateWrite; // The last write that changed the hard state.
    std::deque<PendingWrite> pendingWrites;

    Role role { Role::Follower };
    std::optional<MemberId> leader; // Of the current term.
    std::optional<Common::TimePoint> lastLeaderContact;
    Common::TimePoint electionDue;
    Common::TimePoint announceDue;
    LeaderState leading;
    CandidateState candidate;
    std::map<Common::InstanceId, AnnouncedMember> announcedMembers;
    std::set<Common::InstanceId> discoveredInstances; // Learnt from others while this member was outside the group.
    bool storageFailed { false };
};

// What a store gave back after a start.
struct Recovered {
    HardState hard;
    SnapshotRef snapshot; // Null if there is none.
    std::vector<EntryRef> entries; // Those after the snapshot follow it without a gap.
};

State makeState(Options, Recovered, uint64_t seed, Common::TimePoint now);

const Membership& membership(const State&);
Common::LogIndex membershipIndex(const State&);
// The membership that was in force at this index, which must not be below the snapshot.
const Membership& membershipAt(const State&, Common::LogIndex);
bool isSelfVoter(const State&);
bool isLeading(const State&);
// When the next Tick is due.
Common::TimePoint nextTick(const State&);

} // namespace Consensus
