#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Chooses the active voter with the highest match index. No proposals are accepted until it leads or an election
// timeout has passed.
void startTransfer(Context&);
// Steps down at once and lets the most caught-up active voter start an election. Does nothing without another one.
void yieldLeadership(Context&);
// Sends TimeoutNow to the target once it holds the whole log and everything is committed.
void advanceTransfer(Context&);
// Abandons a transfer that has timed out.
void expireTransfer(Context&);
void handleTimeoutNow(Context&, const Message&);

} // namespace Consensus
