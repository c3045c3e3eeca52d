#pragma once

#include "Common/Timers.h"
#include "Daemon/ControlRole.h"
#include "Entry/ControlClient.h"
#include "Observe/Metrics.h"
#include "Peer/Client.h"
#include "Peer/Server.h"
#include "Roster/Registry.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>

namespace Daemon {

struct RosterServerDependencies {
    const Settings::Daemon& settings;
    Common::Incarnation incarnation;
    ControlRole& control;
    Entry::ControlClient& controlClient;
    Peer::Client& peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;
};

enum class ReportOutcome {
    Accepted,
    Invalid, // It can't be the report of a server. Nothing was changed.
    NotHeld, // Too few control instances have stored the departure. It may take effect, but may be lost with them.
};

// The control instance's registry of backend servers. Stores their reports in shards by server, each under its own
// lock, and serves them to the instances that follow it, together with mirrors of the other control instances'
// registries.
class RosterServer {
public:
    explicit RosterServer(RosterServerDependencies);
    ~RosterServer();

    using Done = std::function<void(ReportOutcome)>;

    // Accepts a heartbeat. Calls done once: at once, or for a departure when enough control instances have stored it,
    // on any thread.
    void renew(const Roster::Report&, const Done& done);
    // Accepts a departure, as renew() does. An incarnation of 0 means all starts until now; the departure is ignored
    // (NotHeld) if the server no longer waits for the reply.
    void leave(const Common::BackendServerId&, Common::Incarnation, bool isAwaited, const Done& done);
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
