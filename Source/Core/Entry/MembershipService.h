#pragma once

#include "Common/Ids.h"
#include "Common/Timers.h"
#include "Entry/ServerTable.h"
#include "Membership/Gossip.h"
#include "Observe/Metrics.h"
#include "Observe/Timeline.h"
#include "Peer/Client.h"

#include <functional>
#include <memory>
#include <vector>

namespace Entry {

struct MembershipDependencies {
    Common::Timers& timers;
    Peer::Client& peers;
    ServerTable& servers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// Runs the gossip protocol: receives announcements, spreads them among the entry instances and publishes the directory
// of instances and backend servers.
class MembershipService {
public:
    MembershipService(Membership::GossipSettings, Membership::InstanceRecord self, MembershipDependencies);
    ~MembershipService();

    // Sets the function to call, without a lock held, after the directory has changed. Call before start().
    void onChange(std::function<void()>);
    void start();
    void stop();

    Membership::AnnounceStatus announce(const Membership::Announcement&);
    void receive(std::string_view bytes);
    // Adds an instance that control listed.
    void addInstance(const Membership::InstanceRecord&);
    void leave();

    // The instances that are up, including this one, sorted by id. The order is the same on each instance.
    std::vector<Common::InstanceId> liveInstances() const;

    bool isQuarantined(Common::Fingerprint) const;
    bool isSuspect(Common::Fingerprint) const;
    // Whether a request with this fingerprint completed here recently, so it is unlikely to crash servers.
    bool hasCompleted(Common::Fingerprint) const;
    bool mayRetry(Common::Fingerprint) const;
    void reportLoss(const Membership::Loss&, const std::vector<Common::Fingerprint>&);
    void reportCompletion(Common::Fingerprint);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
