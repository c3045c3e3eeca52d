#pragma once

#include "Common/ShardedMap.h"
#include "Limits/LoadShedder.h"
#include "Limits/RetryAfter.h"
#include "Limits/SenderHistory.h"
#include "Limits/WaitQueue.h"
#include "Observe/EventLog.h"
#include "Relay/Assembly.h"
#include "Relay/EffectQueue.h"
#include "Relay/Engine.h"
#include "Relay/HeldCalls.h"
#include "Relay/Query.h"
#include "Relay/ServerPool.h"
#include "Relay/TenantQuotas.h"
#include "Routing/LatencyStats.h"

#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>

// Internal to the files Engine*.cpp.
namespace Relay {

using Common::AttemptId;
using Common::Clock;
using Common::Connections;
using Common::GroupName;
using Common::Milliseconds;
using Common::QueryId;
using Common::Reason;
using Common::TimePoint;
using Observe::Counter;

struct AttemptKey {
    QueryId query;
    AttemptId attempt;

    friend bool operator==(const AttemptKey&, const AttemptKey&) = default;
};

struct AttemptKeyHash {
    size_t operator()(const AttemptKey& key) const
    {
        return std::hash<uint64_t> {}(key.query.value() * 0x9e3779b97f4a7c15U + key.attempt.value());
    }
};

// A request sent to a server and not yet finished.
struct InFlightRequest {
    GroupName group;
    Common::BackendServerId server;
    Common::Incarnation incarnation; // Of the server.
    Common::FailureDomain domain; // Of the server.
    ConnectionPtr connection;
    Http::ExchangeId exchange; // On the connection.
    TimePoint sentAt;
    Purpose purpose { Purpose::First };
    bool isAbandoned { false };
};

// A call and its query. The mutex serialises the query's events.
struct ActiveCall {
    std::mutex mutex;
    CallPtr call;
    std::string requestHead; // Shared by the call's requests to servers.
    Query query;
    EffectQueue effects;
    Engine::Done done; // Called at delivery and at the end, if set at that time.
    Common::TimerId wake;
    std::optional<BundleKey> bundle;
    Limits::CallerClass caller; // Immutable.
};

using ActiveCallPtr = std::shared_ptr<ActiveCall>;

// Groups that this instance requests from servers itself.
struct LocalRequest {
    std::vector<GroupName> groups;
    std::optional<BundleKey> bundle; // Empty for a call to a single server.
    bool mayHaveBeenSent { false }; // Another instance has sent, or may have sent, to these groups for the same call.
};

// A bundle at the instance that requested it.
struct RequestedBundle {
    BundleId id;
    std::vector<size_t> groups; // Indexes in the route's FanOut::groups.
    std::optional<Common::Address> gatherer; // Empty if this instance gathers it.
};

using GatheringId = Common::StrongId<struct GatheringIdTag, uint64_t>;

// A call that is gathered in several bundles. The members before the mutex are immutable.
struct Gathering {
    GatheringId id;
    CallPtr call;
    Routes::TablePtr table;
    const Routes::Route* route { nullptr };
    Times times;
    std::mutex mutex; // Guards the members below.
    Assembly assembly;
    std::vector<RequestedBundle> bundles;
    std::vector<BundleProgress> progress; // One per bundle.
    Engine::Done done;
};

using GatheringPtr = std::shared_ptr<Gathering>;

struct GroupState {
    Limits::WaitQueue waiting;
    Limits::WindowRetryBudget budget;
    TimePoint wakeAt; // Of the timer that serves the waiters, if it is still to come.
};

// Assumed until the control instances have reported the number of instances.
inline constexpr size_t assumedInstances = 16;
inline constexpr TimePoint never { Milliseconds(std::numeric_limits<double>::infinity()) };
inline constexpr const char* stoppingText = "this instance is stopping";
inline constexpr const char* quarantineText = "servers were lost each time that this request ran";

// A refusal before anything was sent.
struct AdmissionRefusal {
    Common::Error error;
    Milliseconds capacityIn; // When the request is expected to be admitted.
};

Common::Random& localRandom();
std::string toText(Milliseconds);

} // namespace Relay

