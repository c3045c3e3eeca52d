#pragma once

#include "Membership/Gossip.h"

namespace Membership {

// Queues the change for the next pushes; a newer record replaces an older one about the same thing.
void queuePush(GossipState&, const Change&);
// A peer pushed a record that is known here already: it needs fewer pushes, since others spread it too.
void countDuplicate(GossipState&, const Record&);
// At most maximumPushed records, those sent least often first; counts that they were sent to recipients.
std::vector<Record> takePushes(GossipState&, size_t recipients);
void queueRenewal(GossipState&, const Common::InstanceId& owner, const Renewal&);

// Takes a record in, without queueing it. An untrue record about this instance is refuted: the change is then the
// refutation.
std::optional<Change> applyRecord(GossipState&, const Record&, Common::TimePoint now);

// Makes the digest anew if something changed or it is old.
const Digest& currentDigest(GossipState&, Common::TimePoint now);

std::optional<Common::Address> addressOf(const GossipState&, const Common::InstanceId&);
// Instances that are not gone, without this one, by id.
std::vector<Common::InstanceId> peersOf(const GossipState&);
// Whether this instance heard from others lately, or there are none. One that did not must not judge them.
bool hearsOthers(const GossipState&, Common::TimePoint now);
// An instance that was frozen, or heard nobody, missed renewals and answers: that is no evidence against anyone.
void forgetSilence(GossipState&, Common::TimePoint now);
// Whether more instances are here than were lost: a minority behind a partition must not remove backend servers.
bool isWithMajority(const GossipState&);

} // namespace Membership
