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

    // A queue is polled in addition to the release of slots, since a paused server becomes available without one.
    constexpr Milliseconds queuePollInterval { 10 };

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

void QueryEngine::Private::perform(QueryId id, const Gather::StartAttempt& requested)
{
    Gather::StartAttempt start = requested;
    std::shared_ptr<const CandidateSet> candidates;
    QueueKey key;
    TimePoint deadline;
    bool found = queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) {
        candidates = r->candidates;
        key = { r->route.route.group, r->route.route.version, start.shard };
        deadline = Gather::subRequestDeadline(r->query);
        // A send that reached no server caused no load. Its repetition counts as a first send and needs no retry token.
        if (start.purpose == Gather::Purpose::Retry && r->unreachedFirstSends > 0) {
            --r->unreachedFirstSends;
            start.purpose = Gather::Purpose::First;
        }
    });
    if (!found)
        return;
    bool isFirst = start.purpose == Gather::Purpose::First;
    bool isHedge = start.purpose == Gather::Purpose::Hedge;
    if (!isFirst && !tryTakeRetry(key.group)) {
        reportNotStarted(id, start.id,
            Common::makeError(
                Reason::Overloaded, "extra-budget", "the retry budget for hedges and retries is exhausted"));
        return;
    }
    // First sends queue behind waiting attempts. Retries and hedges skip the queue: their query is older than those.
    PlacementResult result = place(start, *candidates, { !isFirst || waiting.isEmpty(key), !isHedge, deadline });
    if (result.placement == Placement::Acquired) {
        startPlaced({ id, start, false, key.group, candidates->servers[result.server] });
        return;
    }
    // A hedge does not wait for a paused server, since it would withhold its retry token from other queries.
    if (result.placement == Placement::NoSlot || (result.placement == Placement::Paused && !isHedge)) {
        enqueue(id, start, key);
        return;
    }
    returnRetry(key.group, start.purpose);
    bool isPaused = result.placement == Placement::Paused;
    reportNotStarted(id, start.id,
        Common::makeError(isPaused ? Reason::Overloaded : Reason::Unavailable, "choose-replica",
            isPaused ? "the remaining replicas are paused" : "no replica is available before the deadline"));
}

PlacementResult QueryEngine::Private::place(
    const Gather::StartAttempt& start, const CandidateSet& candidates, const PlacementOptions& options)
{
    Routing::Exclusions exclusions { start.avoidServers, start.avoidDomains };
    return dependencies.servers.place(candidates, candidates.forShard(start.shard), exclusions, options, Clock::now());
}

bool QueryEngine::Private::tryTakeRetry(const Common::GroupName& name)
{
    return groups.withValue(name, [](GroupStatistics& group) { return Limits::tryTakeRetry(group.budget); });
}

void QueryEngine::Private::returnRetry(const Common::GroupName& name, Gather::Purpose purpose)
{
    if (purpose != Gather::Purpose::First)
        groups.withValue(name, [](GroupStatistics& group) { Limits::returnRetry(group.budget); });
}

void QueryEngine::Private::reportNotStarted(QueryId id, AttemptId attempt, const Common::Error& error)
{
    decideAndPerform(
        id, [&](RunningQuery& r) { return Gather::attemptNotStarted(r.query, attempt, error, Clock::now()); });
}

void QueryEngine::Private::enqueue(QueryId id, const Gather::StartAttempt& start, const QueueKey& key)
{
    Limits::Waiter waiter { id, start.id, start.shard, {}, {}, start.avoidServers };
    bool found = queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) {
        r->waiting[start.id] = start;
        waiter.route = r->route.route.name;
        waiter.deadline = Gather::subRequestDeadline(r->query);
    });
    if (!found) {
        returnRetry(key.group, start.purpose);
        return;
    }
    if (waiting.push(key, std::move(waiter)))
        scheduleQueuePoll(key);
    // A slot may have been released between place() and push().
    drain(key);
}

void QueryEngine::Private::scheduleQueuePoll(const QueueKey& key)
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(queuePollInterval, [weak, key] {
        auto self = weak.lock();
        if (!self)
            return;
        self->drain(key);
        if (!self->waiting.isEmpty(key))
            self->scheduleQueuePoll(key);
    });
}

