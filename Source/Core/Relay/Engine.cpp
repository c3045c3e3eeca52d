#include "Relay/Engine.h"

#include "Limits/WaitQueue.h"
#include "Observe/EventLog.h"
#include "Relay/Query.h"
#include "Relay/ServerPool.h"
#include "Routing/LatencyStats.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
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
    constexpr Milliseconds refusedRetryAfter { 50 };
    // A request is hedged once it has taken longer than this share of the observed ones.
    constexpr double hedgeQuantile = 0.9;
    constexpr Milliseconds shortestHedgeDelay { 8 };
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

    // One call and its query. The mutex serialises the events.
    struct Running {
        std::mutex mutex;
        CallPtr call;
        Query query;
        Engine::Done done;
        Common::TimerId wake;
    };

    using RunningPtr = std::shared_ptr<Running>;

    struct GroupState {
        Limits::WaitQueue waiting;
        Limits::RepeatBudget budget;
    };

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

    std::string toText(Milliseconds time) { return std::to_string(static_cast<int64_t>(time.value() + 0.5)); }

} // namespace
} // namespace Relay

template <> struct std::hash<Relay::Key> : Relay::KeyHash { };

namespace Relay {

struct Engine::Private : std::enable_shared_from_this<Engine::Private> {
    Private(EngineOptions o, Dialect d, Common::Timers& t, Observe::Metrics& m)
        : options(std::move(o))
        , dialect(std::move(d))
        , timers(t)
        , metrics(m)
    {
    }

    const EngineOptions options;
    const Dialect dialect;
    Common::Timers& timers;
    Observe::Metrics& metrics;

    std::atomic<size_t> instances { 0 };
    std::atomic<uint64_t> nextQuery { 1 };
    std::atomic<int64_t> running { 0 };

    mutable std::mutex viewMutex; // Guards the two pointers; what they point to does not change.
    Routes::TablePtr table;
    std::shared_ptr<const ServersByGroup> servers { std::make_shared<const ServersByGroup>() };

    Common::ShardedMap<QueryId, RunningPtr> queries;
    Common::ShardedMap<Key, Flight> flights;
    Common::ShardedMap<GroupName, GroupState> groups;
    Common::ShardedMap<Common::RouteName, Routing::LatencyStats> latencies; // Of sub-requests.
    ServerPool pool;

    void relay(const CallPtr&, Done);
    std::optional<Common::Error> overloaded(const Query&, TimePoint now);
    void perform(const RunningPtr&, QueryId, Effects);
    void perform(const RunningPtr&, QueryId, const Send&);
    void perform(const RunningPtr&, QueryId, const Abandon&);
    void perform(const RunningPtr&, QueryId, const WakeAt&);
    void perform(const RunningPtr&, QueryId, Finish&);
    bool trySend(const RunningPtr&, const Key&, const Send&, const GroupName&);
    void transmit(const RunningPtr&, const Key&, const ConnectionPtr&, const Common::BackendServerId&);
    void ended(const RunningPtr&, const Key&, const Common::Result<Http::Response>&);
    void serveWaiters(const GroupName&);
    void logAnswer(const Running&, const Answer&, Milliseconds took);

