#pragma once

#include "Common/Timers.h"
#include "Daemon/ControlRole.h"
#include "Entry/ControlClient.h"
#include "Peer/Client.h"
#include "Peer/Server.h"
#include "Roster/Registry.h"
#include "Settings/Settings.h"

#include <memory>

namespace Daemon {

struct RosterServerDependencies {
    const Settings::Daemon& settings;
    Common::Incarnation incarnation;
    ControlRole& control;
    Entry::ControlClient& controlClient;
    Peer::Client& peers;
    Common::Timers& timers;
};

// The control instance's registry of backend servers. Stores their reports in shards by server, each under its own
// lock, and serves them to the instances that follow it, together with mirrors of the other control instances'
// registries.
class RosterServer {
public:
    explicit RosterServer(RosterServerDependencies);
    ~RosterServer();

    Roster::ReportResult renew(const Roster::Report&);
    // Returns whether the report is valid.
    bool leave(const Common::BackendServerId&, Common::Incarnation);
    // Handles a message of the service Roster.
    void handle(std::string_view bytes, const Peer::Reply&);
    // Replaces the seeds after the settings were reloaded.
    void setSeeds(std::vector<Common::Address>);
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
