#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Control/Holders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Control {

inline constexpr Common::Milliseconds leaseTime { 4'000 };
inline constexpr Common::Milliseconds leaseRenewalInterval { 1'000 };

// An instance that holds, held or gave back a lease.
struct Lease {
    LiveInstance instance;
    Common::Revision applied;
    Common::TimePoint expiresAt;
    bool ended { false }; // Released or expired: this incarnation gets no lease again.
    uint64_t changedAt { 0 }; // The list number at which it joined, moved or ended.
};

// A place in the list of live instances. Numbers of different terms can't be compared.
struct LiveListNumber {
    Common::Term term;
    uint64_t number { 0 };

    friend bool operator==(const LiveListNumber&, const LiveListNumber&) = default;
};

// Volatile state of the leader of log shard 0: who may take work, and what each has applied.
//
// A new leader takes over the holders that its log names: each counts until it has renewed with the new leader, or
// until one lease time after the election, when a lease of an earlier leader has surely ended. Until then nothing is
// said to be in force. This needs the caller to grant a renewal only when a quorum has confirmed it as leader after the
// renewal came in, and only when the log names the holder: such a grant was asked for before the next leader's
// election, and holders count from their asking.
struct LeaseTable {
    LeaseTable(Common::Term, Common::TimePoint electedAt, Common::Milliseconds = leaseTime);

    Common::Milliseconds duration;
    Common::TimePoint electedAt;
    LiveListNumber listNumber;
    uint64_t forgottenAt { 0 }; // Ends up to this list number are no longer listed one by one.
    std::map<Common::InstanceId, Lease> leases;
    bool hasImportedHolders { false }; // Those of earlier leaders were taken over.
};

// To be called once, with the holders of a log that is current: a quorum has confirmed the lead. Changes nothing when
// they were taken over already.
void importHolders(LeaseTable&, const Holders&);

// Asks for a lease, and says which revision the instance has applied.
struct Renewal {
    LiveInstance instance;
    Common::Revision applied;
};

struct LeaseGranted {
    Common::Milliseconds duration; // From when the instance sent the renewal.
    std::optional<Common::Incarnation> replaced; // An earlier incarnation that ended by this: its claims are orphans.
};

// Refuses (reason Conflict) an incarnation older than a known one, and one whose lease was released or expired: the
// instance must take a higher incarnation.
//
// `sent` is the revision up to which changes go out with the grant. An instance that joins uses its first lease only
// after it has applied them, so it counts as having applied `sent`, and takes no revision out of force by joining.
Common::Result<LeaseGranted> renew(
    LeaseTable&, const Renewal&, Common::TimePoint now, Common::Revision sent = Common::Revision());

// A planned stop: the instance takes no more work. Returns false if this incarnation held no lease. As for an expired
// lease, claims that it left running are orphans.
bool release(LeaseTable&, const Common::InstanceId&, Common::Incarnation);

// Ends the leases that ran out and names them, each once: their claims are orphans. Leases that ended long ago are
// forgotten.
std::vector<EndedLease> expireLeases(LeaseTable&, Common::TimePoint now);

// Whether this incarnation surely holds no lease. A new leader can't tell, and says no, until it is a lease time old;
// then claims that still run for such an owner are orphans, also if its lease ended while there was no leader.
bool hasNoLease(const LeaseTable&, const Common::InstanceId&, Common::Incarnation, Common::TimePoint now);

// The holders that the log names and whose leases have surely ended.
std::vector<EndedLease> endedHolders(const LeaseTable&, const Holders&, Common::TimePoint now);

enum class RevisionState {
    Applying,
    InForce,
};

struct RevisionStatus {
    RevisionState state { RevisionState::Applying };
    std::vector<Common::InstanceId> missing; // Lease holders that have not said that they applied it.
    bool newLeader { false }; // There may be holders that the leader does not know yet.

    friend bool operator==(const RevisionStatus&, const RevisionStatus&) = default;
};

RevisionStatus revisionStatus(const LeaseTable&, Common::Revision, Common::TimePoint now);

// Who joined and left since a number.
struct LiveChanges {
    bool whole { false }; // `joined` is all there are.
    LiveListNumber number;
    std::vector<LiveInstance> joined;
    std::vector<Common::InstanceId> left;

    friend bool operator==(const LiveChanges&, const LiveChanges&) = default;
};

LiveChanges liveChangesSince(const LeaseTable&, const LiveListNumber&);

} // namespace Control
