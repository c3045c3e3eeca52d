#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

namespace {

    // A request is hedged once it has taken longer than this share of the observed requests.
    constexpr double hedgeQuantile = 0.9;
    constexpr Milliseconds minimumHedgeDelay { 8 };
    // Share of the retry budget that hedges may use. The rest is for retries, without which the answer of a group is
    // lost.
    constexpr double hedgeBudgetShare = 0.65;
    // Before that many samples the observed latencies are not used.
    constexpr double minimumSamples = 20;
    // Until then the hedge delay is this share of the route's latency objective.
    constexpr double initialHedgeShare = 0.35;

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
            return Outcome::Kind::Failed;
        case SubAnswer::Outcome::Unusable:
            return Outcome::Kind::Unusable;
        }
        return Outcome::Kind::Failed;
    }

    // Whether the server has run the request and survived it. It may have failed with a server error before it ran it.
    bool provesSurvival(const SubAnswer& answer)
    {
        constexpr int firstServerError = 500;
        return answer.outcome == SubAnswer::Outcome::Success
            || (answer.outcome == SubAnswer::Outcome::Failure && answer.status < firstServerError);
    }

} // namespace

std::optional<Milliseconds> Engine::Private::hedgeDelayOf(const Query& query, TimePoint now)
{
    Milliseconds delay;
    latencies.withValue(query.route->name, [&](Routing::LatencyStats& stats) {
        if (stats.total >= minimumSamples)
            delay = Routing::quantile(stats, hedgeQuantile);
    });
    if (delay.value() <= 0)
        delay = query.route->latencyObjective * initialHedgeShare;
    delay = std::max(delay, minimumHedgeDelay);
    if (now + delay >= query.times.deadline)
        return std::nullopt;
    return delay;
}

void Engine::Private::performAll(const ActiveCallPtr& active, QueryId id)
{
    for (;;) {
        std::optional<Effect> effect;
        {
            std::lock_guard lock(active->mutex);
            effect = next(active->effects);
        }
        if (!effect)
            return;
        std::visit([&](auto& e) { perform(active, id, e); }, *effect);
    }
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId id, const Send& send)
{
    auto now = Clock::now();
    const GroupName group = active->query.parts[send.part].group; // Immutable.
    AttemptKey key { id, send.attempt };
    auto senders = send.needsRetryBudget ? retrySendersOf(group, now) : std::nullopt;
    bool hasBudget = groups.withValue(group, [&](GroupState& state) {
        if (send.needsRetryBudget)
            return Limits::tryTakeRetry(
                state.budget, options.retryBudget, senders, send.purpose == Purpose::Hedge ? hedgeBudgetShare : 1, now);
        Limits::countFirstSend(state.budget, options.retryBudget, now);
        return true;
    });
    std::optional<Milliseconds> retryAfter;
    auto fail = [&](Reason reason, const char* message) {
        Observe::logEvent(Observe::Part::Relay, Observe::Event::NotSent,
            { { "request", active->call->id.value() }, { "group", group.value() },
                { "purpose", purposeName(send.purpose) }, { "why", message } });
        step(active, id, [&](Query& query) {
            return notSent(query, send.attempt, Common::makeError(reason, "send", message), now, retryAfter);
        });
    };
    if (!hasBudget) {
        metrics.count(Counter::Refusals, "repeat-budget");
        fail(Reason::Overloaded, "the retry budget is exhausted");
        return;
    }
    auto targets = targetsOf(group, now);
    auto mayWait
        = [&] { return send.purpose != Purpose::Hedge && nextSendIn(*active, send.avoid, targets, now).has_value(); };
    if (!pool.hasOpenServer(targets, send.avoid, now) && !mayWait()) {
        if (auto reopens = pool.reopensIn(targets, now))
            retryAfter = Limits::spreadReturn(*reopens, localRandom().unit());
        fail(Reason::Unavailable,
            targets.servers->empty() ? "no server of the group is known"
                : retryAfter         ? "the servers take no requests for now"
                                     : "no other server is left");
        return;
    }
    if (trySend(active, key, send, group))
        return;
    if (send.purpose == Purpose::Hedge) {
        fail(Reason::Overloaded, "no connection is free for a hedge");
        return;
    }
    Limits::Waiter waiter;
    waiter.query = id;
    waiter.attempt = send.attempt;
    waiter.route = active->query.route->name;
    // A request that is sent later can't be answered in time.
    waiter.deadline = std::min(active->query.times.deadline, stopAt.load()) - serviceTimeOf(active->query.route->name);
    waiter.avoidServers = send.avoid;
    waiter.caller = active->caller;
    auto sendBy = waiter.deadline;
    groups.withValue(group, [&](GroupState& state) { Limits::push(state.waiting, std::move(waiter)); });
    // Servers that stall release no connection, which would refuse the late waiters.
    timers.at(sendBy, [weak = weak_from_this(), group] {
        if (auto self = weak.lock())
            self->refuseLateWaiters(group);
    });
    // A connection may have been released between trySend() and the push to the queue.
    serveWaiters(group);
}

