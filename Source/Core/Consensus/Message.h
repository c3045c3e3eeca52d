#pragma once

#include "Consensus/Types.h"

#include <variant>
#include <vector>

namespace Consensus {

// Requests a vote or, with `pre`, a pre-vote.
struct VoteRequest {
    bool pre { false };
    bool transfer { false }; // The election is part of a leadership transfer.
    Common::LogIndex lastIndex;
    Common::Term lastTerm;
};

struct VoteReply {
    bool pre { false };
    bool granted { false };
};

// Entries that follow (previousIndex, previousTerm). Without entries it is a heartbeat.
struct AppendRequest {
    Common::LogIndex previousIndex;
    Common::Term previousTerm;
    std::vector<EntryRef> entries;
    Common::LogIndex commit;
    ReadRound round;
};

struct AppendReply {
    bool accepted { false };
    Common::LogIndex match; // If accepted: the logs agree up to here, and the sender holds this prefix durably.
    Common::LogIndex rejected; // If rejected: the previousIndex that did not match.
    Common::LogIndex hint; // If rejected: an index below it at which the logs may agree.
    ReadRound round;
};

// Replaces the receiver's log up to the snapshot's index. The reply is an AppendReply.
struct SnapshotRequest {
    SnapshotRef snapshot;
    ReadRound round;
};

// Sent by the leader to a member that holds the whole log: start an election immediately, for a leadership transfer.
struct TimeoutNow { };

// Announces the storage identity of a member that is in no group or not in the group's membership.
struct Announce { };

struct AnnounceReply {
    bool inGroup { false }; // The sender has a membership, so the group exists already.
    std::vector<Common::InstanceId> members; // The instances of the sender's membership.
};

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, TimeoutNow,
    Announce, AnnounceReply>;

struct Message {
    MemberId from;
    MemberId to; // The storage identity is 0 in an Announce. Otherwise a member with another one drops the message.
    GroupId group;
    Common::Term term;
    MessageBody body;
};

} // namespace Consensus
