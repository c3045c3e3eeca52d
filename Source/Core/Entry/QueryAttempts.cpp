#include "Entry/QueryEnginePrivate.h"

#include "Limits/WaitQueue.h"

using Common::AttemptId;
using Common::Clock;
using Common::Milliseconds;
using Common::QueryId;
using Common::Reason;
using Common::TimePoint;
using Observe::Counter;
using Observe::EventKind;

namespace Entry {

namespace {

    // How often a queue is looked at beside the release of slots: servers that paused come back without a release.
    constexpr Milliseconds queueInterval { 10 };

    Limits::Completion completionOf(const Common::Result<Backend::SearchAnswer>& answer)
    {
        if (answer)
            return Limits::Completion::Ok;
        switch (answer.error().reason) {
        case Reason::Refused:
            return Limits::Completion::Shed;
        case Reason::Cancelled:
        case Reason::Overloaded:
            return Limits::Completion::Cancelled;
        case Reason::DeadlineExceeded:
            return Limits::Completion::TimedOut;
        default:
            return Limits::Completion::Failed;
        }
    }

    Counter counterOf(Gather::Purpose purpose)
    {
        switch (purpose) {
        case Gather::Purpose::First:
            return Counter::FirstSends;
        case Gather::Purpose::Retry:
            return Counter::Retries;
        case Gather::Purpose::Hedge:
            return Counter::Hedges;
        }
        return Counter::FirstSends;
    }

} // namespace

void QueryEngine::Private::perform(QueryId id, const Gather::StartAttempt& wanted)
{
    Gather::StartAttempt start = wanted;
    std::shared_ptr<const CandidateSet> candidates;
    QueueKey key;
    TimePoint before;
    bool found = queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) {
        candidates = r->candidates;
        key = { r->route.route.group, r->route.route.version, start.shard };
        before = Gather::subRequestDeadline(r->query);
        // A send that reached no server was no load: made again it is still the first, and needs no budget.
        if (start.purpose == Gather::Purpose::Retry && r->unreached > 0) {
            --r->unreached;
            start.purpose = Gather::Purpose::First;
        }
    });
    if (!found)
        return;
    bool isFirst = start.purpose == Gather::Purpose::First;
    bool isHedge = start.purpose == Gather::Purpose::Hedge;
    if (!isFirst && !takeExtra(key.group)) {
        notStarted(
            id, start.id, Common::makeError(Reason::Overloaded, "extra-budget", "hedges and retries are used up"));
        return;
    }
    // First sends queue up behind others; a retry's query is older than those.
    Placed placed = place(start, *candidates, { !isFirst || waiting.isEmpty(key), !isHedge, before });
    if (placed.placement == Placement::Taken) {
        begin({ id, start, false, key.group, candidates->servers[placed.server] });
        return;
    }
    // A hedge does not wait for a server in trouble: it would hold back the budget of others.
    if (placed.placement == Placement::NoSlot || (placed.placement == Placement::Paused && !isHedge)) {
        wait(id, start, key);
        return;
    }
    returnExtra(key.group, start.purpose);
    bool isPaused = placed.placement == Placement::Paused;
    notStarted(id, start.id,
        Common::makeError(isPaused ? Reason::Overloaded : Reason::Unavailable, "choose-replica",
            isPaused ? "the replicas left are paused" : "no replica can be asked before the deadline"));
}

Placed QueryEngine::Private::place(
    const Gather::StartAttempt& start, const CandidateSet& candidates, const PlaceOptions& options)
{
    Routing::Avoid avoid { start.avoidServers, start.avoidDomains };
    return use.servers.place(candidates, candidates.of(start.shard), avoid, options, Clock::now());
}

bool QueryEngine::Private::takeExtra(const Common::GroupName& name)
{
    return groups.withValue(name, [](GroupStatistics& group) { return Limits::tryTakeRetry(group.budget); });
}

void QueryEngine::Private::returnExtra(const Common::GroupName& name, Gather::Purpose purpose)
{
    if (purpose != Gather::Purpose::First)
        groups.withValue(name, [](GroupStatistics& group) { Limits::returnRetry(group.budget); });
}

void QueryEngine::Private::notStarted(QueryId id, AttemptId attempt, const Common::Error& error)
{
    drive(id, [&](RunningQuery& r) { return Gather::attemptNotStarted(r.query, attempt, error, Clock::now()); });
}

