#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

// A random number created together with a data folder. 0 means unknown.
using StorageId = Common::StrongId<struct StorageIdTag, uint64_t>;
// The storage identity of the member that bootstrapped the group. 0 means that there is no group yet.
using GroupId = Common::StrongId<struct GroupIdTag, uint64_t>;
// Numbers the writes requested by a state in the order in which they are done.
using WriteNumber = Common::Quantity<struct WriteNumberTag, uint64_t>;
// Numbers the heartbeat rounds in which a leader confirms its leadership.
using ReadRound = Common::Quantity<struct ReadRoundTag, uint64_t>;
using ReadId = Common::StrongId<struct ReadIdTag, uint64_t>;

// An instance together with its data folder. An instance that lost its disk is a different member.
struct MemberId {
    Common::InstanceId instance;
    StorageId storage;

    friend auto operator<=>(const MemberId&, const MemberId&) = default;
    friend bool operator==(const MemberId&, const MemberId&) = default;
};

struct Member {
    MemberId id;
    bool voter { false };

    friend bool operator==(const Member&, const Member&) = default;
};

struct Membership {
    GroupId group;
    std::vector<Member> members;

    friend bool operator==(const Membership&, const Membership&) = default;
};

enum class EntryKind {
    NoOp, // The first entry of a leader's term.
    Command,
    Membership,
};

struct Entry {
    Common::LogIndex index;
    Common::Term term;
    EntryKind kind { EntryKind::NoOp };
    std::string command; // For EntryKind::Command.
    Membership membership; // For EntryKind::Membership.

    friend bool operator==(const Entry&, const Entry&) = default;
};

// Entries are immutable and shared between the log, messages and writes.
using EntryRef = std::shared_ptr<const Entry>;

// The persistent state of a member beside its log (currentTerm and votedFor in Raft).
struct HardState {
    Common::Term term;
    std::optional<MemberId> vote;

    friend bool operator==(const HardState&, const HardState&) = default;
};

struct SnapshotMeta {
    Common::LogIndex index; // The last entry that the snapshot covers.
    Common::Term term;
    Membership membership;

    friend bool operator==(const SnapshotMeta&, const SnapshotMeta&) = default;
};

struct Snapshot {
    SnapshotMeta meta;
    std::string data;
};

using SnapshotRef = std::shared_ptr<const Snapshot>;

} // namespace Consensus
