#pragma once

#include "Backend/Client.h"
#include "Entry/ConfigurationView.h"
#include "Entry/MembershipService.h"
#include "Entry/ServerTable.h"
#include "Limits/ConnectionBudget.h"

#include <mutex>
#include <unordered_map>

namespace Entry {

struct ShareDependencies {
    Common::InstanceId self;
    Common::Milliseconds settleTime;
    const ConfigurationView& configuration;
    ServerTable& servers;
    MembershipService& membership;
    Backend::Client& backend;
};

// Divides the slots and connections of each backend server among the live instances and applies this instance's share.
class ServerShares {
public:
    ServerShares(ShareDependencies, Common::TimePoint startedAt);

    // To be called after each change of membership or configuration, and periodically, since a larger share takes
    // effect only after the settle time. Calls may overlap; the latest time and directory count.
    void refresh(Common::TimePoint now);
    // Whether the settle time since the start is over. Before that, no connections are allowed.
    bool isSettled(Common::TimePoint now) const;

private:
    void refreshServer(const Membership::ServerEntry&, size_t instances, size_t index, Common::TimePoint now);
    void removeGoneServers(const Membership::Directory&);

    ShareDependencies m_dependencies;
    Common::TimePoint m_startedAt;
    std::mutex m_mutex; // Guards the members below.
    Common::TimePoint m_refreshedAt;
    std::unordered_map<Common::BackendServerId, Limits::ConnectionBudget> m_budgets;
};

} // namespace Entry
