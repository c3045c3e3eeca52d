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

// Keeps this instance's part of each backend server's slots and connections in step with who is there.
class ServerShares {
public:
    ServerShares(ShareDependencies, Common::TimePoint startedAt);

    // To be called after each change of membership or configuration, and from time to time: a greater share counts
    // only after the settle time.
    void refresh(Common::TimePoint now);
    // Whether the settle time after the start is over, so that there may be connections.
    bool isSettled(Common::TimePoint now) const;

private:
    void refreshServer(const Membership::ServerEntry&, size_t instances, size_t index, Common::TimePoint now);
    void forgetGone(const Membership::Directory&);

    ShareDependencies m_dependencies;
    Common::TimePoint m_startedAt;
    std::mutex m_mutex; // Guards what follows.
    std::unordered_map<Common::BackendServerId, Limits::ConnectionBudget> m_budgets;
};

} // namespace Entry
