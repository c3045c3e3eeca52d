#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

// A random number made with a data folder. 0 means that it is not known.
using StorageId = Common::StrongId<struct StorageIdTag, uint64_t>;
// The storage identity of the member that founded the group. 0 means that there is no group yet.
using GroupId = Common::StrongId<struct GroupIdTag, uint64_t>;
// Counts the writes that a state asked for; they are done in this order.
using WriteNumber = Common::Quantity<struct WriteNumberTag, uint64_t>;
// Counts the rounds in which a leader asks for confirmation of its lead.
using ReadRound = Common::Quantity<struct ReadRoundTag, uint64_t>;
using ReadId = Common::StrongId<struct ReadIdTag, uint64_t>;

// An instance together with its data folder. After the loss of its disk an instance is another member.
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
    NoOp, // Opens a leader's term.
    Command,
    Membership,
};

struct Entry {
    Common::LogIndex index;
    Common::Term term;
    EntryKind kind { EntryKind::NoOp };
    std::string command; // Of EntryKind::Command.
    Membership membership; // Of EntryKind::Membership.

    friend bool operator==(const Entry&, const Entry&) = default;
};

// Entries do not change, so the log, messages and writes share them.
using EntryRef = std::shared_ptr<const Entry>;

// What a member must remember, beside its log, to keep its promises.
struct HardState {
    Common::Term term;
    std::optional<MemberId> vote;

    friend bool operator==(const HardState&, const HardState&) = default;
};

struct SnapshotMeta {
    Common::LogIndex index; // The last entry that the snapshot holds.
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
