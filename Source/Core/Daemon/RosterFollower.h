#pragma once

#include "Common/Timers.h"
#include "Observe/Metrics.h"
#include "Peer/Client.h"
#include "Roster/Messages.h"
#include "Roster/ServerView.h"
#include "Roster/TableReports.h"
#include "Settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Daemon {

struct RosterFollowerDependencies {
    const Settings::Daemon& settings;
    Peer::Client& peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    std::shared_ptr<Suspects::Board> suspects; // Of this instance.
};

// Callbacks into the relay role. Called on network threads, with no lock held.
struct RosterFollowerHooks {
    std::function<void(std::map<Common::GroupName, std::vector<Roster::EligibleServer>>)> servers;
    std::function<void(std::vector<Roster::Peer>)> instances;
    std::function<void()> viewConfirmed; // By a reply of a control instance, with or without changes.
    // The same by a control instance that is not behind. The request was sent at this time of the boot clock.
    std::function<void(Common::TimePoint sentAt)> contactConfirmed;
    // These control instances have later route tables than the one in force here.
    std::function<void(const std::vector<Roster::TableReport>&)> newerTablesReported;
};

// The relay's client of the roster. Exchanges the evidence on suspected requests with the same instances. Follows a
// control instance of its own failure domain, and others while that one is silent or stale, and merges their states
// into one view of the backend servers.
class RosterFollower {
public:
    explicit RosterFollower(RosterFollowerDependencies);
    ~RosterFollower();

    // Hooks may still run shortly after stop(), for replies in progress.
    void start(RosterFollowerHooks);
    // Replaces the seeds after the settings were reloaded.
    void setSeeds(std::vector<Common::Address>);
    // Sets the number of the route table in force here, which each watch request reports.
    void setTable(Common::TableNumber);
    // Reports in all further watch requests that this instance is leaving.
    void setLeaving();
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
