#pragma once

#include "Consensus/Context.h"

namespace Consensus {

// Announces the storage identity of a member outside the group to the other instances. Called periodically.
void announce(Context&);
// Sends announcements to all known instances, regardless of their current storage identities.
void sendAnnouncements(Context&);
void handleAnnounce(Context&, const Message&);
// Learns of the group from a message to an earlier storage identity of this instance, as the leader sends to a voter
// that has lost its disk. All seeds may have lost theirs.
void handleMessageToEarlierStorage(Context&, const Message&);
// The bootstrap member (the lowest of the initial voters) forms the initial membership once every other initial voter
// has recently replied, to the current storage identity of the bootstrap member, that it is in no group. A bootstrap
// member that lost its disk thus finds the existing group instead of forming a second one: committed entries are on at
// least one other member, which replies that it is in a group.
void handleAnnounceReply(Context&, const Message&, const AnnounceReply&);

} // namespace Consensus
