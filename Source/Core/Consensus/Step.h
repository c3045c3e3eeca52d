#pragma once

#include "Consensus/Message.h"
#include "Consensus/State.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Consensus {

// Time has passed; due at nextTick() at the latest.
struct Tick { };

struct Receive {
    Message message;
};

// Commands of one batch. All are accepted with consecutive indices, or none is.
struct Propose {
    std::vector<std::string> commands;
};

struct ConfirmRead {
    ReadId id;
};

// All writes up to this number are durable.
struct Persisted {
    WriteNumber number;
};

// A write or sync failed: the member takes no further part.
struct StorageFailed { };

// The state machine's snapshot after the entry at this index was applied.
struct SnapshotTaken {
    Common::LogIndex index;
    std::string data;
};

// Gives the lead to the most caught-up voter.
struct TransferLeadership { };

using Event
    = std::variant<Tick, Receive, Propose, ConfirmRead, Persisted, StorageFailed, SnapshotTaken, TransferLeadership>;

// To be made durable in the order of the fields, and after all writes with lower numbers.
struct Write {
    WriteNumber number;
    std::optional<HardState> hard;
    std::optional<Common::LogIndex> truncateFrom;
    SnapshotRef snapshot; // The log up to its index may be cut once it is durable. Null if there is none.
    std::vector<EntryRef> entries;
};

// What the caller has to do.
struct Effects {
    std::vector<Message> messages; // May be sent at once.
    std::optional<Write> write;
    std::vector<Message> messagesAfterWrites; // Sent once all writes asked for up to now are durable.
    SnapshotRef restore; // Replaces the state machine, before deliver.
    std::vector<EntryRef> deliver; // Committed entries to apply, in log order.
    std::optional<Common::LogIndex> accepted; // The index of the first command of a Propose; absent: refused.
    std::vector<std::pair<ReadId, Common::LogIndex>> confirmedReads;
    std::vector<ReadId> failedReads;
};

// The whole algorithm: no clock, thread, socket, file or encoding. A persisted entry counts for the leader only after
// the Persisted event.
Effects step(State&, const Event&, Common::TimePoint now);

} // namespace Consensus
