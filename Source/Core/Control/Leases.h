#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Control/LeaseHolders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Control {

inline constexpr Common::Milliseconds defaultLeaseDuration { 4'000 };
inline constexpr Common::Milliseconds leaseRenewalInterval { 1'000 };

// The lease of an instance, including a released or expired one.
struct Lease {
    LiveInstance instance;
    Common::Revision applied;
    Common::TimePoint expiresAt;
    bool ended { false }; // Released or expired: this incarnation never gets a lease again.
    uint64_t changedAt { 0 }; // The list number at which it joined, changed or ended.
};

// A version of the list of live instances. Numbers of different terms can't be compared.
struct LiveListNumber {
    Common::Term term;
    uint64_t number { 0 };

    friend bool operator==(const LiveListNumber&, const LiveListNumber&) = default;
};

// Volatile state of the leader of log shard 0: the instances with a lease, and the revision that each has applied.
//
// A new leader imports the holders recorded in its log. Each one counts as a holder until it renews with the new leader
// or until one lease duration after the election, when every lease of an earlier leader has ended. Before the import no
// revision is reported as in force.
//
// The caller must grant a renewal only if the log names the holder and a quorum confirmed the leadership after the
// renewal arrived. Such a renewal was sent before the next leader was elected, and holders count their lease from when
// they sent the renewal, so it ends within one lease duration after that election.
struct LeaseTable {
    LeaseTable(Common::Term, Common::TimePoint electedAt, Common::Milliseconds = defaultLeaseDuration);

    Common::Milliseconds duration;
    Common::TimePoint electedAt;
    LiveListNumber listNumber;
    uint64_t prunedUpTo { 0 }; // Leases that ended up to this list number may be missing from `leases`.
    std::map<Common::InstanceId, Lease> leases;
    bool hasImportedHolders { false }; // importHolders() was called.
};

// Adds the holders of earlier leaders. The log must be current, which means that a quorum confirmed the leadership.
// Only the first call has an effect.
void importHolders(LeaseTable&, const LeaseHolders&);

// Requests a lease and reports the revision that the instance has applied.
struct Renewal {
    LiveInstance instance;
    Common::Revision applied;
};

struct LeaseGranted {
    Common::Milliseconds duration; // Counted from when the instance sent the renewal.
    // The earlier incarnation of the instance that this one ended, if any; its claims become orphans.
    std::optional<Common::Incarnation> replaced;
};

// Refuses with Conflict an incarnation older than the known one, and one whose lease was released or expired. The
// instance must then take a higher incarnation.
//
// `sentRevision` is the revision up to which the grant carries changes. A joining instance applies them before it uses
// its first lease, so it counts as having applied `sentRevision` and takes no revision out of force by joining.
Common::Result<LeaseGranted> renew(
    LeaseTable&, const Renewal&, Common::TimePoint now, Common::Revision sentRevision = Common::Revision());

// Ends the lease of an instance that stops as planned. Returns false if this incarnation held no lease. As with an
// expired lease, the claims that it left running become orphans.
bool release(LeaseTable&, const Common::InstanceId&, Common::Incarnation);

// Ends the leases that have run out and returns each of them once; their claims become orphans. Also removes leases
// that ended long ago.
std::vector<EndedLease> expireLeases(LeaseTable&, Common::TimePoint now);

// Returns true if this incarnation certainly holds no lease; its running claims are then orphans, also if the lease
// ended while there was no leader. A new leader can't know and returns false for one lease duration after its election.
bool hasNoLease(const LeaseTable&, const Common::InstanceId&, Common::Incarnation, Common::TimePoint now);

// Returns the recorded holders whose leases have certainly ended.
std::vector<EndedLease> endedHolders(const LeaseTable&, const LeaseHolders&, Common::TimePoint now);

enum class RevisionState {
    Applying,
    InForce,
};

struct RevisionStatus {
    RevisionState state { RevisionState::Applying };
    std::vector<Common::InstanceId> missing; // Lease holders that have not reported it as applied.
    bool newLeader { false }; // The leader has not imported the holders of its predecessors yet.

    friend bool operator==(const RevisionStatus&, const RevisionStatus&) = default;
};

RevisionStatus revisionStatus(const LeaseTable&, Common::Revision, Common::TimePoint now);

// The instances that joined and left since a list number.
struct LiveChanges {
    bool whole { false }; // `joined` is the complete list.
    LiveListNumber number;
    std::vector<LiveInstance> joined;
    std::vector<Common::InstanceId> left;

    friend bool operator==(const LiveChanges&, const LiveChanges&) = default;
};

LiveChanges liveChangesSince(const LeaseTable&, const LiveListNumber&);

} // namespace Control