void QueryEngine::Private::drain(const QueueKey& key)
{
    auto set = dependencies.servers.candidates(key.group, key.version);
    for (auto& [waiter, server] : waiting.drain(key, *set, Clock::now())) {
        Gather::StartAttempt start { .id = waiter.attempt, .shard = waiter.shard };
        startPlaced({ waiter.query, std::move(start), true, key.group, set->servers[server] });
    }
}

// Informs the query of the acquired slot and sends the attempt, unless the query has cancelled it or its time is up.
void QueryEngine::Private::startPlaced(const PlacedAttempt& placed)
{
    const Membership::Candidate& server = placed.server;
    SubRequest subRequest { placed.query, placed.start.id, placed.start.purpose,
        { server.server, server.address, placed.group }, server.incarnation, {}, Clock::now() };
    bool isWanted = false;
    // A queued attempt that is missing from the list was cancelled, which returned its retry token.
    bool ownsRetryToken = !placed.wasQueued;
    decideAndPerform(placed.query, [&](RunningQuery& r) {
        if (auto it = r.waiting.find(placed.start.id); it != r.waiting.end()) {
            ownsRetryToken = true;
            subRequest.purpose = it->second.purpose;
            r.waiting.erase(it);
        }
        Gather::Effects effects;
        isWanted = prepareSubRequest(r, placed, subRequest, effects);
        return effects;
    });
    if (isWanted) {
        send(std::move(subRequest));
        return;
    }
    dependencies.servers.release(server.server, Limits::Completion::Cancelled, Milliseconds(0), Clock::now());
    if (ownsRetryToken)
        returnRetry(placed.group, subRequest.purpose);
}

// Called under the query's lock. Fills in the request; returns false if the attempt must not be sent.
bool QueryEngine::Private::prepareSubRequest(
    RunningQuery& r, const PlacedAttempt& placed, SubRequest& subRequest, Gather::Effects& effects)
{
    const Membership::Candidate& server = placed.server;
    AttemptId attempt = placed.start.id;
    Milliseconds timeLeft = Gather::subRequestDeadline(r.query) - subRequest.sentAt;
    if (timeLeft <= Milliseconds(0))
        return false;
    effects = Gather::attemptStarted(r.query, attempt, server.server, server.domain, subRequest.sentAt);
    bool isWanted = std::none_of(effects.begin(), effects.end(), [&](const Gather::Effect& effect) {
        auto cancel = std::get_if<Gather::CancelAttempt>(&effect);
        return cancel && cancel->id == attempt;
    });
    if (!isWanted)
        return false;
    r.sent[attempt] = {};
    subRequest.request = { .queryId = r.wireId,
        .version = r.query.plan.version,
        .shard = placed.start.shard,
        .text = r.text,
        .timeLeft = timeLeft,
        .fingerprint = r.fingerprint };
    for (const Model::Shard& shard : r.route.index->shards) {
        if (shard.id == placed.start.shard)
            subRequest.request.range = shard.range;
    }
    return true;
}

void QueryEngine::Private::send(SubRequest subRequest)
{
    const std::string& group = subRequest.target.group.value();
    dependencies.metrics.count(counterOf(subRequest.purpose), group);
    if (subRequest.purpose == Gather::Purpose::First)
        groups.withValue(subRequest.target.group, [](GroupStatistics& g) { Limits::countFirstSend(g.budget); });
    else
        dependencies.timeline.record(
            subRequest.purpose == Gather::Purpose::Hedge ? EventKind::SubRequestHedged : EventKind::SubRequestRetried,
            subRequest.request.queryId, "to " + subRequest.target.server.value());
    auto self = shared_from_this();
    Backend::CallId call = dependencies.backend.search(
        subRequest.target, subRequest.request, [self, subRequest](Common::Result<Backend::SearchAnswer> answer) {
            self->onAnswer(subRequest, std::move(answer));
        });
    bool cancel = true; // A query that has finished needs no answer.
    queries.ifPresent(subRequest.query, [&](std::unique_ptr<RunningQuery>& r) {
        auto it = r->sent.find(subRequest.attempt);
        // The attempt is missing if its answer has arrived already.
        cancel = it != r->sent.end() && it->second.cancelled;
        if (it != r->sent.end())
            it->second.call = call;
    });
    if (cancel)
        dependencies.backend.cancelSearch(call);
}