void QueryEngine::Private::wait(QueryId id, const Gather::StartAttempt& start, const QueueKey& key)
{
    Limits::Waiter waiter { id, start.id, start.shard, {}, {}, start.avoidServers };
    bool found = queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) {
        r->waiting[start.id] = start;
        waiter.route = r->route.route.name;
        waiter.deadline = Gather::subRequestDeadline(r->query);
    });
    if (!found) {
        returnExtra(key.group, start.purpose);
        return;
    }
    if (waiting.push(key, std::move(waiter)))
        watchQueue(key);
    // A slot may have become free between the try and the push.
    drain(key);
}

void QueryEngine::Private::watchQueue(const QueueKey& key)
{
    std::weak_ptr<Private> weak = weak_from_this();
    use.timers.after(queueInterval, [weak, key] {
        auto self = weak.lock();
        if (!self)
            return;
        self->drain(key);
        if (!self->waiting.isEmpty(key))
            self->watchQueue(key);
    });
}

void QueryEngine::Private::drain(const QueueKey& key)
{
    auto set = use.servers.candidates(key.group, key.version);
    for (auto& [waiter, server] : waiting.drain(key, *set, Clock::now())) {
        Gather::StartAttempt start { .id = waiter.attempt, .shard = waiter.shard };
        begin({ waiter.query, std::move(start), true, key.group, set->servers[server] });
    }
}

// A slot is taken: tells the query, and sends unless it no longer wants the attempt.
void QueryEngine::Private::begin(const Beginning& beginning)
{
    const Membership::Candidate& chosen = beginning.server;
    Sending sending { beginning.query, beginning.start.id, beginning.start.purpose,
        { chosen.server, chosen.address, beginning.group }, chosen.incarnation, {}, Clock::now() };
    bool wanted = false;
    // A queued attempt that is gone from the list was cancelled, and its budget given back then.
    bool isOurs = !beginning.wasQueued;
    drive(beginning.query, [&](RunningQuery& r) {
        if (auto it = r.waiting.find(beginning.start.id); it != r.waiting.end()) {
            isOurs = true;
            sending.purpose = it->second.purpose;
            r.waiting.erase(it);
        }
        Gather::Effects effects;
        wanted = claim(r, beginning, sending, effects);
        return effects;
    });
    if (wanted) {
        send(std::move(sending));
        return;
    }
    use.servers.release(chosen.server, Limits::Completion::Cancelled, Milliseconds(0), Clock::now());
    if (isOurs)
        returnExtra(beginning.group, sending.purpose);
}

// Under the query's lock: whether the attempt is to be sent, and what.
bool QueryEngine::Private::claim(
    RunningQuery& r, const Beginning& beginning, Sending& sending, Gather::Effects& effects)
{
    const Membership::Candidate& chosen = beginning.server;
    AttemptId attempt = beginning.start.id;
    Milliseconds timeLeft = Gather::subRequestDeadline(r.query) - sending.sentAt;
    if (timeLeft <= Milliseconds(0))
        return false;
    effects = Gather::attemptStarted(r.query, attempt, chosen.server, chosen.domain, sending.sentAt);
    bool wanted = std::none_of(effects.begin(), effects.end(), [&](const Gather::Effect& effect) {
        auto cancel = std::get_if<Gather::CancelAttempt>(&effect);
        return cancel && cancel->id == attempt;
    });
    if (!wanted)
        return false;
    r.sent[attempt] = {};
    sending.request = { .queryId = r.wireId,
        .version = r.query.plan.version,
        .shard = beginning.start.shard,
        .text = r.text,
        .timeLeft = timeLeft,
        .fingerprint = r.fingerprint };
    for (const Model::Shard& shard : r.route.index->shards) {
        if (shard.id == beginning.start.shard)
            sending.request.range = shard.range;
    }
    return true;
}

