#include "Relay/Engine.h"

#include "Limits/LoadShedder.h"
#include "Limits/WaitQueue.h"
#include "Observe/EventLog.h"
#include "Relay/Assembly.h"
#include "Relay/Query.h"
#include "Relay/ServerPool.h"
#include "Routing/LatencyStats.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <variant>

using Common::AttemptId;
using Common::Clock;
using Common::Connections;
using Common::GroupName;
using Common::Milliseconds;
using Common::QueryId;
using Common::Reason;
using Common::TimePoint;
using Observe::Counter;

namespace Relay {

namespace {

    // Before the control instances have told how many there are.
    constexpr size_t unknownInstances = 16;
    // Connections of this instance to one server, however many it accepts.
    constexpr int64_t maximumConnections = 8;
    // Of what a server accepts: while its queue is long it accepts fewer, and those that were closed count for a while.
    constexpr double usedConnections = 0.8;
    // Gatherers are so few that each may hold that many connections to every server.
    constexpr int64_t connectionsOfAGatherer = 4;
    // An instance that does not gather does so only when those that do are lost: its part in the minimum of repeats
    // is that much smaller.
    constexpr size_t fallbackFactor = 5;
    // The way between two instances and back, kept back from the time in which an answer is wanted.
    constexpr Milliseconds delegationMargin { 3 };
    // A gatherer that has not answered so long after the aim is probed, and passed by if it is silent.
    constexpr Milliseconds probeAfterAim { 10 };
    constexpr Milliseconds probeTimeout { 40 };
    // Answers of bundles come so long after the aim, and are in time all the same.
    constexpr Milliseconds lateSlack { 8 };
    constexpr Milliseconds gathererPause { 1'500 };
    constexpr Milliseconds refusedRetryAfter { 50 };
    // Servers make themselves known about each second.
    constexpr Milliseconds unservedRetryAfter { 250 };
    // A request is hedged once it has taken longer than this share of the observed ones.
    constexpr double hedgeQuantile = 0.9;
    constexpr Milliseconds shortestHedgeDelay { 8 };
    // Of the budget for repeats; the rest is for retries, without which a group is lost.
    constexpr double hedgesPart = 0.65;
    // Samples before the observed latencies are used.
    constexpr double enoughSamples = 20;
    // Until then: this part of the time in which an answer is worth most.
    constexpr double unknownHedgePart = 0.35;
    // One in so many served requests is logged; all others are.
    constexpr uint64_t servedLogged = 64;

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
        Limits::RepeatBudget budget;
    };

    Common::Random& localRandom()
    {
        static thread_local Common::Random random(std::hash<std::thread::id> {}(std::this_thread::get_id()));
        return random;
    }

    double randomChance() { return localRandom().unit(); }

    const char* purposeName(Purpose purpose)
    {
        switch (purpose) {
        case Purpose::First:
            return "first";
        case Purpose::Retry:
            return "retry";
        case Purpose::Hedge:
            return "hedge";
        }
        return "";
    }

    Outcome::Kind kindOf(SubAnswer::Outcome outcome)
    {
        switch (outcome) {
        case SubAnswer::Outcome::Success:
            return Outcome::Kind::Answered;
        case SubAnswer::Outcome::NotRun:
            return Outcome::Kind::Shed;
        case SubAnswer::Outcome::OtherServer:
            return Outcome::Kind::Misdirected;
        case SubAnswer::Outcome::Failure:
        case SubAnswer::Outcome::Unusable:
            return Outcome::Kind::Failed;
        }
        return Outcome::Kind::Failed;
    }

    // `ran`: servers of each on which the call may have run.
    std::vector<GroupName> groupsAt(const Routes::Fan& fan, const std::vector<size_t>& places)
    {
        std::vector<GroupName> groups;
        groups.reserve(places.size());
        for (size_t place : places)
            groups.push_back(fan.groups[place]);
        return groups;
    }

    std::string toText(Milliseconds time) { return std::to_string(std::lround(time.value())); }

} // namespace
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
    GathererPauses pauses;

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
    size_t unservedGroups(const Routes::Fan&) const;
    void delegate(const std::shared_ptr<Delegation>&);
    void fallBack(const std::shared_ptr<Delegation>&, bool mayHaveSent, const std::string& why);
    void probeLater(const std::shared_ptr<Delegation>&);
    void refuse(const CallPtr&, const Routes::TablePtr&, Reason, const std::string&, Milliseconds, const Done&);
    Times timesOf(const Relay::Call&, const Routes::Route&, TimePoint arrived, Milliseconds extraMargin) const;
    std::optional<Common::Address> gathererFor(const Common::FailureDomain&, TimePoint now);
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
    void logAnswer(const char* event, const Relay::Call&, const Routes::Table&, const Routes::Route&, const Answer&,
        Milliseconds took, const std::string& what);
    void noteEnd(const Running&, const Answer&);

