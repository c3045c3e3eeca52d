#pragma once

#include "Consensus/Message.h"
#include "Consensus/State.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Consensus {

// Drives the timers. Must be sent at nextTick() at the latest.
struct Tick { };

struct Receive {
    Message message;
};

// Proposes a batch of commands. Either all are accepted with consecutive indices, or none is.
struct Propose {
    std::vector<std::string> commands;
};

// Requests a linearizable read index.
struct ConfirmRead {
    ReadId id;
};

// All writes up to this number are durable.
struct Persisted {
    WriteNumber number;
};

// A write or sync failed. The member stops taking part in the group.
struct StorageFailed { };

// A snapshot of the state machine after the entry at this index was applied.
struct SnapshotTaken {
    Common::LogIndex index;
    std::string data;
};

// Transfers the leadership to the active voter with the longest matching log.
struct TransferLeadership { };

using Event
    = std::variant<Tick, Receive, Propose, ConfirmRead, Persisted, StorageFailed, SnapshotTaken, TransferLeadership>;

// Must be made durable in the order of the fields and after all writes with lower numbers.
struct Write {
    WriteNumber number;
    std::optional<HardState> hard;
    std::optional<Common::LogIndex> truncateFrom;
    SnapshotRef snapshot; // Null if there is none. Once it is durable, the log up to its index may be removed.
    std::vector<EntryRef> entries;
};

// What the caller has to do after a step.
struct Effects {
    std::vector<Message> messages; // May be sent immediately.
    std::optional<Write> write;
    std::vector<Message> messagesAfterWrites; // To be sent once all writes requested so far are durable.
    SnapshotRef restore; // Replaces the state machine before `deliver` is applied.
    std::vector<EntryRef> deliver; // Committed entries to apply, in log order.
    std::optional<Common::LogIndex> accepted; // The index of the first command of a Propose; absent if it was refused.
    std::vector<std::pair<ReadId, Common::LogIndex>> confirmedReads;
    std::vector<ReadId> failedReads;
};

// The whole consensus algorithm, free of clocks, threads, sockets, files and encodings. The leader counts its own copy
// of an entry only after the Persisted event.
Effects step(State&, const Event&, Common::TimePoint now);

} // namespace Consensus
