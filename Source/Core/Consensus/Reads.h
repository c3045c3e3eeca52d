#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// A read is current at the commit index of its arrival, once a quorum confirmed the lead after that.
void handleConfirmRead(Context&, ReadId);
// Starts the reads that waited for the first commit of the leader's term.
void releaseWaitingReads(Context&);
void confirmReads(Context&);
void failReads(Context&);

} // namespace Consensus
