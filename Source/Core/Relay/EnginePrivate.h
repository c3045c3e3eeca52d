#pragma once

#include "Common/ShardedMap.h"
#include "Limits/LoadShedder.h"
#include "Limits/WaitQueue.h"
#include "Observe/EventLog.h"
#include "Relay/Assembly.h"
#include "Relay/Engine.h"
#include "Relay/Query.h"
#include "Relay/ServerPool.h"
#include "Routing/LatencyStats.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>

// Private to Engine, EngineView, EngineGather and EngineSends.
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

struct Key {
    QueryId query;
    AttemptId attempt;

    friend bool operator==(const Key&, const Key&) = default;
};

struct KeyHash {
    size_t operator()(const Key& key) const
    {
        return std::hash<uint64_t> {}(key.query.value() * 0x9e3779b97f4a7c15U + key.attempt.value());
    }
};

// A request on its way to a server.
struct Flight {
    GroupName group;
    Common::BackendServerId server;
    ConnectionPtr connection;
    TimePoint sentAt;
    Purpose purpose { Purpose::First };
    bool isAbandoned { false };
};

// A bundle as its gatherer knows it.
struct BundleKey {
    Common::Address asker;
    uint64_t bundle { 0 };

    friend bool operator==(const BundleKey&, const BundleKey&) = default;
};

struct BundleKeyHash {
    size_t operator()(const BundleKey& key) const
    {
        return std::hash<Common::Address> {}(key.asker) ^ std::hash<uint64_t> {}(key.bundle);
    }
};

// One call and its query. The mutex serialises the events.
struct Running {
    std::mutex mutex;
    CallPtr call;
    Query query;
    Engine::Done done; // Called at the delivery and at the end, if it is set then.
    Common::TimerId wake;
    std::optional<BundleKey> bundle;
};

using RunningPtr = std::shared_ptr<Running>;

// What one instance asks itself.
struct Asked {
    std::vector<GroupName> groups;
    std::optional<BundleKey> bundle; // Nothing for a call to one server.
    bool areRepeats { false }; // Another send to them went out, or may have, for the same call.
};

// A bundle as the instance that asks knows it.
struct AskedBundle {
    uint64_t id { 0 };
    std::vector<size_t> groups; // Places in the route's list.
    std::optional<Common::Address> gatherer; // Nothing: this instance.
};

// A call that is gathered in several bundles. What is above the mutex does not change.
struct Gathering {
    CallPtr call;
    Routes::TablePtr table;
    const Routes::Route* route { nullptr };
    Times times;
    std::mutex mutex; // Guards what follows.
    Assembly assembly;
    std::vector<AskedBundle> bundles;
    Engine::Done done;

    void finish(Answer answer)
    {
        Engine::Done fn;
        {
            std::lock_guard lock(mutex);
            assembly.finished = true;
            fn = std::exchange(done, nullptr);
        }
        if (fn)
            fn(std::move(answer));
    }
};

using GatheringPtr = std::shared_ptr<Gathering>;

// A bundle that another instance gathers. Settled once: by its answer, or by the fallback.
struct Delegation {
    std::mutex mutex; // Guards done.
    Engine::Done done;
    GatheringPtr gathering;
    size_t index { 0 }; // Of the bundle.
    AskedBundle bundle;

    Engine::Done settle()
    {
        std::lock_guard lock(mutex);
        return std::exchange(done, nullptr);
    }
};

struct GroupState {
    Limits::WaitQueue waiting;
    Limits::WindowRetryBudget budget;
};

Common::Random& localRandom();
std::string toText(Milliseconds);

} // namespace Relay

template <> struct std::hash<Relay::Key> : Relay::KeyHash {
};
template <> struct std::hash<Relay::BundleKey> : Relay::BundleKeyHash {
};

namespace Relay {

struct Engine::Private : std::enable_shared_from_this<Engine::Private> {
    Private(EngineOptions o, Dialect d, Peers p, Common::Timers& t, Observe::Metrics& m)
        : options(std::move(o))
        , dialect(std::move(d))
        , peers(std::move(p))
        , timers(t)
        , metrics(m)
    {
    }

    const EngineOptions options;
    const Dialect dialect;
    const Peers peers;
    Common::Timers& timers;
    Observe::Metrics& metrics;