// Returns whether the send was refused, because servers were lost under this call or under earlier sends of it.
bool Engine::Private::refuseIfSuspect(
    const ActiveCallPtr& active, const AttemptKey& key, Purpose purpose, const GroupName& group)
{
    auto now = Clock::now();
    auto verdicts = suspects->verdictsOn(active->call->keys, now);
    if (Suspects::maySend(verdicts, group, purpose == Purpose::First))
        return false;
    Observe::logEvent(Observe::Part::Relay, Observe::Event::NotSent,
        { { "request", active->call->id.value() }, { "group", group.value() }, { "purpose", purposeName(purpose) },
            { "why", quarantineText }, { "content", Common::toHex(active->call->keys.content) } });
    step(active, key.query, [&](Query& query) {
        return notSent(query, key.attempt, Common::makeError(Reason::Quarantined, "send", quarantineText), now,
            Suspects::remainingOf(verdicts));
    });
    return true;
}

// Every request to a server passes here: first sends, retries, hedges, queued sends, and those for other instances.
// Returns false if no server has a free connection.
bool Engine::Private::trySend(
    const ActiveCallPtr& active, const AttemptKey& key, const Send& send, const GroupName& group)
{
    if (refuseIfSuspect(active, key, send.purpose, group))
        return true;
    auto now = Clock::now();
    auto targets = targetsOf(group, now);
    const std::vector<Roster::EligibleServer>& usable = *targets.servers;
    Connections limit = connectionsOf(*active->query.table, group);
    auto candidates = pool.candidates(usable, limit, options.self.domain, now);
    for (size_t i : Routing::rank(candidates, { send.avoid, {} }, localRandom())) {
        auto lease = pool.acquire(targets, i, limit, now);
        if (!lease) {
            // A hedge comes too late for a token, and a token for it would be lost.
            if (!targets.access.empty() && send.purpose != Purpose::Hedge)
                askKeeper(targets, i, group);
            continue;
        }
        bool isWanted = false;
        {
            std::lock_guard lock(active->mutex);
            auto hedgeDelay = send.purpose == Purpose::First ? hedgeDelayOf(active->query, now) : std::nullopt;
            isWanted = sent(active->query, key.attempt, usable[i].server, now, hedgeDelay);
        }
        if (lease->hasEnteredPace)
            logPace(usable[i].server, group, PaceChange::Entered);
        if (!isWanted) {
            pool.release(usable[i].server, lease->connection, now, { Outcome::Kind::Cancelled, Milliseconds(0) }, now);
            return true;
        }
        inFlightRequests.insert(key,
            { group, usable[i].server, usable[i].incarnation, usable[i].domain, lease->connection,
                lease->connection->nextExchange(), now, send.purpose, false });
        metrics.count(send.purpose == Purpose::First ? Counter::FirstSends
                : send.purpose == Purpose::Retry     ? Counter::Retries
                                                     : Counter::Hedges,
            group.value());
        if (send.purpose != Purpose::First) {
            Observe::logEvent(Observe::Part::Relay, Observe::Event::SentAgain,
                { { "request", active->call->id.value() }, { "group", group.value() },
                    { "server", usable[i].server.value() }, { "purpose", purposeName(send.purpose) } });
        }
        transmit(active, key, lease->connection, usable[i].server);
        // The hedge may be due before the timer that is set.
        step(active, key.query, [&](Query& query) { return wake(query, now); });
        return true;
    }
    return false;
}

