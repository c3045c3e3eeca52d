#pragma once

#include "Membership/Gossip.h"

namespace Membership {

// Queues the change for the next pushes. It replaces a queued record with the same key.
void queuePush(GossipState&, const Change&);
// Counts a pushed record that was already known here as sent once, because other instances spread it too.
void countDuplicate(GossipState&, const Record&);
// Returns at most maximumPushed records, the least often sent first, and counts them as sent to that many recipients.
std::vector<Record> takePushes(GossipState&, size_t recipients);
void queueRenewal(GossipState&, const Common::InstanceId& owner, const Renewal&);

// Applies a record without queueing it. A wrong record about this instance is refuted; the returned change is then the
// refutation.
std::optional<Change> applyRecord(GossipState&, const Record&, Common::TimePoint now);

// Recomputes the digest if a record changed or the digest is too old.
const Digest& currentDigest(GossipState&, Common::TimePoint now);

std::optional<Common::Address> addressOf(const GossipState&, const Common::InstanceId&);
// The other instances that are not gone, sorted by id.
std::vector<Common::InstanceId> peersOf(const GossipState&);
// Whether this instance recently received a message, or knows no other instance. Otherwise it must not suspect others.
bool hasRecentContact(const GossipState&, Common::TimePoint now);
// Restarts all timeouts and probes. An instance that was paused or isolated missed renewals and replies, so their
// absence is no evidence against others.
void resetSilenceAndProbes(GossipState&, Common::TimePoint now);
// Whether more instances are present than lost. The minority side of a partition must not remove backend servers.
bool isInMajority(const GossipState&);

} // namespace Membership
