#pragma once

#include "Common/Timers.h"
#include "Limits/ServerRate.h"
#include "Limits/WindowRetryBudget.h"
#include "Observe/Metrics.h"
#include "Relay/Call.h"
#include "Relay/Delegation.h"
#include "Relay/Gatherers.h"
#include "Relay/TenantQuotas.h"
#include "Roster/ServerView.h"
#include "Routes/Table.h"
#include "Suspects/Board.h"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace Relay {

// A bundle of a call's groups, sent to a gatherer.
struct DelegatedCall {
    BundleId bundle;
    Common::TableNumber table; // The table under which the call was admitted.
    Common::Milliseconds waited; // Time since the call arrived.
    std::optional<Common::Milliseconds> objectiveIn; // Time until the requester needs the answers that are in by then.
    std::vector<size_t> groups; // Indexes in the route's FanOut::groups.
    CallPtr call;
};

// Requests this many further groups of a bundle that was already delivered.
struct ResumeBundle {
    BundleId bundle;
    Common::RequestId call;
    size_t needed { 0 };
};

struct BundleRequest {
    Common::Address requester; // The requesting instance.
    std::variant<DelegatedCall, ResumeBundle> body;
};

// Ends the work on a bundle whose answer nobody waits for. Without effect if the bundle has ended, or is not known yet;
// then, or if this is lost, it ends by itself as any other bundle.
struct CancelBundle {
    Common::Address requester;
    BundleId bundle;
    Common::RequestId call;
};

// A gatherer's answer.
struct BundleAnswer {
    Answer answer;
    Common::RequestId call; // The call that it belongs to.
    Common::Milliseconds took; // From the request's arrival at the gatherer to this answer.
};

// Messages to other instances.
struct Peers {
    // The errors Unavailable, ConnectionFailed and Overloaded guarantee that nothing was sent to servers.
    std::function<void(const Common::Address&, const BundleRequest&, Common::Milliseconds timeout,
        std::function<void(Common::Result<BundleAnswer>)> done)>
        gather;
    std::function<void(const Common::Address&, const CancelBundle&)> cancel;
    // Reports whether the instance responds within the timeout.
    std::function<void(const Common::Address&, Common::Milliseconds timeout, std::function<void(bool)> done)> probe;
    // Asks the keeper of a server for tokens.
    std::function<void(const Common::Address&, const Limits::RateClaim&, Common::Milliseconds timeout,
        std::function<void(Common::Result<Limits::RateGrant>)> done)>
        claimRate;
    // Asks the keeper of a tenant's quota, or its substitute, for tokens.
    std::function<void(const Common::Address&, const TenantRateClaim&, Common::Milliseconds timeout,
        std::function<void(Common::Result<Limits::RateGrant>)> done)>
        claimTenantRate;
};

struct EngineOptions {
    Roster::Peer self;
    Common::Incarnation incarnation;
    double processorShare { 1 }; // Of a core, of each instance.
    // Calls of more urgent routes and tenants go first where capacity is short. Otherwise all calls are alike.
    bool usesPriorities { false };
    bool usesPace { false }; // Servers that have just started or recovered get requests at an adaptive pace.
    Limits::RetryBudgetRule retryBudget;
    QuotaBounds quotaBounds;
    // Subtracted from the caller's time limit to leave time for returning the answer.
    Common::Milliseconds returnMargin { 10 };
    // An abandoned request may finish within this time. Then its connection is closed.
    Common::Milliseconds abandonGrace { 250 };
};

using ServersByGroup = std::map<Common::GroupName, std::vector<Roster::EligibleServer>>;

// Forwards calls to backend servers and returns their answers. State is sharded, each shard under its own lock:
// requests by id, connections by server, and wait queues, retry budgets and latencies by group.
class Engine {
public:
    // The board holds what is known of requests that crash servers.
    Engine(EngineOptions, BackendCodec, Peers, Common::Timers&, Observe::Metrics&, std::shared_ptr<Suspects::Board>);
    ~Engine();

    void setTable(Routes::TablePtr);
    // Admits the calls that were held until a table is known. To be called after setTable(), with no lock held.
    void admitHeldCalls();
    Routes::TablePtr table() const;
    void setServers(std::shared_ptr<const ServersByGroup>);
    // All relay instances, including this one.
    void setInstances(std::vector<Roster::Peer>);
    // A control instance has just confirmed the view of instances and servers.
    void confirmView();
    // A control instance with an up-to-date log has answered a request that was sent at this time of the boot clock.
    // For some time after it, this instance may keep the quotas of tenants.
    void confirmContact(Common::TimePoint sentAt);
    // Gives out no more tokens of tenants to others.
    void setLeaving();
    // Ends all calls at this time: those that are gathered with the answers so far, if they are enough, those that no
    // server has received with a refusal, and others with an error that does not say whether they ran. Calls that can't
    // be answered by then are refused at once.
    void stopBy(Common::TimePoint);

    // done is called exactly once, on any thread. NotFound: no route matches. Unavailable: no route table has been
    // received in the time for which a call may be held.
    using Done = std::function<void(Answer)>;
    void relay(const CallPtr&, Done);
    // Gathers a bundle for another instance. Unavailable if the call was admitted under another route table.
    void gather(const BundleRequest&, const std::function<void(Common::Result<BundleAnswer>)>& done);
    void cancel(const CancelBundle&);
    // Answers another instance that asks for tokens of a server.
    Limits::RateGrant grant(const Limits::RateClaim&);
    Limits::RateGrant grant(const TenantRateClaim&);
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Relay
