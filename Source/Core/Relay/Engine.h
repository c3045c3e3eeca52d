#pragma once

#include "Common/Timers.h"
#include "Limits/RepeatBudget.h"
#include "Observe/Metrics.h"
#include "Relay/Call.h"
#include "Roster/Merged.h"
#include "Routes/Table.h"

#include <functional>
#include <map>
#include <memory>

namespace Relay {

struct EngineOptions {
    Common::FailureDomain domain;
    Limits::RepeatRule repeats;
    // Kept back from what the caller waits for, for the way of the answer.
    Common::Milliseconds returnMargin { 10 };
    // A request that is no longer needed may end by itself so long; then its connection is closed.
    Common::Milliseconds abandonGrace { 250 };
};

using ServersByGroup = std::map<Common::GroupName, std::vector<Roster::Usable>>;

// Carries callers' requests to backend servers and answers back. Requests by id, connections by server, and queues,
// budgets and latencies by group are each kept in shards under their own locks.
class Engine {
public:
    Engine(EngineOptions, Dialect, Common::Timers&, Observe::Metrics&);
    ~Engine();

    void setTable(Routes::TablePtr);
    Routes::TablePtr table() const;
    void setServers(std::shared_ptr<const ServersByGroup>);
    // Instances like this one that send to the same servers.
    void setInstances(size_t);

    // done is called once, from any thread. NotFound: no route matches. Unavailable: there is no route table yet.
    using Done = std::function<void(Answer)>;
    void relay(CallPtr, Done);
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Relay
