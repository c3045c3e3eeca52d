#pragma once

#include "Consensus/Types.h"

#include <variant>
#include <vector>

namespace Consensus {

// Asks for a vote, or, with pre, whether a vote would be granted.
struct VoteRequest {
    bool pre { false };
    bool transfer { false }; // The leader itself asked for the election.
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
    Common::LogIndex match; // If accepted: up to here the logs agree and are durable at the sender.
    Common::LogIndex rejected; // If not: the previousIndex that did not fit,
    Common::LogIndex hint; // and an index below it at which the logs may agree.
    ReadRound round;
};

// Replaces the receiver's log up to the snapshot's index. Answered by an AppendReply.
struct SnapshotRequest {
    SnapshotRef snapshot;
    ReadRound round;
};

// The leader asks a member that has the whole log to campaign at once.
struct TimeoutNow { };

// A member that is in no group, or not in the group's membership, makes its storage identity known.
struct Announce { };

struct AnnounceReply {
    bool inGroup { false }; // The sender has a log, so the first membership has been formed already.
    std::vector<Common::InstanceId> members; // Of the sender's membership.
};

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, TimeoutNow,
    Announce, AnnounceReply>;

struct Message {
    MemberId from;
    MemberId to; // The storage identity is 0 in an Announce. The member with another identity drops the message.
    GroupId group;
    Common::Term term;
    MessageBody body;
};

} // namespace Consensus
