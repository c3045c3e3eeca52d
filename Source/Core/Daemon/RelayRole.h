#pragma once

#include "Common/Timers.h"
#include "Observe/Metrics.h"
#include "Peer/Client.h"
#include "Peer/Types.h"
#include "Relay/Engine.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Daemon {

struct RelayDependencies {
    const Settings::Daemon& settings;
    Common::Incarnation incarnation;
    Peer::Client& peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Relay::BackendCodec backendCodec;
    std::function<Common::Result<Routes::Table>(const std::string& document)> decodeTable;
};

// Relays callers' requests with the route tables and backend servers that it receives from control instances.
class RelayRole {
public:
    explicit RelayRole(RelayDependencies);
    ~RelayRole();

    void start();
    // Calls fn with the caller limits of each route table that takes effect here.
    void onRouteTableChanged(std::function<void(const Routes::CallerLimits&)> fn);
    void relay(const Relay::CallPtr&, Relay::Engine::Done);
    // Handles a message of the service Relay.
    void handle(std::string_view bytes, const Peer::Reply&);
    // Returns whether the load balancer should send callers here.
    bool isReady() const;
    // Reports not ready, takes no new bundles of other instances, and ends all calls by this time.
    void drain(Common::TimePoint answerBy);
    size_t inFlight() const;
    // Replaces the seeds after the settings were reloaded.
    void setSeeds(std::vector<Common::Address> peers);
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
