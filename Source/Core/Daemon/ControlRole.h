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

// A control instance: answers the requests of Control/Messages.h from the replicated state, and keeps the leases while
// it leads the configuration's log shard.
class ControlRole {
public:
    static Common::Result<std::unique_ptr<ControlRole>> open(ControlDependencies);
    ~ControlRole();

    void consensus(const Common::InstanceId& from, std::string_view bytes);
    // Bytes of the service Control.
    void handle(std::string_view bytes, const Peer::Reply&);
    // What operators see of the log shards.
    std::vector<Replica::Status> status() const;
    std::vector<Common::Address> memberAddresses() const;
    // The committed route table; number 0 if there is none.
    // This member's copy, which may be behind; nothing if it has none.
    std::optional<Control::StoredResource> storedRouteTable() const;
    Common::TableNumber routeTableNumber() const;
    // fn is called, from any thread, after each change of the configuration.
    void onConfigurationChanged(std::function<void()> fn);
    bool storageFailed() const;
    void transferLeadership();
    void stop();

private:
    struct Private;
    explicit ControlRole(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