void Engine::Private::transmit(const ActiveCallPtr& active, const AttemptKey& key, const ConnectionPtr& connection,
    const Common::BackendServerId& server)
{
    Milliseconds left = std::min(active->query.times.deadline, stopAt.load()) - Clock::now();
    auto text = backendCodec.encode(active->requestHead, *active->call, server, std::max(left, Milliseconds(1)));
    bool isHead = active->call->method == "HEAD";
    connection->send(std::move(text), isHead,
        [self = shared_from_this(), active, key](
            const Common::Result<Http::Response>& result) { self->requestEnded(active, key, result); });
}

void Engine::Private::requestEnded(
    const ActiveCallPtr& active, const AttemptKey& key, const Common::Result<Http::Response>& result)
{
    auto inFlight = inFlightRequests.take(key);
    if (!inFlight)
        return;
    auto now = Clock::now();
    Milliseconds took = now - inFlight->sentAt;
    if (result) {
        SubAnswer answer = backendCodec.decode(*active->call, result.value());
        recordNotice(*inFlight, answer, now);
        if (provesSurvival(answer))
            recordSurvival(*active->call, *inFlight, answer.status, now);
        Outcome outcome { kindOf(answer.outcome), took };
        recordPace(*active, *inFlight, outcome, now);
        pool.release(inFlight->server, inFlight->connection, inFlight->sentAt, outcome, now);
        if (answer.outcome == SubAnswer::Outcome::Success) {
            latencies.withValue(
                active->query.route->name, [&](Routing::LatencyStats& stats) { Routing::record(stats, took); });
            metrics.observe(Observe::Latency::SubRequest, took, active->query.route->name.value());
        } else {
            Observe::logEvent(Observe::Part::Relay, Observe::Event::ServerFailed,
                { { "request", active->call->id.value() }, { "server", inFlight->server.value() },
                    { "status", std::to_string(answer.status) }, { "took_ms", toText(took) } });
        }
        serveWaiters(inFlight->group);
        if (!inFlight->isAbandoned)
            step(active, key.query, [&](Query& query) { return answered(query, key.attempt, std::move(answer), now); });
        return;
    }
    const Common::Error& error = result.error();
    bool isCancelled = error.reason == Reason::Cancelled;
    Outcome outcome { isCancelled ? Outcome::Kind::Cancelled : Outcome::Kind::Unreachable, took };
    recordPace(*active, *inFlight, outcome, now);
    pool.release(inFlight->server, inFlight->connection, inFlight->sentAt, outcome, now);
    if (!isCancelled) {
        Observe::logEvent(Observe::Part::Relay, Observe::Event::SendFailed,
            { { "request", active->call->id.value() }, { "server", inFlight->server.value() },
                { "incarnation", std::to_string(inFlight->incarnation.value()) }, { "group", inFlight->group.value() },
                { "purpose", purposeName(inFlight->purpose) }, { "why", error.message }, { "took_ms", toText(took) },
                { "path", active->call->path }, { "content", Common::toHex(active->call->keys.content) } });
    }
    if (error.reason == Reason::ConnectionLost)
        recordStrike(*active->call, *inFlight, now);
    serveWaiters(inFlight->group);
    if (inFlight->isAbandoned)
        return;
    SendFailure failure = error.reason == Reason::ConnectionFailed ? SendFailure::NoConnection : SendFailure::Unknown;
    step(active, key.query, [&](Query& query) { return sendFailed(query, key.attempt, failure, error, now); });
}

