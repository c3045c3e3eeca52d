#pragma once

#include "Common/Timers.h"
#include "Entry/ConfigurationView.h"
#include "Entry/LossDetector.h"
#include "Entry/MembershipService.h"
#include "Entry/ServerTable.h"
#include "Gather/Answer.h"
#include "Observe/Metrics.h"
#include "Observe/Timeline.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Entry {

struct QueryRequest {
    Common::RequestId id; // From the caller, or generated here.
    Common::RouteName route;
    std::string text;
    std::optional<Common::Milliseconds> timeLeft; // Defaults to the route's deadline, which also limits it.
};

struct QueryDependencies {
    Common::InstanceId self;
    const Settings::Entry& settings;
    const ConfigurationView& configuration;
    ServerTable& servers;
    MembershipService& membership;
    LossDetector& losses;
    Backend::Client& backend;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// Runs lookup queries: carries out the decisions of the libraries Gather, Routing and Limits. Queries in flight, wait
// queues and statistics are in sharded maps with a lock per shard.
class QueryEngine {
public:
    explicit QueryEngine(const QueryDependencies&);
    ~QueryEngine();

    // Calls done once, from any thread. An error means that there is not even a partial answer; Overloaded,
    // Unavailable, NotFound and Quarantined mean that nothing was sent.
    using Done = std::function<void(Common::Result<Gather::Answer>)>;
    void query(QueryRequest, Done done);
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
