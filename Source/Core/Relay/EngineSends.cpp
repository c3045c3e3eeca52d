#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

namespace {

    // A request is hedged once it has taken longer than this share of the observed ones.
    constexpr double hedgeQuantile = 0.9;
    constexpr Milliseconds shortestHedgeDelay { 8 };
    // Of the budget for repeats; the rest is for retries, without which a group is lost.
    constexpr double hedgesPart = 0.65;
    // Samples before the observed latencies are used.
    constexpr double enoughSamples = 20;
    // Until then: this part of the time in which an answer is worth most.
    constexpr double unknownHedgePart = 0.35;

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

} // namespace

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
            return Limits::tryTakeRetry(
                state.budget, options.repeats, sharers, send.purpose == Purpose::Hedge ? hedgesPart : 1, now);
        Limits::countFirstSend(state.budget, options.repeats, now);
        return true;
    });
    auto fail = [&](Reason reason, const char* message) {
        Observe::logEvent(Observe::Part::Relay, Observe::Event::NotSent,
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
    bool hasServer = std::any_of(usable->begin(), usable->end(), [&](const Roster::EligibleServer& server) {
        return std::find(send.avoid.begin(), send.avoid.end(), server.server) == send.avoid.end();
    });
    if (!hasServer) {
        fail(Reason::Unavailable, usable->empty() ? "no server of the group is known" : "no other server is left");
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
    auto known = serversOf(group);
    const std::vector<Roster::EligibleServer>& usable = *known;
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
            Observe::logEvent(Observe::Part::Relay, Observe::Event::SentAgain,
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
            Observe::logEvent(Observe::Part::Relay, Observe::Event::ServerFailed,
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
        Observe::logEvent(Observe::Part::Relay, Observe::Event::SendFailed,
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

} // namespace Relay
