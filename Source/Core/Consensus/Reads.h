#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Serves linearizable reads with the ReadIndex method of Raft: a read is valid at the commit index of its arrival once
// a quorum has confirmed the leadership after the arrival.
void handleConfirmRead(Context&, ReadId);
// Starts the reads that wait for the first commit in the leader's term.
void releaseWaitingReads(Context&);
// Reports the reads whose heartbeat round a quorum has acknowledged.
void confirmReads(Context&);
// Fails all reads when the leader steps down.
void failReads(Context&);

} // namespace Consensus