    std::vector<Roster::Usable> serversOf(const GroupName&) const;
    Connections connectionsOf(const Routes::Table&, const GroupName&) const;
    size_t instancesNow() const { return instances ? instances.load() : unknownInstances; }
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

Connections Engine::Private::connectionsOf(const Routes::Table& routes, const GroupName& name) const
{
    const Routes::Group* group = Routes::findGroup(routes, name);
    int64_t limit = group ? group->connectionLimit.value() : 1;
    return Connections(std::clamp<int64_t>(limit / static_cast<int64_t>(instancesNow()), 1, maximumConnections));
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
    double share = query.route->fan ? query.route->fan->minimumShare.value() : 1;
    auto mayMiss = static_cast<size_t>((1 - share) * static_cast<double>(query.parts.size()));
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

void Engine::Private::relay(const CallPtr& call, Done done)
{
    auto now = Clock::now();
    Routes::TablePtr routes;
    {
        std::lock_guard lock(viewMutex);
        routes = table;
    }
    auto refuse = [&](Reason reason, const char* message, Milliseconds retryAfter) {
        auto error = Common::makeError(reason, "admit", message);
        metrics.count(Counter::Refusals, Common::reasonCode(reason));
        Observe::logEvent(Observe::Part::Relay, "refused",
            { { "request", call->id.value() }, { "reason", Common::reasonCode(reason) }, { "why", message },
                { "host", call->host }, { "path", call->path },
                { "table", std::to_string(routes ? routes->number.value() : 0) } });
        done(Refusal { error, true, retryAfter });
    };
    if (!routes) {
        refuse(Reason::Unavailable, "no route table is known yet", refusedRetryAfter);
        return;
    }
    const Routes::Route* route = Routes::match(*routes, call->host, call->path);
    if (!route) {
        refuse(Reason::NotFound, "no route matches", Milliseconds(0));
        return;
    }
    QueryId id(nextQuery++);
    GroupName chosen = route->fan ? GroupName() : Routes::choosePortion(*route, id.value()).group;
    Milliseconds wait = std::min(call->timeLeft.value_or(route->timeout), route->timeout) - options.returnMargin;
    Times times { now, now + route->aim - options.returnMargin, now + wait };
    times.aim = std::min(times.aim, times.end);
    auto running = std::make_shared<Running>();
    running->call = call;
    running->query = makeQuery(routes, *route, chosen, times);
    running->done = std::move(done);
    if (wait <= Milliseconds(0)) {
        done = std::move(running->done);
        refuse(Reason::DeadlineExceeded, "the caller's time is over", Milliseconds(0));
        return;
    }
    if (auto error = overloaded(running->query, now)) {
        done = std::move(running->done);
        refuse(error->reason, error->message.c_str(), refusedRetryAfter);
        return;
    }
    ++this->running;
    queries.insert(id, running);
    step(running, id, [&](Query& query) { return start(query, now); });
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
    bool hasBudget = groups.withValue(group, [&](GroupState& state) {
        if (send.isRepeat)
            return Limits::tryTakeRepeat(state.budget, options.repeats, instancesNow(), now);
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
    static thread_local Common::Random random(std::hash<std::thread::id> {}(std::this_thread::get_id()));
    auto now = Clock::now();
    auto usable = serversOf(group);
    Connections limit = connectionsOf(*running->query.table, group);
    auto candidates = pool.candidates(usable, limit, options.domain, now);
    for (size_t i : Routing::rank(candidates, { send.avoid, {} }, random)) {
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

void Engine::Private::transmit(const RunningPtr& running, const Key& key, const ConnectionPtr& connection,
    const Common::BackendServerId& server)
{
    Milliseconds left = running->query.times.end - Clock::now();
    auto request = dialect.encode(*running->call, server, std::max(left, Milliseconds(1)));
    connection->send(request,
        [self = shared_from_this(), running, key](const Common::Result<Http::Response>& result) {
            self->ended(running, key, result);
        });
}

void Engine::Private::ended(
    const RunningPtr& running, const Key& key, const Common::Result<Http::Response>& result)
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
            latencies.withValue(running->query.route->name,
                [&](Routing::LatencyStats& stats) { Routing::record(stats, took); });
            metrics.observe(Observe::Latency::SubRequest, took, running->query.route->name.value());
        } else {
            Observe::logEvent(Observe::Part::Relay, "server-failed",
                { { "request", running->call->id.value() }, { "server", flight->server.value() },
                    { "status", std::to_string(answer.status) }, { "took_ms", toText(took) } });
        }
        serveWaiters(flight->group);
        if (!flight->isAbandoned)
            step(running, key.query,
                [&](Query& query) { return answered(query, key.attempt, std::move(answer), now); });
        return;
    }
    const Common::Error& error = result.error();
    bool isOurs = error.reason == Reason::Cancelled;
    pool.giveBack(flight->server, flight->connection, flight->sentAt,
        { isOurs ? Outcome::Kind::GivenUp : Outcome::Kind::Unreachable, took }, now);
    if (!isOurs) {
        Observe::logEvent(Observe::Part::Relay, "send-failed",
            { { "request", running->call->id.value() }, { "server", flight->server.value() },
                { "why", error.message }, { "took_ms", toText(took) } });
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
        auto waiter = groups.withValue(
            group, [&](GroupState& state) { return Limits::pop(state.waiting, Clock::now()); });
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
    Common::TimerId timer;
    Done done;
    {
        std::lock_guard lock(running->mutex);
        timer = running->wake;
        done = std::exchange(running->done, nullptr);
    }
    timers.cancel(timer);
    queries.take(id);
    --this->running;
    logAnswer(*running, finish.answer, Clock::now() - running->query.times.arrived);
    if (done)
        done(std::move(finish.answer));
}

void Engine::Private::logAnswer(const Running& running, const Answer& answer, Milliseconds took)
{
    const std::string& route = running.query.route->name.value();
    metrics.observe(Observe::Latency::Query, took, route);
    std::string outcome = "answered";
    std::string detail;
    bool isServed = true;
    if (auto merged = std::get_if<Merged>(&answer)) {
        isServed = !merged->missing;
        detail = std::to_string(merged->missing) + " groups missing";
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
    metrics.count(Counter::Queries, outcome);
    // The number of queries so far spreads the sample over all routes.
    if (isServed && nextQuery % servedLogged)
        return;
    Observe::logEvent(Observe::Part::Relay, outcome,
        { { "request", running.call->id.value() }, { "route", route }, { "took_ms", toText(took) },
            { "aim_ms", toText(running.query.route->aim) }, { "detail", detail },
            { "table", std::to_string(running.query.table->number.value()) } });
}

Engine::Engine(EngineOptions options, Dialect dialect, Common::Timers& timers, Observe::Metrics& metrics)
    : m_private(std::make_shared<Private>(std::move(options), std::move(dialect), timers, metrics))
{
}

Engine::~Engine() = default;

void Engine::setTable(Routes::TablePtr table)
{
    std::lock_guard lock(m_private->viewMutex);
    m_private->table = std::move(table);
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
    }
    m_private->pool.keepOnly(ids);
    for (const GroupName& group : names)
        m_private->serveWaiters(group);
}

void Engine::setInstances(size_t instances) { m_private->instances = instances; }

void Engine::relay(CallPtr call, Done done) { m_private->relay(call, std::move(done)); }

size_t Engine::inFlight() const { return static_cast<size_t>(std::max<int64_t>(m_private->running, 0)); }

} // namespace Relay
