#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// A member outside the group makes its storage identity known to the others, again and again.
void announce(Context&);
// To all instances that are known, whatever their identity is now.
void sendAnnouncements(Context&);
void handleAnnounce(Context&, const Message&);
// The founder forms the first membership once all initial voters said, under one identity each and to the identity that
// the founder has now, that they are in no group. A founder that lost its disk thus finds the group that it founded:
// whatever was committed is on a second member.
void handleAnnounceReply(Context&, const Message&, const AnnounceReply&);

} // namespace Consensus