template <> struct std::hash<Relay::AttemptKey> : Relay::AttemptKeyHash {
};

namespace Relay {

struct Engine::Private : std::enable_shared_from_this<Engine::Private> {
    Private(EngineOptions o, BackendCodec d, Peers p, Common::Timers& t, Observe::Metrics& m,
        std::shared_ptr<Suspects::Board> s)
        : options(std::move(o))
        , backendCodec(std::move(d))
        , peers(std::move(p))
        , timers(t)
        , metrics(m)
        , suspects(std::move(s))
    {
    }

    const EngineOptions options;
    const BackendCodec backendCodec;
    const Peers peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    const std::shared_ptr<Suspects::Board> suspects;

    std::atomic<TimePoint> stopAt { never }; // When all calls end because this instance stops.
    std::atomic<uint64_t> nextQuery { 1 };
    std::atomic<uint64_t> nextGroupChoice { 0 };
    std::atomic<int64_t> pendingOperations { 0 };

    mutable std::mutex viewMutex; // Guards the members down to health. The objects behind the pointers are immutable.
    Routes::TablePtr table;
    std::shared_ptr<const ServersByGroup> servers { std::make_shared<const ServersByGroup>() };
    std::vector<Roster::Peer> instances;
    Gatherers gatherers;
    std::map<GroupName, size_t> partitions; // See partitionCounts().
    std::set<GroupName> fanOutGroups; // Groups of all fan-out routes, served through gatherers.
    std::set<GroupName> ownedGroups; // The subset in partitions that this instance owns.
    std::map<GroupName, Limits::SenderHistory> retrySenders; // Of the groups in the table.
    std::map<GroupName, size_t> partitionOfGroup; // Of the groups of all fan-out routes.
    std::map<GroupName, std::set<int>> prioritiesOver; // Of the fan-out routes, by their first group.
    TimePoint viewConfirmedAt;
    std::shared_ptr<const Limits::KeeperView> keeperView { std::make_shared<const Limits::KeeperView>() };
    std::optional<TimePoint> viewSince; // When the table and the instances were first known.
    GathererHealth health;
    std::optional<TimePoint> tableKnownAt; // Guarded by viewMutex too.

    struct WaitingCall {
        CallPtr call;
        TimePoint arrived;
        Done done;
    };
    std::mutex heldMutex; // Guards the members down to overdueCheckAt. Locked before viewMutex.
    HeldCalls heldCalls;
    std::map<HeldCallId, WaitingCall> waitingCalls; // The same ids as in heldCalls.
    std::optional<TimePoint> overdueCheckAt;

    Common::ShardedMap<QueryId, ActiveCallPtr> queries;
    std::atomic<uint64_t> nextGathering { 1 };
    Common::ShardedMap<GatheringId, std::weak_ptr<Gathering>> gatherings; // Not answered yet.
    std::atomic<bool> isSweepScheduled { false };
    TimePoint workedAt; // When a sweep last found work. Of the scheduled sweep alone.
    Common::ShardedMap<BundleKey, QueryId> bundles;
    std::atomic<uint64_t> nextBundle { 1 };
    std::mutex returnPathsMutex;
    Routing::LatencyStats returnPaths; // Time of bundles that their gatherers did not spend, guarded by the mutex.
    Common::ShardedMap<AttemptKey, InFlightRequest> inFlightRequests;
    Common::ShardedMap<GroupName, GroupState> groups;
    Common::ShardedMap<GroupName, Limits::LoadShedder> shedders; // Keyed by the first group of the fan-out.
    Common::ShardedMap<Common::RouteName, Routing::LatencyStats> latencies; // Of sub-requests.
    ServerPool pool { options.usesPace ? ServerPool::Pace::Adaptive : ServerPool::Pace::Unlimited };
    std::atomic<bool> hasWarmupRates { false }; // Of the table.
    TenantQuotas quotas;
    TimePoint quotasSweptAt; // On the boot clock.