    std::atomic<uint64_t> nextQuery { 1 };
    std::atomic<uint64_t> nextPortion { 0 };
    std::atomic<int64_t> running { 0 };

    mutable std::mutex viewMutex; // Guards what follows; what the pointers point to does not change.
    Routes::TablePtr table;
    std::shared_ptr<const ServersByGroup> servers { std::make_shared<const ServersByGroup>() };
    std::vector<Roster::Peer> instances;
    Gatherers gatherers;
    std::set<GroupName> fanGroups; // Those that gatherers ask.
    std::set<GroupName> ownGroups; // Of these, those of lanes that this instance owns.
    GathererHealth health;

    Common::ShardedMap<QueryId, RunningPtr> queries;
    Common::ShardedMap<BundleKey, QueryId> bundles;
    std::atomic<uint64_t> nextBundle { 1 };
    Common::ShardedMap<Key, Flight> flights;
    Common::ShardedMap<GroupName, GroupState> groups;
    Common::ShardedMap<GroupName, Limits::LoadShedder> shedders; // By the first group of a fan.
    Common::ShardedMap<Common::RouteName, Routing::LatencyStats> latencies; // Of sub-requests.
    ServerPool pool;

    void relay(const CallPtr&, Done);
    void run(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Asked&, const Times&, Done);
    void gather(const CallPtr&, const Routes::TablePtr&, const Routes::Route&, const Times&, Done);
    void gatherBundle(const GatheringPtr&, size_t index);
    void runBundle(const Gathering&, const AskedBundle&, bool areRepeats, Done);
    void bundleEnded(const GatheringPtr&, size_t index, Answer);
    void resumeBundle(const GatheringPtr&, const ResumePart&);
    void resumeHere(const BundleKey&, size_t needed, const Done&);
    std::vector<Bundle> bundlesOf(const Routes::Fan&);
    std::vector<AskedBundle> askedBundlesOf(const Routes::Fan&, TimePoint now);
    size_t unservedGroups(const Routes::Fan&) const;
    void delegate(const std::shared_ptr<Delegation>&);
    void handOver(const std::shared_ptr<Delegation>&);
    void fallBack(const std::shared_ptr<Delegation>&, bool mayHaveSent, const std::string& why);
    void probeLater(const std::shared_ptr<Delegation>&);
    void refuse(const CallPtr&, const Routes::TablePtr&, Reason, const std::string&, Milliseconds, const Done&);
    Times timesOf(const Relay::Call&, const Routes::Route&, TimePoint arrived, Milliseconds extraMargin) const;
    void chooseAgain();
    std::optional<Common::Error> overloaded(const Query&, TimePoint now);
    void perform(const RunningPtr&, QueryId, Effects);
    void perform(const RunningPtr&, QueryId, const Send&);
    void perform(const RunningPtr&, QueryId, const Abandon&);
    void perform(const RunningPtr&, QueryId, const WakeAt&);
    void perform(const RunningPtr&, QueryId, Finish&);
    void perform(const RunningPtr&, QueryId, Deliver&);
    void perform(const RunningPtr&, QueryId, const Forget&);
    void end(const RunningPtr&, QueryId);
    bool trySend(const RunningPtr&, const Key&, const Send&, const GroupName&);
    void transmit(const RunningPtr&, const Key&, const ConnectionPtr&, const Common::BackendServerId&);
    void ended(const RunningPtr&, const Key&, const Common::Result<Http::Response>&);
    void serveWaiters(const GroupName&);
    void logAnswer(Observe::Event event, const Relay::Call&, const Routes::Table&, const Routes::Route&, const Answer&,
        Milliseconds took, const std::string& what);
    void noteEnd(const Running&, const Answer&);

    std::shared_ptr<const std::vector<Roster::EligibleServer>> serversOf(const GroupName&) const;
    Connections connectionsOf(const Routes::Table&, const GroupName&) const;
    size_t sharersOf(const GroupName&) const;
    size_t repeatSharersOf(const GroupName&) const;
    std::optional<Milliseconds> hedgeDelayOf(const Query&, TimePoint now);

    template <typename Function> void step(const RunningPtr& running, QueryId id, Function&& fn)
    {
        Effects effects;
        {
            std::lock_guard lock(running->mutex);
            effects = fn(running->query);
        }
        perform(running, id, std::move(effects));
    }
};

} // namespace Relay