void QueryEngine::Private::onAnswer(const SubRequest& subRequest, Common::Result<Backend::SearchAnswer> answer)
{
    auto now = Clock::now();
    Milliseconds took = now - subRequest.sentAt;
    const Common::GroupName& group = subRequest.target.group;
    auto completion = completionOf(answer);
    dependencies.servers.release(subRequest.target.server, completion, took, now);
    dependencies.metrics.observe(Observe::Latency::SubRequest, took, group.value());
    // A cancelled or timed-out request counts with the time that it ran. One that was not sent or was refused gives no
    // latency sample.
    bool ran
        = answer || answer.error().reason == Reason::Cancelled || answer.error().reason == Reason::DeadlineExceeded;
    if (ran)
        groups.withValue(group, [&](GroupStatistics& g) { Routing::record(g.latency, took); });
    if (answer) {
        Backend::SearchAnswer& part = answer.value();
        bool isLate = true;
        decideAndPerform(subRequest.query, [&](RunningQuery& r) {
            isLate = false;
            r.sent.erase(subRequest.attempt);
            return Gather::subAnswer(
                r.query, subRequest.attempt, part.version, part.shard, part.range, std::move(part.items), now);
        });
        if (isLate)
            dependencies.metrics.count(Counter::LateAnswers, group.value());
        drainAfterRelease(subRequest, group);
        return;
    }
    drainAfterRelease(subRequest, group);
    if (answer.error().reason != Reason::ConnectionLost) {
        onFailure(subRequest, answer.error());
        return;
    }
    onConnectionLost(subRequest, answer.error());
}

// Determines whether the server is lost before a retry is sent, since the retry could crash another server.
void QueryEngine::Private::onConnectionLost(const SubRequest& subRequest, const Common::Error& error)
{
    std::optional<Common::Fingerprint> fingerprint;
    queries.ifPresent(subRequest.query, [&](std::unique_ptr<RunningQuery>& r) {
        if (r->lossReported || dependencies.membership.hasCompleted(r->fingerprint))
            return;
        r->lossReported = true;
        fingerprint = r->fingerprint;
    });
    auto self = shared_from_this();
    dependencies.losses.onConnectionLost(subRequest.target, subRequest.incarnation, fingerprint,
        [self, subRequest, error, fingerprint](bool isServerLost) {
            if (fingerprint && !isServerLost)
                self->queries.ifPresent(
                    subRequest.query, [](std::unique_ptr<RunningQuery>& r) { r->lossReported = false; });
            self->onFailure(subRequest, error);
        });
}

void QueryEngine::Private::onFailure(const SubRequest& subRequest, const Common::Error& error)
{
    decideAndPerform(subRequest.query, [&](RunningQuery& r) {
        r.sent.erase(subRequest.attempt);
        if (error.reason == Reason::ConnectionFailed && subRequest.purpose == Gather::Purpose::First)
            ++r.unreachedFirstSends;
        if (!dependencies.membership.mayRetry(r.fingerprint))
            Gather::forbidRetries(r.query);
        return Gather::attemptFailed(r.query, subRequest.attempt, error, Clock::now());
    });
}

void QueryEngine::Private::drainAfterRelease(const SubRequest& subRequest, const Common::GroupName& group)
{
    if (!waiting.size())
        return;
    auto set = dependencies.servers.candidates(group, subRequest.request.version);
    auto it = std::find_if(set->servers.begin(), set->servers.end(),
        [&](const Membership::Candidate& c) { return c.server == subRequest.target.server; });
    if (it == set->servers.end())
        return;
    for (Common::ShardId shard : it->shards) {
        QueueKey key { group, subRequest.request.version, shard };
        if (!waiting.isEmpty(key))
            drain(key);
    }
}

} // namespace Entry