    void relay(const CallPtr&, Done);
    void admit(const CallPtr&, TimePoint arrived, bool mayHold, Done);
    bool shouldWaitForServers(const Routes::Route&, TimePoint now) const;
    bool holdCall(const CallPtr&, std::optional<Milliseconds> objective, TimePoint arrived, Done&);
    WaitingCall takeWaiting(HeldCallId);
    void dropHeld(HeldCallId);
    void scheduleOverdueCheck();
    void reviewHeldCalls();
    // The priority and the tenant of a call that was identified under this table.
    Limits::CallerClass callerClassOf(const Relay::Call&, const Routes::Table&, const Routes::Route&) const;
    void forward(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Times&, Done);
    void admitByQuota(
        const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const NumberedQuota&, const Times&, const Done&);
    void refuseByQuota(const CallPtr&, const Routes::TablePtr&, const QuotaEffects::Refusal&,
        const Limits::RateGrantor& deniedBy, const Done&);
    void claimTokens(const Common::TenantName&, const QuotaEffects::Claim&);
    QuotaContext quotaContext(const Common::TenantName&, TimePoint now) const;
    Limits::KeeperView& changeKeeperView();
    bool refuseAtOnce(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Done&);
    void run(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const LocalRequest&, const Times&, Done);
    void gather(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Times&, Done);
    void startBundle(const GatheringPtr&, size_t index);
    void sendBundle(const GatheringPtr&, size_t index);
    void gathererAnswered(const GatheringPtr&, size_t index, const Common::Result<BundleAnswer>&);
    void gatherLocally(const GatheringPtr&, size_t index, bool mayHaveBeenSent);
    void passBy(const GatheringPtr&, size_t index, bool mayHaveSent, const std::string& why);
    void bundleAnswered(const GatheringPtr&, size_t index, Answer);
    void take(const GatheringPtr&, AssemblyStep);
    void resumeBundle(const GatheringPtr&, const ResumePart&);
    void resumeLocally(const BundleKey&, const Common::RequestId&, size_t needed, const Done&);
    void endGathering(const GatheringPtr&, Answer);
    void cancelBundle(const GatheringPtr&, size_t index);
    void cancelIfEnded(const GatheringPtr&, size_t index);
    void cancelLocally(const BundleKey&, const Common::RequestId&);
    void check(const GatheringPtr&);
    void checkAt(const GatheringPtr&, TimePoint);
    void probeGatherer(const GatheringPtr&, size_t index);
    Milliseconds returnMargin();
    size_t partitionsOf(const Routes::FanOut&) const;
    std::vector<Bundle> bundlesOf(const Routes::FanOut&);
    bool refuseIfQuarantined(const CallPtr&, const Routes::TablePtr&, const Routes::FanOut&, const Done&);
    std::vector<RequestedBundle> requestedBundlesOf(const Relay::Call&, const Routes::FanOut&, TimePoint now);
    size_t unservedGroups(const Routes::FanOut&) const;
    void refuse(const CallPtr&, const Routes::TablePtr&, Reason, const std::string&, Milliseconds, const Done&);
    Times timesOf(const Relay::Call&, const Routes::Route&, TimePoint arrived) const;
    void updateGatherers();
    std::optional<AdmissionRefusal> checkOverload(const Query&, const Limits::CallerClass&, TimePoint now);
    bool refuseIfShed(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Times&, const Done&);
    Milliseconds serviceTimeOf(const Common::RouteName&);
    void performAll(const ActiveCallPtr&, QueryId);
    void perform(const ActiveCallPtr&, QueryId, const Send&);
    void perform(const ActiveCallPtr&, QueryId, const Abandon&);
    void perform(const ActiveCallPtr&, QueryId, const WakeAt&);
    void perform(const ActiveCallPtr&, QueryId, Finish&);
    void perform(const ActiveCallPtr&, QueryId, Deliver&);
    void perform(const ActiveCallPtr&, QueryId, const Expire&);
    void endQuery(const ActiveCallPtr&, QueryId);
    bool trySend(const ActiveCallPtr&, const AttemptKey&, const Send&, const GroupName&);
    void transmit(const ActiveCallPtr&, const AttemptKey&, const ConnectionPtr&, const Common::BackendServerId&);
    void requestEnded(const ActiveCallPtr&, const AttemptKey&, const Common::Result<Http::Response>&);
    void recordNotice(const InFlightRequest&, const SubAnswer&, TimePoint now);
    void recordSurvival(const Relay::Call&, const InFlightRequest&, int status, TimePoint now);
    void recordStrike(const Relay::Call&, const InFlightRequest&, TimePoint now);
    bool refuseIfSuspect(const ActiveCallPtr&, const AttemptKey&, Purpose, const GroupName&);
    bool refuseIfClosed(const ActiveCallPtr&, const Limits::Waiter&, const GroupName&);
    void serveWaiters(const GroupName&);
    bool trySendWaiter(const Limits::Waiter&, const GroupName&);
    void refuseLateWaiters(const GroupName&);
    std::optional<Milliseconds> nextSendIn(
        const ActiveCall&, const std::vector<Common::BackendServerId>& avoid, const Targets&, TimePoint now);
    void serveWaitersIn(const GroupName&, Milliseconds, TimePoint now);
    void serveWaitersOnceOpen(const Limits::Waiter&, const GroupName&);
    void recordPace(const ActiveCall&, const InFlightRequest&, const Outcome&, TimePoint now);
    void logPace(const Common::BackendServerId&, const GroupName&, PaceChange);
    void logAnswer(Observe::Event event, const Relay::Call&, const Routes::Table&, const Routes::Route&, const Answer&,
        Milliseconds took, const std::string& what);
    void recordEnd(const ActiveCall&, const Answer&);
    void scheduleSweep();
    void sweep();
    void sweepQuotas();
    void endOverdueQueries(TimePoint now);
    void endOverdueGatherings(TimePoint now);
    void reportOverdue(const Relay::Call&, const Times&, const char* what);
    bool isStopping() const { return stopAt.load() != never; }
    // A null route: no table is known yet.
    bool refuseIfStopping(const CallPtr&, const Routes::TablePtr&, const Routes::Route*, const Done&);
    void stopBy(TimePoint);
    void limitWaiters(TimePoint);
    void endOpenQueries();
    void endOpenGatherings();
    std::vector<GatheringPtr> openGatherings();
    void countStopped(const Answer&);
    void updateGauges();

    std::shared_ptr<const std::vector<Roster::EligibleServer>> serversOf(const GroupName&) const;
    Targets targetsOf(const GroupName&, TimePoint now);
    Common::RequestRate warmupRateOf(const GroupName&) const;
    RateAccess rateAccess(const GroupName&, const Roster::EligibleServer&, TimePoint now) const;
    void askKeeper(const Targets&, size_t index, const GroupName&);
    Connections connectionsOf(const Routes::Table&, const GroupName&) const;
    size_t sendersOf(const GroupName&) const;
    std::optional<size_t> retrySendersOf(const GroupName&, TimePoint now) const;
    size_t currentRetrySenders(const GroupName&) const;
    void updateRetrySenders(TimePoint now);
    std::optional<Milliseconds> hedgeDelayOf(const Query&, TimePoint now);

    template <typename Function> void step(const ActiveCallPtr& active, QueryId id, Function&& fn)
    {
        bool mustPerform = false;
        {
            std::lock_guard lock(active->mutex);
            mustPerform = push(active->effects, fn(active->query));
        }
        if (mustPerform)
            performAll(active, id);
    }
};

} // namespace Relay
