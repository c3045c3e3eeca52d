#pragma once

#include "Common/Timers.h"
#include "Daemon/ReplicatedState.h"
#include "Entry/ControlClient.h"
#include "Observe/Timeline.h"
#include "Peer/Server.h"

#include <memory>

namespace Daemon {

struct ControlDependencies {
    const Settings::Daemon& settings;
    Peer::Client& peers;
    Entry::ControlClient& control;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// The role of a control instance. Answers the requests of Control/Messages.h from the replicated state, and manages the
// leases while it leads the log shard of the configuration.
class ControlRole {
public:
    static Common::Result<std::unique_ptr<ControlRole>> open(ControlDependencies);
    ~ControlRole();

    void consensus(const Common::InstanceId& from, std::string_view bytes);
    // Handles a message of the service Control.
    void handle(std::string_view bytes, const Peer::Reply&);
    // Returns the status of each log shard, for operators.
    std::vector<Replica::Status> status() const;
    std::vector<Common::Address> memberAddresses() const;
    // Returns this member's copy of the committed route table, which may be stale; nullopt if there is none.
    std::optional<Control::StoredResource> storedRouteTable() const;
    // The number of that copy; 0 if there is none.
    Common::TableNumber routeTableNumber() const;
    // The evacuated failure domains in this member's copy of the configuration, which may be stale.
    Control::Evacuations evacuations() const;
    // The version of a domain's evacuation in that copy; 0 if there was no command for it.
    Common::Revision evacuationVersion(const Common::FailureDomain&) const;
    // Returns the time since the state here last held all committed changes of the configuration; infinite if it has
    // not since the start.
    Common::Milliseconds configurationBehind() const;
    // Calls fn, from any thread, after each change of the configuration.
    void onConfigurationChanged(std::function<void()> fn);
    void setSeeds(const std::vector<Common::Address>&);
    bool storageFailed() const;
    // Gives up the leadership of all log shards, before a planned stop.
    void transferLeadership();
    void stop();

private:
    struct Private;
    explicit ControlRole(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
