#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Chooses the most caught-up voter and takes no proposals until it leads or an election timeout is over.
void startTransfer(Context&);
// Lets the target campaign once it holds the whole log.
void advanceTransfer(Context&);
void expireTransfer(Context&);
void handleTimeoutNow(Context&, const Message&);

} // namespace Consensus