void Engine::Private::recordSurvival(const Relay::Call& call, const InFlightRequest& request, int status, TimePoint now)
{
    if (!suspects->recordAnswer(call.keys, request.group, request.sentAt, now))
        return;
    Observe::logEvent(Observe::Part::Relay, Observe::Event::StrikeAnswered,
        { { "request", call.id.value() }, { "group", request.group.value() }, { "server", request.server.value() },
            { "status", std::to_string(status) }, { "content", Common::toHex(call.keys.content) } });
}

void Engine::Private::recordStrike(const Relay::Call& call, const InFlightRequest& request, TimePoint now)
{
    Suspects::Strike strike;
    strike.server = request.server;
    strike.incarnation = request.incarnation;
    strike.group = request.group;
    strike.domain = request.domain;
    strike.run = Suspects::runOf(call.id, static_cast<uint64_t>(request.purpose));
    strike.sentAt = request.sentAt;
    strike.at = now;
    auto change = suspects->addStrike(call.keys, strike);
    auto standing = Suspects::worstStanding(change.after);
    if (standing == change.before)
        return;
    if (standing == Suspects::Standing::Quarantined)
        metrics.count(Counter::Quarantines);
    for (const Suspects::Verdict& verdict : change.after) {
        if (verdict.standing != standing)
            continue;
        Observe::logEvent(Observe::Part::Relay, Observe::Event::RequestSuspected,
            { { "request", call.id.value() }, { "group", request.group.value() }, { "server", request.server.value() },
                { "standing", Suspects::standingName(standing) },
                { "scope", verdict.group ? verdict.group->value() : "all groups" },
                { "breadth", Suspects::breadthName(verdict.breadth) }, { "content", Common::toHex(call.keys.content) },
                { "pattern", Common::toHex(call.keys.pattern) } });
    }
}

void Engine::Private::recordNotice(const InFlightRequest& request, const SubAnswer& answer, TimePoint now)
{
    if (answer.outcome == SubAnswer::Outcome::Unusable || answer.outcome == SubAnswer::Outcome::OtherServer)
        return;
    bool isServed = answer.outcome == SubAnswer::Outcome::Success;
    bool hasRun = isServed || answer.outcome == SubAnswer::Outcome::Failure;
    if (pool.record(request.server, request.incarnation, answer.notice, isServed, hasRun, now)) {
        auto rate = pool.namedRate(request.server, request.incarnation);
        Observe::logEvent(Observe::Part::Relay, Observe::Event::RateChanged,
            { { "server", request.server.value() }, { "group", request.group.value() },
                { "per_second", rate ? std::to_string(rate->value()) : "none" } });
    }
    if (answer.notice.hasUnusableLimit)
        metrics.count(Counter::UnusableLimits, request.group.value());
    if (answer.notice.limit)
        metrics.count(Counter::LimitedSends, purposeName(request.purpose));
    if (!answer.notice.closedFor && !answer.notice.isLeaving)
        return;
    Observe::logEvent(Observe::Part::Relay, Observe::Event::ServerNotice,
        { { "server", request.server.value() }, { "leaving", answer.notice.isLeaving ? "yes" : "no" },
            { "closed_ms", toText(answer.notice.closedFor.value_or(Milliseconds(0))) } });
}

// Refuses a queued request if no server takes requests: nothing would wake it when one reopens, and the caller knows
// better what to do in that time.
bool Engine::Private::refuseIfClosed(const ActiveCallPtr& active, const Limits::Waiter& waiter, const GroupName& group)
{
    auto now = Clock::now();
    auto targets = targetsOf(group, now);
    if (nextSendIn(*active, waiter.avoidServers, targets, now))
        return false;
    auto reopens = pool.reopensIn(targets, now);
    if (!reopens || pool.hasOpenServer(targets, waiter.avoidServers, now))
        return false;
    auto retryAfter = Limits::spreadReturn(*reopens, localRandom().unit());
    step(active, waiter.query, [&](Query& query) {
        return notSent(query, waiter.attempt,
            Common::makeError(Reason::Unavailable, "send", "the servers take no requests for now"), now, retryAfter);
    });
    return true;
}