void QueryEngine::Private::send(Sending sending)
{
    const std::string& group = sending.target.group.value();
    use.metrics.count(counterOf(sending.purpose), group);
    if (sending.purpose == Gather::Purpose::First)
        groups.withValue(sending.target.group, [](GroupStatistics& g) { Limits::countFirstSend(g.budget); });
    else
        use.timeline.record(
            sending.purpose == Gather::Purpose::Hedge ? EventKind::SubRequestHedged : EventKind::SubRequestRetried,
            sending.request.queryId, "to " + sending.target.server.value());
    auto self = shared_from_this();
    Backend::CallId call = use.backend.search(sending.target, sending.request,
        [self, sending](Common::Result<Backend::SearchAnswer> answer) { self->answered(sending, std::move(answer)); });
    bool cancel = true; // Unless the query still wants it.
    queries.ifPresent(sending.query, [&](std::unique_ptr<RunningQuery>& r) {
        auto it = r->sent.find(sending.attempt);
        // The answer may have come already.
        cancel = it != r->sent.end() && it->second.cancelled;
        if (it != r->sent.end())
            it->second.call = call;
    });
    if (cancel)
        use.backend.cancelSearch(call);
}

void QueryEngine::Private::answered(const Sending& sending, Common::Result<Backend::SearchAnswer> answer)
{
    auto now = Clock::now();
    Milliseconds took = now - sending.sentAt;
    const Common::GroupName& group = sending.target.group;
    auto completion = completionOf(answer);
    use.servers.release(sending.target.server, completion, took, now);
    use.metrics.observe(Observe::Latency::SubRequest, took, group.value());
    // A request that was cancelled or timed out counts with the time it ran; one that was not sent or was refused
    // says nothing about latency.
    bool ran
        = answer || answer.error().reason == Reason::Cancelled || answer.error().reason == Reason::DeadlineExceeded;
    if (ran)
        groups.withValue(group, [&](GroupStatistics& g) { Routing::record(g.latency, took); });
    if (answer) {
        Backend::SearchAnswer& part = answer.value();
        bool late = true;
        drive(sending.query, [&](RunningQuery& r) {
            late = false;
            r.sent.erase(sending.attempt);
            return Gather::subAnswer(
                r.query, sending.attempt, part.version, part.shard, part.range, std::move(part.items), now);
        });
        if (late)
            use.metrics.count(Counter::LateAnswers, group.value());
        drainAfterRelease(sending, group);
        return;
    }
    drainAfterRelease(sending, group);
    if (answer.error().reason != Reason::ConnectionLost) {
        failed(sending, answer.error());
        return;
    }
    connectionLost(sending, answer.error());
}

// Finds out whether the server is lost too, before a retry could lose another one.
void QueryEngine::Private::connectionLost(const Sending& sending, const Common::Error& error)
{
    std::optional<Common::Fingerprint> fingerprint;
    queries.ifPresent(sending.query, [&](std::unique_ptr<RunningQuery>& r) {
        if (r->lossReported || use.membership.hasCompleted(r->fingerprint))
            return;
        r->lossReported = true;
        fingerprint = r->fingerprint;
    });
    auto self = shared_from_this();
    use.losses.connectionLost(
        sending.target, sending.incarnation, fingerprint, [self, sending, error, fingerprint](bool isServerLost) {
            if (fingerprint && !isServerLost)
                self->queries.ifPresent(
                    sending.query, [](std::unique_ptr<RunningQuery>& r) { r->lossReported = false; });
            self->failed(sending, error);
        });
}

void QueryEngine::Private::failed(const Sending& sending, const Common::Error& error)
{
    drive(sending.query, [&](RunningQuery& r) {
        r.sent.erase(sending.attempt);
        if (error.reason == Reason::ConnectionFailed && sending.purpose == Gather::Purpose::First)
            ++r.unreached;
        if (!use.membership.mayRetry(r.fingerprint))
            Gather::forbidRetries(r.query);
        return Gather::attemptFailed(r.query, sending.attempt, error, Clock::now());
    });
}

void QueryEngine::Private::drainAfterRelease(const Sending& sending, const Common::GroupName& group)
{
    if (!waiting.size())
        return;
    auto set = use.servers.candidates(group, sending.request.version);
    auto it = std::find_if(set->servers.begin(), set->servers.end(),
        [&](const Membership::Candidate& c) { return c.server == sending.target.server; });
    if (it == set->servers.end())
        return;
    for (Common::ShardId shard : it->shards) {
        QueueKey key { group, sending.request.version, shard };
        if (!waiting.isEmpty(key))
            drain(key);
    }
}

} // namespace Entry
