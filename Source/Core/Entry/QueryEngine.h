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
    Common::RequestId id; // The caller's, or made up here.
    Common::RouteName route;
    std::string text;
    std::optional<Common::Milliseconds> timeLeft; // The route's deadline if absent; never longer than it.
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

// Runs lookups: carries out what Gather, Routing and Limits decide. Queries in flight, queues and statistics are in
// maps in shards, each under its own lock.
class QueryEngine {
public:
    explicit QueryEngine(const QueryDependencies&);
    ~QueryEngine();

    // done is called once, from any thread. An error means that the query got no answer at all; Overloaded,
    // Unavailable, NotFound and Quarantined say that nothing was sent.
    using Done = std::function<void(Common::Result<Gather::Answer>)>;
    void query(QueryRequest, Done done);
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