// Refuses the queued requests that can't be answered in time. Otherwise their callers would learn that at the deadline.
void Engine::Private::refuseLateWaiters(const GroupName& group)
{
    auto now = Clock::now();
    auto late = groups.withValue(group, [&](GroupState& state) { return Limits::takeLate(state.waiting, now); });
    for (const Limits::Waiter& waiter : late) {
        ActiveCallPtr active;
        queries.ifPresent(waiter.query, [&](ActiveCallPtr& found) { active = found; });
        if (!active)
            continue;
        Observe::logEvent(Observe::Part::Relay, Observe::Event::NotSent,
            { { "request", active->call->id.value() }, { "group", group.value() }, { "purpose", "queued" },
                { "why", "no connection was free in time" } });
        step(active, waiter.query, [&](Query& query) {
            return notSent(query, waiter.attempt,
                Common::makeError(Reason::Overloaded, "send", "no connection was free in time"), now);
        });
    }
}

// Returns false if no server that the waiter may use has a free connection.
bool Engine::Private::trySendWaiter(const Limits::Waiter& waiter, const GroupName& group)
{
    ActiveCallPtr active;
    queries.ifPresent(waiter.query, [&](ActiveCallPtr& found) { active = found; });
    if (!active)
        return true;
    std::optional<Purpose> purpose;
    {
        std::lock_guard lock(active->mutex);
        purpose = purposeOf(active->query, waiter.attempt);
    }
    if (!purpose)
        return true;
    Send send { waiter.attempt, 0, *purpose, false, waiter.avoidServers };
    return trySend(active, { waiter.query, waiter.attempt }, send, group) || refuseIfClosed(active, waiter, group);
}

// How long until a server that is held back by its pace or as a cold server may get the request; empty if there is
// none, or not within the latency objective of the call.
std::optional<Milliseconds> Engine::Private::nextSendIn(
    const ActiveCall& active, const std::vector<Common::BackendServerId>& avoid, const Targets& targets, TimePoint now)
{
    if (!options.usesPace && targets.access.empty())
        return std::nullopt;
    auto wait = pool.nextSendIn(targets, avoid, now);
    return wait && now + *wait < active.query.times.objective ? wait : std::nullopt;
}

void Engine::Private::serveWaitersIn(const GroupName& group, Milliseconds wait, TimePoint now)
{
    bool isScheduled = groups.withValue(group, [&](GroupState& state) {
        bool isEarlier = state.wakeAt > now && state.wakeAt <= now + wait;
        if (!isEarlier)
            state.wakeAt = now + wait;
        return isEarlier;
    });
    if (isScheduled)
        return;
    timers.after(wait, [weak = weak_from_this(), group] {
        if (auto self = weak.lock())
            self->serveWaiters(group);
    });
}

// Wakes a queued request when a server that is held back may get it.
void Engine::Private::serveWaitersOnceOpen(const Limits::Waiter& waiter, const GroupName& group)
{
    ActiveCallPtr active;
    queries.ifPresent(waiter.query, [&](ActiveCallPtr& found) { active = found; });
    if (!active)
        return;
    auto now = Clock::now();
    if (auto wait = nextSendIn(*active, waiter.avoidServers, targetsOf(group, now), now))
        serveWaitersIn(group, *wait, now);
}

void Engine::Private::recordPace(
    const ActiveCall& active, const InFlightRequest& request, const Outcome& outcome, TimePoint now)
{
    if (!options.usesPace)
        return;
    auto change = pool.recordPace(*serversOf(request.group),
        { request.server, request.incarnation, active.query.route->name, request.sentAt, outcome },
        connectionsOf(*active.query.table, request.group), now);
    logPace(request.server, request.group, change);
}

