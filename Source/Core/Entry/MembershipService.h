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

// Who is there: takes announcements, spreads them among the entry instances, and publishes the directory.
class MembershipService {
public:
    MembershipService(Membership::GossipSettings, Membership::InstanceRecord self, MembershipDependencies);
    ~MembershipService();

    // Called after the directory has changed, without a lock held.
    void onChange(std::function<void()>);
    void start();
    void stop();

    Membership::AnnounceStatus announce(const Membership::Announcement&);
    void receive(std::string_view bytes);
    // An instance that control named.
    void learnInstance(const Membership::InstanceRecord&);
    void leave();

    // Instances that are up, this one among them, in one order everywhere.
    std::vector<Common::InstanceId> liveInstances() const;

    bool isQuarantined(Common::Fingerprint) const;
    bool isSuspect(Common::Fingerprint) const;
    // Whether it ran to its end here lately: it is not what crashes servers, most likely.
    bool hasCompleted(Common::Fingerprint) const;
    bool mayRetry(Common::Fingerprint) const;
    void reportLoss(const Membership::Loss&, const std::vector<Common::Fingerprint>&);
    void reportCompletion(Common::Fingerprint);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
