#pragma once

#include "Daemon/ControlRole.h"
#include "Daemon/ReplicatedState.h"

#include "Control/Leases.h"
#include "Control/Messages.h"

#include <deque>
#include <mutex>

// Shared by ControlRole.cpp and ControlRoleServe.cpp only.
namespace Daemon {

// An accepted revision that is not yet known to be in force.
struct PendingRevision {
    Common::Revision revision;
    std::optional<Common::TimePoint> acceptedAt; // Empty if an earlier leader accepted it.
};

struct Watcher {
    uint64_t id { 0 };
    Common::Revision from;
    Peer::Reply reply;
};

struct ControlRole::Private : std::enable_shared_from_this<ControlRole::Private> {
    explicit Private(ControlDependencies d)
        : dependencies(d)
    {
    }

    ControlDependencies dependencies;
    std::unique_ptr<ReplicatedState> state;
    std::mutex leaseMutex;
    std::optional<Control::LeaseTable> leases; // Set while this instance leads the configuration; under leaseMutex.
    std::deque<PendingRevision> pendingRevisions; // Ascending, filled while this instance leads; under leaseMutex.
    std::mutex watchMutex;
    std::vector<Watcher> watchers;
    uint64_t nextWatcher { 1 };
    Common::TableNumber loggedTable; // Used by the thread that applies changes alone.
    std::mutex listenerMutex;
    std::function<void()> listener; // Of configuration changes; under listenerMutex.

    void leadershipChanged(bool leading, Common::Term);
    void configurationChanged();
    void recordRevision();
    void recordRouteTable();
    void recordRevisionsInForce();
    void answer(const Peer::Reply&, const Control::Reply&) const;
    Control::LeaderHint leaderHint(Common::LogShardId id = Control::configurationShard) const
    {
        return state->leaderOf(id);
    }

    void serve(const Control::ProposeRequest&, const Peer::Reply&);
    void serve(const Control::RenewRequest&, const Peer::Reply&);
    void serve(const Control::ReadRequest&, const Peer::Reply&);
    void serve(const Control::WatchRequest&, const Peer::Reply&);
    void serve(const Control::StatusRequest&, const Peer::Reply&);
    void serve(const Control::ReleaseRequest&, const Peer::Reply&);
    Control::RenewReply renew(const Control::RenewRequest&);
    bool isKnownHolder(const Control::LiveInstance&) const;
    void importHolders();
    Control::Changes changesSince(Common::Revision) const;
    Common::Revision currentRevision() const;
    Common::TableNumber routeTableNumber() const;
    Common::Revision evacuationVersion(const Common::FailureDomain&) const;
    Control::Evacuations evacuations() const;

    bool leadsWithLeases() const; // Must be called with leaseMutex held.
    void scheduleSweep();
    void sweep();
    bool hasNoLease(const Once::Orphan&);
    void orphanClaims(Common::LogShardId, const Once::Orphan&);
    // Advances the log time, by which old claims are removed and new ones are settled.
    void advanceLogTime(Common::LogShardId);
    void updateClaimsMetric();
    void updateLogMetrics();
};

} // namespace Daemon
