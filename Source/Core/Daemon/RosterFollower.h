#pragma once

#include "Common/Timers.h"
#include "Peer/Client.h"
#include "Roster/Messages.h"
#include "Roster/ServerView.h"
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
};

// What a relay wants to be told. Called on network threads, not with a lock held.
struct RosterFollowerHooks {
    std::function<void(std::map<Common::GroupName, std::vector<Roster::EligibleServer>>)> servers;
    std::function<void(std::vector<Roster::Peer>)> instances;
    std::function<void(Common::TableNumber, const Common::Address& reporter)>
        newerTableReported; // Later than the one here.
};

// A relay's side of the roster: follows a control instance of its own failure domain, and others while that one is
// silent or behind, and merges what they tell.
class RosterFollower {
public:
    explicit RosterFollower(RosterFollowerDependencies);
    ~RosterFollower();

    // The hooks may still be called a little after stop().
    void start(RosterFollowerHooks);
    // The seeds of changed settings.
    void setSeeds(std::vector<Common::Address>);
    // The route table that is in force here.
    void setTable(Common::TableNumber);
    // From now on the control instances are told that this instance leaves.
    void setLeaving();
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