    std::vector<Roster::Usable> serversOf(const GroupName&) const;
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

std::vector<Roster::Usable> Engine::Private::serversOf(const GroupName& group) const
{
    std::shared_ptr<const ServersByGroup> now;
    {
        std::lock_guard lock(viewMutex);
        now = servers;
    }
    auto it = now->find(group);
    return it == now->end() ? std::vector<Roster::Usable>() : it->second;
}

// Instances that send to the servers of a group.
size_t Engine::Private::sharersOf(const GroupName& group) const
{
    std::lock_guard lock(viewMutex);
    if (instances.empty())
        return unknownInstances;
    bool isGathered = !gatherers.empty() && fanGroups.count(group);
    if (!isGathered)
        return instances.size();
    return isGatherer(gatherers, options.self.address) ? gatherers.size() : unknownInstances * fallbackFactor;
}

size_t Engine::Private::repeatSharersOf(const GroupName& group) const
{
    size_t sharers = sharersOf(group);
    std::lock_guard lock(viewMutex);
    bool isOther = !gatherers.empty() && fanGroups.count(group) && !isGatherer(gatherers, options.self.address);
    return isOther ? std::max(sharers, instances.size() * fallbackFactor) : sharers;
}

Connections Engine::Private::connectionsOf(const Routes::Table& routes, const GroupName& name) const
{
    const Routes::Group* group = Routes::findGroup(routes, name);
    double limit = group ? static_cast<double>(group->connectionLimit.value()) * usedConnections : 1;
    auto share = static_cast<int64_t>(limit / static_cast<double>(sharersOf(name)));
    return Connections(std::clamp<int64_t>(share, 1, maximumConnections));
}

// Called with viewMutex held, when something that the choice rests on has changed.
void Engine::Private::chooseAgain()
{
    fanGroups.clear();
    std::map<Common::FailureDomain, size_t> domains;
    int64_t limit = INT64_MAX;
    for (const Routes::Route& route : table ? table->routes : std::vector<Routes::Route>()) {
        for (const GroupName& name : route.fan ? route.fan->groups : std::vector<GroupName>()) {
            if (!fanGroups.insert(name).second)
                continue;
            if (const Routes::Group* group = Routes::findGroup(*table, name))
                limit = std::min(limit, group->connectionLimit.value());
            auto it = servers->find(name);
            for (const Roster::Usable& server : it == servers->end() ? std::vector<Roster::Usable>() : it->second)
                ++domains[server.domain];
        }
    }
    size_t maximum = static_cast<size_t>(std::max<int64_t>(2, limit / connectionsOfAGatherer));
    gatherers = domains.empty() ? Gatherers() : chooseGatherers(instances, domains, maximum);
}

std::optional<Common::Address> Engine::Private::gathererFor(const Common::FailureDomain& domain, TimePoint now)
{
    std::lock_guard lock(viewMutex);
    return pickGatherer(gatherers, domain, options.self, pauses, localRandom(), now);
}

std::optional<Milliseconds> Engine::Private::hedgeDelayOf(const Query& query, TimePoint now)
{
    Milliseconds delay;
    latencies.withValue(query.route->name, [&](Routing::LatencyStats& stats) {
        if (stats.total >= enoughSamples)
            delay = Routing::quantile(stats, hedgeQuantile);
    });
    if (delay.value() <= 0)
        delay = query.route->aim * unknownHedgePart;
    delay = std::max(delay, shortestHedgeDelay);
    if (now + delay >= query.times.end)
        return std::nullopt;
    return delay;
}

// Whole calls are refused before anything is sent, when more groups than may be missing have longer queues here than
// the time in which the answer is wanted.
std::optional<Common::Error> Engine::Private::overloaded(const Query& query, TimePoint now)
{
    Milliseconds service;
    latencies.withValue(
        query.route->name, [&](Routing::LatencyStats& stats) { service = Routing::quantile(stats, 0.5); });
    const auto& fan = query.route->fan;
    size_t mayMiss = fan ? query.parts.size() - neededGroups(*fan, query.parts.size()) : 0;
    size_t late = 0;
    for (const Relay::Part& part : query.parts) {
        size_t ahead = groups.withValue(
            part.group, [&](GroupState& state) { return Limits::waitersAhead(state.waiting, query.route->name); });
        if (!ahead)
            continue;
        double slots = static_cast<double>(serversOf(part.group).size())
            * static_cast<double>(connectionsOf(*query.table, part.group).value());
        Limits::Backlog backlog { ahead, false, std::max(slots, 1.0), service };
        late += now + Limits::estimatedTime(backlog) > query.times.aim ? 1 : 0;
    }
    if (late <= mayMiss)
        return std::nullopt;
    return Common::makeError(
        Reason::Overloaded, "admit", std::to_string(late) + " groups have longer queues than the aim");
}

void Engine::Private::refuse(const CallPtr& call, const Routes::TablePtr& routes, Reason reason,
    const std::string& message, Milliseconds retryAfter, const Done& done)
{
    metrics.count(Counter::Refusals, Common::reasonCode(reason));
    Observe::logEvent(Observe::Part::Relay, "refused",
        { { "request", call->id.value() }, { "reason", Common::reasonCode(reason) }, { "why", message },
            { "host", call->host }, { "path", call->path },
            { "table", std::to_string(routes ? routes->number.value() : 0) } });
    done(Refusal { Common::makeError(reason, "admit", message), true, retryAfter });
}

Times Engine::Private::timesOf(
    const Relay::Call& call, const Routes::Route& route, TimePoint arrived, Milliseconds extraMargin) const
{
    Milliseconds margin = options.returnMargin + extraMargin;
    Milliseconds wait = std::min(call.timeLeft.value_or(route.timeout), route.timeout) - margin;
    Times times { arrived, arrived + route.aim - margin, arrived + wait };
    times.aim = std::min(times.aim, times.end);
    return times;
}

void Engine::Private::relay(const CallPtr& call, Done done)
{
    auto now = Clock::now();
    Routes::TablePtr routes;
    {
        std::lock_guard lock(viewMutex);
        routes = table;
    }
    if (!routes) {
        refuse(call, routes, Reason::Unavailable, "no route table is known yet", refusedRetryAfter, done);
        return;
    }
    const Routes::Route* route = Routes::match(*routes, call->host, call->path);
    if (!route) {
        refuse(call, routes, Reason::NotFound, "no route matches", Milliseconds(0), done);
        return;
    }
    Times times = timesOf(*call, *route, now, Milliseconds(0));
    if (route->fan)
        gather(call, routes, *route, times, std::move(done));
    else
        run(call, routes, *route, { { Routes::choosePortion(*route, nextPortion++).group }, std::nullopt, false },
            times, std::move(done));
}

std::vector<Bundle> Engine::Private::bundlesOf(const Routes::Fan& fan)
{
    std::shared_ptr<const ServersByGroup> view;
    std::set<Common::FailureDomain> served;
    {
        std::lock_guard lock(viewMutex);
        view = servers;
        for (const Roster::Peer& peer : gatherers)
            served.insert(peer.domain);
    }
    std::vector<std::vector<Common::FailureDomain>> domains(fan.groups.size());
    for (size_t i = 0; i < fan.groups.size(); ++i) {
        auto it = view->find(fan.groups[i]);
        for (const Roster::Usable& server : it == view->end() ? std::vector<Roster::Usable>() : it->second) {
            if (served.count(server.domain))
                domains[i].push_back(server.domain);
        }
    }
    return planBundles(domains, options.self.domain, nextQuery++);
}

size_t Engine::Private::unservedGroups(const Routes::Fan& fan) const
{
    std::lock_guard lock(viewMutex);
    return static_cast<size_t>(std::count_if(
        fan.groups.begin(), fan.groups.end(), [this](const GroupName& name) { return !servers->count(name); }));
}

// Asks the groups in bundles, each in a failure domain that has servers of all of them.
void Engine::Private::gather(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Times& times, Done done)
{
    size_t unserved = unservedGroups(*route.fan);
    if (unserved > route.fan->groups.size() - neededGroups(*route.fan, route.fan->groups.size())) {
        refuse(call, routes, Reason::Unavailable, std::to_string(unserved) + " groups have no known server",
            unservedRetryAfter, done);
        return;
    }
    const GroupName shedKey = route.fan->groups.front();
    double chance = randomChance();
    bool isTaken
        = shedders.withValue(shedKey, [&](Limits::LoadShedder& shedder) { return Limits::admits(shedder, chance); });
    if (!isTaken) {
        refuse(call, routes, Reason::Overloaded, "too many answers are late", refusedRetryAfter, done);
        return;
    }
    auto plan = bundlesOf(*route.fan);
    auto gathering = std::make_shared<Gathering>();
    std::vector<std::vector<size_t>> groupsOfBundles;
    for (const Bundle& bundle : plan) {
        groupsOfBundles.push_back(bundle.groups);
        gathering->bundles.push_back({ nextBundle++, bundle.groups, gathererFor(bundle.domain, times.arrived) });
    }
    gathering->assembly = makeAssembly(*route.fan, groupsOfBundles);
    gathering->call = call;
    gathering->table = routes;
    gathering->route = &route;
    gathering->times = times;
    gathering->done = [self = shared_from_this(), shedKey, call, routes, &route, times, n = plan.size(),
                          done = std::move(done)](Answer answer) {
        auto end = Clock::now();
        if (!std::holds_alternative<Abandoned>(answer)) {
            bool isLate = !std::holds_alternative<Merged>(answer) || end > times.aim + lateSlack;
            self->shedders.withValue(
                shedKey, [&](Limits::LoadShedder& shedder) { Limits::noteAnswer(shedder, isLate); });
        }
        self->logAnswer("gathered", *call, *routes, route, answer, end - times.arrived, std::to_string(n) + " bundles");
        done(std::move(answer));
    };
    if (call->caller) {
        std::weak_ptr<Gathering> weak = gathering;
        call->caller->whenGone([weak] {
            if (auto gathering = weak.lock())
                gathering->finish(Abandoned {});
        });
    }
    for (size_t i = 0; i < plan.size(); ++i)
        gatherBundle(gathering, i);
}

void Engine::Private::gatherBundle(const GatheringPtr& gathering, size_t index)
{
    AskedBundle bundle;
    {
        std::lock_guard lock(gathering->mutex);
        bundle = gathering->bundles[index];
    }
    Done done = [self = shared_from_this(), gathering, index](
                    Answer answer) { self->bundleEnded(gathering, index, std::move(answer)); };
    if (!bundle.gatherer) {
        runBundle(*gathering, bundle, false, std::move(done));
        return;
    }
    auto delegation = std::make_shared<Delegation>();
    delegation->done = std::move(done);
    delegation->gathering = gathering;
    delegation->index = index;
    delegation->bundle = bundle;
    delegate(delegation);
}

void Engine::Private::runBundle(const Gathering& gathering, const AskedBundle& bundle, bool areRepeats, Done done)
{
    run(gathering.call, gathering.table, *gathering.route,
        { groupsAt(*gathering.route->fan, bundle.groups), BundleKey { options.self.address, bundle.id }, areRepeats },
        gathering.times, std::move(done));
}

void Engine::Private::bundleEnded(const GatheringPtr& gathering, size_t index, Answer answer)
{
    AssemblyStep step;
    {
        std::lock_guard lock(gathering->mutex);
        step = takeBundle(gathering->assembly, index, std::move(answer));
    }
    if (step.answer)
        gathering->finish(std::move(*step.answer));
    for (const ResumePart& part : step.resume)
        resumeBundle(gathering, part);
}

void Engine::Private::resumeBundle(const GatheringPtr& gathering, const ResumePart& part)
{
    AskedBundle bundle;
    {
        std::lock_guard lock(gathering->mutex);
        bundle = gathering->bundles[part.bundle];
    }
    Done done = [self = shared_from_this(), gathering, index = part.bundle](
                    Answer answer) { self->bundleEnded(gathering, index, std::move(answer)); };
    if (!bundle.gatherer) {
        resumeHere({ options.self.address, bundle.id }, part.needed, done);
        return;
    }
    peers.gather(*bundle.gatherer, { options.self.address, ResumeBundle { bundle.id, part.needed } },
        gathering->times.end - Clock::now(), [done = std::move(done)](const Common::Result<Answer>& result) {
            done(result ? result.value() : Answer(Refusal { result.error(), false, Milliseconds(0) }));
        });
}

void Engine::Private::resumeHere(const BundleKey& key, size_t needed, const Done& done)
{
    QueryId id;
    RunningPtr running;
    bundles.ifPresent(key, [&](QueryId& found) { id = found; });
    queries.ifPresent(id, [&](RunningPtr& found) { running = found; });
    bool isAlive = false;
    if (running) {
        std::lock_guard lock(running->mutex);
        isAlive = running->query.isDelivered && !running->query.finished;
        if (isAlive)
            running->done = done;
    }
    if (!isAlive) {
        done(Refusal {
            Common::makeError(Reason::DeadlineExceeded, "resume", "the bundle has ended"), false, Milliseconds(0) });
        return;
    }
    step(running, id, [&](Query& query) { return resume(query, needed, Clock::now()); });
}

void Engine::Private::delegate(const std::shared_ptr<Delegation>& delegation)
{
    auto now = Clock::now();
    ++running;
    const Gathering& gathering = *delegation->gathering;
    DelegatedCall call { delegation->bundle.id, gathering.table->number, now - gathering.times.arrived,
        delegation->bundle.groups, gathering.call };
    auto self = shared_from_this();
    peers.gather(*delegation->bundle.gatherer, { options.self.address, call }, gathering.times.end - now,
        [self, delegation](const Common::Result<Answer>& result) {
            --self->running;
            if (result) {
                if (auto done = delegation->settle())
                    done(result.value());
                return;
            }
            Reason reason = result.error().reason;
            bool hasSentNothing
                = reason == Reason::Unavailable || reason == Reason::ConnectionFailed || reason == Reason::Overloaded;
            self->fallBack(delegation, !hasSentNothing, Common::describe(result.error()));
        });
    probeLater(delegation);
}

// A gatherer that stands still is passed by soon: its connection shows that only much later.
void Engine::Private::probeLater(const std::shared_ptr<Delegation>& delegation)
{
    std::weak_ptr<Delegation> weak = delegation;
    auto self = shared_from_this();
    timers.at(delegation->gathering->times.aim + probeAfterAim, [self, weak] {
        auto delegation = weak.lock();
        if (!delegation)
            return;
        {
            std::lock_guard lock(delegation->mutex);
            if (!delegation->done)
                return;
        }
        self->peers.probe(*delegation->bundle.gatherer, probeTimeout, [self, delegation](bool isAlive) {
            if (!isAlive)
                self->fallBack(delegation, true, "the gatherer is silent");
        });
    });
}

void Engine::Private::fallBack(const std::shared_ptr<Delegation>& delegation, bool mayHaveSent, const std::string& why)
{
    auto now = Clock::now();
    {
        std::lock_guard lock(viewMutex);
        pause(pauses, *delegation->bundle.gatherer, now + gathererPause);
    }
    auto done = delegation->settle();
    if (!done)
        return;
    const Gathering& gathering = *delegation->gathering;
    Observe::logEvent(Observe::Part::Relay, "gatherer-passed-by",
        { { "request", gathering.call->id.value() }, { "gatherer", delegation->bundle.gatherer->value() },
            { "may_have_sent", mayHaveSent ? "yes" : "no" }, { "why", why } });
    {
        std::lock_guard lock(delegation->gathering->mutex);
        delegation->gathering->bundles[delegation->index].gatherer.reset();
    }
    runBundle(gathering, delegation->bundle, mayHaveSent, std::move(done));
}

void Engine::Private::run(const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route,
    const Asked& asked, const Times& times, Done done)
{
    auto now = Clock::now();
    QueryId id(nextQuery++);
    if (times.end <= now) {
        refuse(call, routes, Reason::DeadlineExceeded, "the caller's time is over", Milliseconds(0), done);
        return;
    }
    auto running = std::make_shared<Running>();
    running->call = call;
    running->query = makeQuery(routes, route, asked.groups, 1, asked.bundle.has_value(), times);
    if (auto error = overloaded(running->query, now)) {
        refuse(call, routes, error->reason, error->message, refusedRetryAfter, done);
        return;
    }
    running->done = std::move(done);
    running->bundle = asked.bundle;
    ++this->running;
    queries.insert(id, running);
    if (asked.bundle)
        bundles.insert(*asked.bundle, id);
    step(running, id, [&](Query& query) { return start(query, now, asked.areRepeats); });
    if (!call->caller)
        return;
    call->caller->whenGone([self = shared_from_this(), weak = std::weak_ptr<Running>(running), id] {
        if (auto running = weak.lock())
            self->step(running, id, [](Query& query) { return callerGone(query, Clock::now()); });
    });
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, Effects effects)
{
    for (Effect& effect : effects)
        std::visit([&](auto& e) { perform(running, id, e); }, effect);
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, const Send& send)
{
    auto now = Clock::now();
    const GroupName group = running->query.parts[send.part].group; // Does not change.
    Key key { id, send.attempt };
    size_t sharers = send.isRepeat ? repeatSharersOf(group) : 0;
    bool hasBudget = groups.withValue(group, [&](GroupState& state) {
        if (send.isRepeat)
            return Limits::tryTakeRepeat(
                state.budget, options.repeats, sharers, send.purpose == Purpose::Hedge ? hedgesPart : 1, now);
        Limits::countFirstSend(state.budget, options.repeats, now);
        return true;
    });
    auto fail = [&](Reason reason, const char* message) {
        Observe::logEvent(Observe::Part::Relay, "not-sent",
            { { "request", running->call->id.value() }, { "group", group.value() },
                { "purpose", purposeName(send.purpose) }, { "why", message } });
        step(running, id, [&](Query& query) {
            return notSent(query, send.attempt, Common::makeError(reason, "send", message), now);
        });
    };
    if (!hasBudget) {
        metrics.count(Counter::Refusals, "repeat-budget");
        fail(Reason::Overloaded, "the budget for repeats is used up");
        return;
    }
    auto usable = serversOf(group);
    bool hasServer = std::any_of(usable.begin(), usable.end(), [&](const Roster::Usable& server) {
        return std::find(send.avoid.begin(), send.avoid.end(), server.server) == send.avoid.end();
    });
    if (!hasServer) {
        fail(Reason::Unavailable, usable.empty() ? "no server of the group is known" : "no other server is left");
        return;
    }
    if (trySend(running, key, send, group))
        return;
    if (send.purpose == Purpose::Hedge) {
        fail(Reason::Overloaded, "no connection is free for a hedge");
        return;
    }
    Limits::Waiter waiter;
    waiter.query = id;
    waiter.attempt = send.attempt;
    waiter.route = running->query.route->name;
    waiter.deadline = running->query.times.end;
    waiter.avoidServers = send.avoid;
    groups.withValue(group, [&](GroupState& state) { Limits::push(state.waiting, std::move(waiter)); });
    // A connection may have come free between the try and the entry into the queue.
    serveWaiters(group);
}

// False if no server has a free connection.
bool Engine::Private::trySend(const RunningPtr& running, const Key& key, const Send& send, const GroupName& group)
{
    auto now = Clock::now();
    auto usable = serversOf(group);
    Connections limit = connectionsOf(*running->query.table, group);
    auto candidates = pool.candidates(usable, limit, options.self.domain, now);
    for (size_t i : Routing::rank(candidates, { send.avoid, {} }, localRandom())) {
        auto lease = pool.take(usable[i], limit, now);
        if (!lease)
            continue;
        bool isWanted = false;
        {
            std::lock_guard lock(running->mutex);
            auto hedgeDelay = send.purpose == Purpose::First ? hedgeDelayOf(running->query, now) : std::nullopt;
            isWanted = sent(running->query, key.attempt, usable[i].server, now, hedgeDelay);
        }
        if (!isWanted) {
            pool.giveBack(usable[i].server, lease->connection, now, { Outcome::Kind::GivenUp, Milliseconds(0) }, now);
            return true;
        }
        flights.insert(key, { group, usable[i].server, lease->connection, now, send.purpose, false });
        metrics.count(send.purpose == Purpose::First ? Counter::FirstSends
                : send.purpose == Purpose::Retry     ? Counter::Retries
                                                     : Counter::Hedges,
            running->query.route->name.value());
        if (send.purpose != Purpose::First) {
            Observe::logEvent(Observe::Part::Relay, "sent-again",
                { { "request", running->call->id.value() }, { "group", group.value() },
                    { "server", usable[i].server.value() }, { "purpose", purposeName(send.purpose) } });
        }
        transmit(running, key, lease->connection, usable[i].server);
        // The hedge's time may be the next at which the query has to be looked at.
        step(running, key.query, [&](Query& query) { return wake(query, now); });
        return true;
    }
    return false;
}

void Engine::Private::transmit(
    const RunningPtr& running, const Key& key, const ConnectionPtr& connection, const Common::BackendServerId& server)
{
    Milliseconds left = running->query.times.end - Clock::now();
    auto request = dialect.encode(*running->call, server, std::max(left, Milliseconds(1)));
    connection->send(request, [self = shared_from_this(), running, key](const Common::Result<Http::Response>& result) {
        self->ended(running, key, result);
    });
}

void Engine::Private::ended(const RunningPtr& running, const Key& key, const Common::Result<Http::Response>& result)
{
    auto flight = flights.take(key);
    if (!flight)
        return;
    auto now = Clock::now();
    Milliseconds took = now - flight->sentAt;
    if (result) {
        SubAnswer answer = dialect.decode(*running->call, result.value());
        pool.giveBack(flight->server, flight->connection, flight->sentAt, { kindOf(answer.outcome), took }, now);
        if (answer.outcome == SubAnswer::Outcome::Success) {
            latencies.withValue(
                running->query.route->name, [&](Routing::LatencyStats& stats) { Routing::record(stats, took); });
            metrics.observe(Observe::Latency::SubRequest, took, running->query.route->name.value());
        } else {
            Observe::logEvent(Observe::Part::Relay, "server-failed",
                { { "request", running->call->id.value() }, { "server", flight->server.value() },
                    { "status", std::to_string(answer.status) }, { "took_ms", toText(took) } });
        }
        serveWaiters(flight->group);
        if (!flight->isAbandoned)
            step(
                running, key.query, [&](Query& query) { return answered(query, key.attempt, std::move(answer), now); });
        return;
    }
    const Common::Error& error = result.error();
    bool isOurs = error.reason == Reason::Cancelled;
    pool.giveBack(flight->server, flight->connection, flight->sentAt,
        { isOurs ? Outcome::Kind::GivenUp : Outcome::Kind::Unreachable, took }, now);
    if (!isOurs) {
        Observe::logEvent(Observe::Part::Relay, "send-failed",
            { { "request", running->call->id.value() }, { "server", flight->server.value() }, { "why", error.message },
                { "took_ms", toText(took) } });
    }
    serveWaiters(flight->group);
    if (flight->isAbandoned)
        return;
    Loss loss = error.reason == Reason::ConnectionFailed ? Loss::NoConnection : Loss::Unknown;
    step(running, key.query, [&](Query& query) { return lost(query, key.attempt, loss, error, now); });
}

// Lets waiters of the group go out while servers have free connections.
void Engine::Private::serveWaiters(const GroupName& group)
{
    for (;;) {
        auto waiter
            = groups.withValue(group, [&](GroupState& state) { return Limits::pop(state.waiting, Clock::now()); });
        if (!waiter)
            return;
        RunningPtr running;
        queries.ifPresent(waiter->query, [&](RunningPtr& found) { running = found; });
        if (!running)
            continue;
        Send send { waiter->attempt, 0, Purpose::First, false, waiter->avoidServers };
        if (trySend(running, { waiter->query, waiter->attempt }, send, group))
            continue;
        groups.withValue(group, [&](GroupState& state) { Limits::push(state.waiting, *waiter); });
        return;
    }
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, const Abandon& abandon)
{
    Key key { id, abandon.attempt };
    ConnectionPtr connection;
    bool isFlying = flights.ifPresent(key, [&](Flight& flight) {
        flight.isAbandoned = true;
        connection = flight.connection;
    });
    if (isFlying) {
        metrics.count(Counter::Cancellations, running->query.route->name.value());
        timers.after(options.abandonGrace, [self = shared_from_this(), key, connection] {
            bool isFlyingStill = self->flights.ifPresent(key, [](Flight&) {});
            if (isFlyingStill)
                connection->cancel();
        });
        return;
    }
    for (const Relay::Part& part : running->query.parts) {
        bool found = groups.withValue(part.group, [&](GroupState& state) {
            return Limits::remove(state.waiting, id, abandon.attempt, running->query.route->name);
        });
        if (found)
            return;
    }
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, const WakeAt& wakeAt)
{
    std::weak_ptr<Running> weak = running;
    auto timer = timers.at(wakeAt.when, [self = shared_from_this(), weak, id] {
        if (auto running = weak.lock())
            self->step(running, id, [](Query& query) { return wake(query, Clock::now()); });
    });
    Common::TimerId earlier;
    {
        std::lock_guard lock(running->mutex);
        earlier = std::exchange(running->wake, timer);
    }
    timers.cancel(earlier);
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, Finish& finish)
{
    Done done;
    {
        std::lock_guard lock(running->mutex);
        done = std::exchange(running->done, nullptr);
    }
    end(running, id);
    noteEnd(*running, finish.answer);
    if (done)
        done(std::move(finish.answer));
}

void Engine::Private::perform(const RunningPtr& running, QueryId, Deliver& deliver)
{
    Done done;
    {
        std::lock_guard lock(running->mutex);
        done = std::exchange(running->done, nullptr);
    }
    Answer answer = std::move(deliver.merged);
    noteEnd(*running, answer);
    if (done)
        done(std::move(answer));
}

void Engine::Private::perform(const RunningPtr& running, QueryId id, const Forget&) { end(running, id); }

void Engine::Private::end(const RunningPtr& running, QueryId id)
{
    Common::TimerId timer;
    {
        std::lock_guard lock(running->mutex);
        timer = running->wake;
    }
    timers.cancel(timer);
    queries.take(id);
    if (running->bundle)
        bundles.take(*running->bundle);
    --this->running;
}

// One line for a call, or for a bundle of one. Whole answers are sampled.
void Engine::Private::logAnswer(const char* event, const Relay::Call& call, const Routes::Table& routes,
    const Routes::Route& route, const Answer& answer, Milliseconds took, const std::string& what)
{
    std::string outcome = "answered";
    std::string detail;
    bool isServed = true;
    if (auto merged = std::get_if<Merged>(&answer)) {
        isServed = merged->missing.empty();
        detail = std::to_string(merged->missing.size()) + " groups missing";
    } else if (auto forwarded = std::get_if<Forwarded>(&answer)) {
        isServed = forwarded->answer.outcome == SubAnswer::Outcome::Success;
        detail = "status " + std::to_string(forwarded->answer.status);
    } else if (auto refusal = std::get_if<Refusal>(&answer)) {
        isServed = false;
        outcome = refusal->hasNotRun ? "refused" : "failed";
        detail = Common::describe(refusal->error);
    } else {
        isServed = false;
        outcome = "caller-left";
    }
    // The number of queries so far spreads the sample over all routes.
    if (isServed && nextQuery % servedLogged)
        return;
    Observe::logEvent(Observe::Part::Relay, event,
        { { "request", call.id.value() }, { "outcome", outcome }, { "route", route.name.value() }, { "what", what },
            { "took_ms", toText(took) }, { "aim_ms", toText(route.aim) }, { "detail", detail },
            { "table", std::to_string(routes.number.value()) } });
}

void Engine::Private::noteEnd(const Running& running, const Answer& answer)
{
    Milliseconds took = Clock::now() - running.query.times.arrived;
    const Routes::Route& route = *running.query.route;
    metrics.observe(Observe::Latency::Query, took, route.name.value());
    metrics.count(Counter::Queries, std::holds_alternative<Refusal>(answer) ? "refused" : "answered");
    std::string what = running.bundle
        ? std::to_string(running.query.parts.size()) + " groups for " + running.bundle->asker.value()
        : "group " + running.query.parts.front().group.value();
    logAnswer("ended", *running.call, *running.query.table, route, answer, took, what);
}

Engine::Engine(EngineOptions options, Dialect dialect, Peers peers, Common::Timers& timers, Observe::Metrics& metrics)
    : m_private(std::make_shared<Private>(std::move(options), std::move(dialect), std::move(peers), timers, metrics))
{
}

Engine::~Engine() = default;

void Engine::setTable(Routes::TablePtr table)
{
    std::lock_guard lock(m_private->viewMutex);
    m_private->table = std::move(table);
    m_private->chooseAgain();
}

Routes::TablePtr Engine::table() const
{
    std::lock_guard lock(m_private->viewMutex);
    return m_private->table;
}

void Engine::setServers(std::shared_ptr<const ServersByGroup> servers)
{
    std::vector<Common::BackendServerId> ids;
    std::vector<GroupName> names;
    for (auto& [group, list] : *servers) {
        names.push_back(group);
        for (auto& server : list)
            ids.push_back(server.server);
    }
    {
        std::lock_guard lock(m_private->viewMutex);
        m_private->servers = std::move(servers);
        m_private->chooseAgain();
    }
    m_private->pool.keepOnly(ids);
    for (const GroupName& group : names)
        m_private->serveWaiters(group);
}

void Engine::setInstances(std::vector<Roster::Peer> instances)
{
    std::lock_guard lock(m_private->viewMutex);
    m_private->instances = std::move(instances);
    m_private->chooseAgain();
}

void Engine::relay(const CallPtr& call, Done done) { m_private->relay(call, std::move(done)); }

void Engine::gather(const BundleRequest& request, const std::function<void(Common::Result<Answer>)>& done)
{
    Done answer = [done](Answer a) { done(std::move(a)); };
    if (auto resume = std::get_if<ResumeBundle>(&request.body)) {
        m_private->resumeHere({ request.asker, resume->bundle }, resume->needed, answer);
        return;
    }
    auto& delegated = std::get<DelegatedCall>(request.body);
    Routes::TablePtr routes = table();
    const Routes::Route* route = routes ? Routes::match(*routes, delegated.call->host, delegated.call->path) : nullptr;
    bool isSame = route && route->fan && routes->number == delegated.table
        && std::all_of(delegated.groups.begin(), delegated.groups.end(),
            [&](size_t place) { return place < route->fan->groups.size(); });
    if (!isSame || delegated.groups.empty()) {
        done(Common::makeError(Reason::Unavailable, "gather", "another route table is in force here"));
        return;
    }
    auto arrived = Clock::now() - delegated.waited;
    m_private->run(delegated.call, routes, *route,
        { groupsAt(*route->fan, delegated.groups), BundleKey { request.asker, delegated.bundle }, false },
        m_private->timesOf(*delegated.call, *route, arrived, delegationMargin), std::move(answer));
}

size_t Engine::inFlight() const { return static_cast<size_t>(std::max<int64_t>(m_private->running, 0)); }

} // namespace Relay
