#pragma once

#include "Common/Timers.h"
#include "Limits/WindowRetryBudget.h"
#include "Observe/Metrics.h"
#include "Relay/Call.h"
#include "Relay/Gatherers.h"
#include "Roster/ServerView.h"
#include "Routes/Table.h"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace Relay {

// A bundle of a call's groups that a gatherer is asked for.
struct DelegatedCall {
    uint64_t bundle { 0 }; // Unique at the instance that asks.
    Common::TableNumber table; // Under which it was admitted.
    Common::Milliseconds waited; // Since the request came in.
    std::vector<size_t> groups; // Places in the route's list.
    CallPtr call;
};

// Asks for more of a bundle that was delivered: for so many further groups.
struct ResumeBundle {
    uint64_t bundle { 0 };
    size_t needed { 0 };
};

struct BundleRequest {
    Common::Address asker; // The instance that asks.
    std::variant<DelegatedCall, ResumeBundle> body;
};

// The way to other instances.
struct Peers {
    // An error of the reasons Unavailable, ConnectionFailed and Overloaded says that nothing was sent to servers.
    std::function<void(const Common::Address&, const BundleRequest&, Common::Milliseconds timeout,
        std::function<void(Common::Result<Answer>)> done)>
        gather;
    // Whether the instance answers anything within the timeout.
    std::function<void(const Common::Address&, Common::Milliseconds timeout, std::function<void(bool)> done)> probe;
};

struct EngineOptions {
    Roster::Peer self;
    Limits::RetryBudgetRule repeats;
    // Kept back from what the caller waits for, for the way of the answer.
    Common::Milliseconds returnMargin { 10 };
    // A request that is no longer needed may end by itself so long; then its connection is closed.
    Common::Milliseconds abandonGrace { 250 };
};

using ServersByGroup = std::map<Common::GroupName, std::vector<Roster::EligibleServer>>;

// Carries callers' requests to backend servers and answers back. Requests by id, connections by server, and queues,
// budgets and latencies by group are each kept in shards under their own locks.
class Engine {
public:
    Engine(EngineOptions, Dialect, Peers, Common::Timers&, Observe::Metrics&);
    ~Engine();

    void setTable(Routes::TablePtr);
    Routes::TablePtr table() const;
    void setServers(std::shared_ptr<const ServersByGroup>);
    // Instances like this one, this one among them.
    void setInstances(std::vector<Roster::Peer>);

    // done is called once, from any thread. NotFound: no route matches. Unavailable: there is no route table yet.
    using Done = std::function<void(Answer)>;
    void relay(const CallPtr&, Done);
    // Gathers for another instance. Unavailable if the call was admitted under another route table.
    void gather(const BundleRequest&, const std::function<void(Common::Result<Answer>)>& done);
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Relay
