#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Commits what a quorum of voters holds durably, if it reaches an entry of the leader's own term.
void advanceCommit(Context&);
void commitUpTo(Context&, Common::LogIndex);
void recordPersisted(Context&, WriteNumber);
// Hands what is committed and durable here to the state machine.
void deliver(Context&);
// Keeps the state machine's snapshot and cuts the log below it.
void compactLog(Context&, const SnapshotTaken&);
// Takes the place of the log up to the snapshot's index. Does nothing if that much is committed here.
void installSnapshot(Context&, const SnapshotRef&);

} // namespace Consensus
