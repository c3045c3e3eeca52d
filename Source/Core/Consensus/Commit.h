#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Advances the commit index to what a quorum of voters holds durably, if that is an entry of the leader's own term.
void advanceCommit(Context&);
// Raises the commit index. A lower index has no effect.
void commitUpTo(Context&, Common::LogIndex);
// Records that all writes up to this number are durable.
void recordPersisted(Context&, WriteNumber);
// Delivers the entries that are committed and durable on this member to the state machine.
void deliver(Context&);
// Stores the snapshot of the state machine and compacts the log, keeping Options::keptEntries below the snapshot.
void compactLog(Context&, const SnapshotTaken&);
// Replaces the log up to the snapshot's index. Does nothing if that index is already committed here.
void installSnapshot(Context&, const SnapshotRef&);

} // namespace Consensus
