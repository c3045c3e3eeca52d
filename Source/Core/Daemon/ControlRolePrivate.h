#pragma once

#include "Daemon/ControlRole.h"
#include "Daemon/ReplicatedState.h"

#include "Control/Leases.h"
#include "Control/Messages.h"

#include <deque>
#include <mutex>

// Private to ControlRole and ControlRoleServe.
namespace Daemon {

// A revision that is not known to be in force yet.
struct PendingRevision {
    Common::Revision revision;
    std::optional<Common::TimePoint> acceptedAt; // Nothing if an earlier leader accepted it.
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
    std::optional<Control::LeaseTable> leases; // While this instance leads the configuration.
    std::deque<PendingRevision> pendingRevisions; // While this instance leads, in their order. Under leaseMutex.
    std::mutex watchMutex;
    std::vector<Watcher> watchers;
    uint64_t nextWatcher { 1 };
    std::mutex listenerMutex;
    std::function<void()> listener; // Of changes; under listenerMutex.

    void leadershipChanged(bool leading, Common::Term);
    void configurationChanged();
    void recordRevision();
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

    void scheduleSweep();
    void sweep();
    bool hasNoLease(const Once::Orphan&);
    void orphanClaims(Common::LogShardId, const Once::Orphan&);
    // Moves log time on, so that old claims are forgotten and new ones are settled at the right time.
    void advanceLogTime(Common::LogShardId);
    void updateClaimsMetric();
};

} // namespace Daemon