void Engine::Private::logPace(const Common::BackendServerId& server, const GroupName& group, PaceChange change)
{
    if (change == PaceChange::None)
        return;
    Observe::logEvent(Observe::Part::Relay,
        change == PaceChange::Entered ? Observe::Event::ServerPaced : Observe::Event::ServerPaceEnded,
        { { "server", server.value() }, { "group", group.value() } });
}

// Sends the queued requests of the group while its servers have free connections.
void Engine::Private::serveWaiters(const GroupName& group)
{
    refuseLateWaiters(group);
    // Waiters that may not use the servers with free connections. They don't hold up the others.
    std::vector<Limits::Waiter> unsent;
    for (;;) {
        auto waiter
            = groups.withValue(group, [&](GroupState& state) { return Limits::pop(state.waiting, Clock::now()); });
        if (!waiter)
            break;
        if (trySendWaiter(*waiter, group))
            continue;
        serveWaitersOnceOpen(*waiter, group);
        bool isFull = waiter->avoidServers.empty();
        unsent.push_back(std::move(*waiter));
        if (isFull)
            break;
    }
    if (unsent.empty())
        return;
    groups.withValue(group, [&](GroupState& state) {
        for (auto it = unsent.rbegin(); it != unsent.rend(); ++it)
            Limits::putBack(state.waiting, std::move(*it));
    });
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId id, const Abandon& abandon)
{
    AttemptKey key { id, abandon.attempt };
    ConnectionPtr connection;
    Http::ExchangeId exchange;
    GroupName group;
    bool isInFlight = inFlightRequests.ifPresent(key, [&](InFlightRequest& inFlight) {
        inFlight.isAbandoned = true;
        group = inFlight.group;
        connection = inFlight.connection;
        exchange = inFlight.exchange;
    });
    if (isInFlight) {
        metrics.count(Counter::Cancellations, group.value());
        timers.after(options.abandonGrace, [self = shared_from_this(), key, connection, exchange] {
            bool isStillInFlight = self->inFlightRequests.ifPresent(key, [](InFlightRequest&) {});
            if (isStillInFlight)
                connection->cancel(exchange);
        });
        return;
    }
    for (const Relay::Part& part : active->query.parts) {
        bool found = groups.withValue(part.group, [&](GroupState& state) {
            return Limits::remove(state.waiting, id, abandon.attempt, active->query.route->name, active->caller);
        });
        if (found)
            return;
    }
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId id, const WakeAt& wakeAt)
{
    std::weak_ptr<ActiveCall> weak = active;
    auto timer = timers.at(wakeAt.when, [self = shared_from_this(), weak, id] {
        if (auto active = weak.lock())
            self->step(active, id, [](Query& query) { return wake(query, Clock::now()); });
    });
    Common::TimerId earlier;
    {
        std::lock_guard lock(active->mutex);
        earlier = std::exchange(active->wake, timer);
    }
    timers.cancel(earlier);
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId id, Finish& finish)
{
    Done done;
    bool isStopped = false;
    {
        std::lock_guard lock(active->mutex);
        done = std::exchange(active->done, nullptr);
        isStopped = active->query.stopAt && Clock::now() >= *active->query.stopAt;
    }
    endQuery(active, id);
    if (isStopped)
        countStopped(finish.answer);
    recordEnd(*active, finish.answer);
    if (done)
        done(std::move(finish.answer));
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId, Deliver& deliver)
{
    Done done;
    {
        std::lock_guard lock(active->mutex);
        done = std::exchange(active->done, nullptr);
    }
    Answer answer = std::move(deliver.merged);
    recordEnd(*active, answer);
    if (done)
        done(std::move(answer));
}

void Engine::Private::perform(const ActiveCallPtr& active, QueryId id, const Expire&) { endQuery(active, id); }

void Engine::Private::endQuery(const ActiveCallPtr& active, QueryId id)
{
    Common::TimerId timer;
    {
        std::lock_guard lock(active->mutex);
        timer = active->wake;
    }
    timers.cancel(timer);
    queries.take(id);
    if (active->bundle)
        bundles.take(*active->bundle);
    --this->pendingOperations;
}

} // namespace Relay
