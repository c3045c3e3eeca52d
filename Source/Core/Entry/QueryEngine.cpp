#include "Entry/QueryEngine.h"

#include "Common/Hash.h"
#include "Entry/GroupStatistics.h"
#include "Entry/WaitingAttempts.h"
#include "Gather/Query.h"
#include "Limits/WaitQueue.h"
#include "Observe/Log.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

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

    // A request that was sent and has not come back.
    struct Sent {
        Backend::CallId call;
        Common::BackendServerId server;
        bool cancelled { false };
    };

    struct Running {
        Gather::Query query;
        Common::RequestId id;
        ResolvedRoute route;
        std::string text;
        std::string wireId;
        Common::Fingerprint fingerprint;
        std::shared_ptr<const CandidateSet> candidates;
        QueryEngine::Done done;
        TimePoint admitted;
        std::unordered_map<AttemptId, Sent> sent;
        std::unordered_map<AttemptId, Gather::StartAttempt> waiting; // Whoever takes one out answers for its budget.
        std::optional<Common::TimerId> timer;
        bool lossReported { false }; // One run counts as one loss, however many servers went with it.
        size_t unreached { 0 }; // First sends that reached no server and have not been made again.
    };

    // An attempt for which a slot was taken.
    struct Beginning {
        QueryId query;
        Gather::StartAttempt start; // Of a queued attempt, the id and the shard only.
        bool wasQueued { false };
        const Common::GroupName& group;
        const Membership::Candidate& server;
    };

    // What is needed to send one attempt, copied out of the query's lock.
    struct Sending {
        QueryId query;
        AttemptId attempt;
        Gather::Purpose purpose { Gather::Purpose::First };
        Backend::Target target;
        Common::Incarnation incarnation;
        Backend::SearchRequest request;
        TimePoint sentAt;
    };

    // Of another index version the same text may be harmless, or not.
    Common::Fingerprint fingerprintOf(const QueryRequest& request, Common::IndexVersion version)
    {
        return Common::Fingerprint(
            Common::hash64(request.text, Common::hash64(request.route.value(), version.value())));
    }

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

struct QueryEngine::Private : std::enable_shared_from_this<QueryEngine::Private> {
    explicit Private(QueryDependencies d)
        : use(d)
        , waiting(d.servers)
    {
    }

    QueryDependencies use;
    std::atomic<uint64_t> nextId { 1 };
    Common::ShardedMap<QueryId, std::unique_ptr<Running>> queries;
    GroupStatisticsMap groups;
    WaitingAttempts waiting;

    Common::Result<std::unique_ptr<Running>> admit(QueryRequest&, Done&);
    Common::Result<void> checkLoad(const Running&);
    template <typename Function> void drive(QueryId, Function&&);
    void perform(QueryId, const Gather::StartAttempt&);
    void perform(QueryId, const Gather::CancelAttempt&, Running* finished);
    void wakeAt(QueryId, TimePoint);
    void finish(QueryId, std::unique_ptr<Running>, Gather::Answer);

    bool takeExtra(const Common::GroupName&);
    void returnExtra(const Common::GroupName&, Gather::Purpose);
    Placed place(const Gather::StartAttempt&, const CandidateSet&, const PlaceOptions&);
    void notStarted(QueryId, AttemptId, const Common::Error&);
    void wait(QueryId, const Gather::StartAttempt&, const QueueKey&);
    void begin(const Beginning&);
    bool claim(Running&, const Beginning&, Sending&, Gather::Effects&);
    void send(Sending);
    void answered(const Sending&, Common::Result<Backend::SearchAnswer>);
    void connectionLost(const Sending&, const Common::Error&);
    void failed(const Sending&, const Common::Error&);
    void launch(std::unique_ptr<Running>);
    void tryOneShard(std::unique_ptr<Running>);
    void drain(const QueueKey&);
    void drainAfterRelease(const Sending&, const Common::GroupName&);
    void watchQueue(const QueueKey&);
};

// Runs a decision on a query under its lock, then carries out the effects without it.
template <typename Function> void QueryEngine::Private::drive(QueryId id, Function&& decide)
{
    Gather::Effects effects;
    queries.ifPresent(id, [&](std::unique_ptr<Running>& running) { effects = decide(*running); });
    std::unique_ptr<Running> finished;
    auto isFinish = [](const Gather::Effect& effect) { return std::holds_alternative<Gather::Finish>(effect); };
    if (std::any_of(effects.begin(), effects.end(), isFinish)) {
        auto taken = queries.take(id);
        finished = taken ? std::move(*taken) : nullptr;
    }
    for (Gather::Effect& effect : effects) {
        if (auto start = std::get_if<Gather::StartAttempt>(&effect))
            perform(id, *start);
        else if (auto cancel = std::get_if<Gather::CancelAttempt>(&effect))
            perform(id, *cancel, finished.get());
        else if (auto wake = std::get_if<Gather::WakeAt>(&effect); wake && !finished)
            wakeAt(id, wake->when);
    }
    if (!finished)
        return;
    for (Gather::Effect& effect : effects) {
        if (auto end = std::get_if<Gather::Finish>(&effect)) {
            finish(id, std::move(finished), std::move(end->answer));
            return;
        }
    }
}

Common::Result<std::unique_ptr<Running>> QueryEngine::Private::admit(QueryRequest& request, Done& done)
{
    auto running = std::make_unique<Running>();
    BOOST_OUTCOME_TRY(route, use.configuration.resolve(request.route));
    if (route.route.kind != Model::RouteKind::Lookup)
        return Common::makeError(
            Reason::InvalidInput, "admit-query", "route " + request.route.value() + " runs once: send to /v1/run");
    running->route = std::move(route);
    running->fingerprint = fingerprintOf(request, running->route.route.version);
    if (use.membership.isQuarantined(running->fingerprint))
        return Common::makeError(Reason::Quarantined, "admit-query", "this request was in flight on lost servers");
    const Model::QueryRoute& settings = running->route.route;
    running->admitted = Clock::now();
    Milliseconds timeLeft = std::min(request.timeLeft.value_or(settings.deadline), settings.deadline);
    Gather::QueryOptions options;
    options.deadline = running->admitted + timeLeft;
    options.returnMargin = use.settings.returnMargin;
    options.minimumCoverage = settings.minimumCoverage;
    options.maximumAttempts = use.settings.attempts;
    options.mayRetry = use.settings.hedging && use.membership.mayRetry(running->fingerprint);
    running->query = Gather::makeQuery({ running->route.index->version, running->route.index->shards }, options);
    running->candidates = use.servers.candidates(settings.group, settings.version);
    running->id = request.id;
    running->text = std::move(request.text);
    BOOST_OUTCOME_TRYV(checkLoad(*running));
    running->done = std::move(done);
    return running;
}

// Refuses a query early if the queue of one of its shards can't be served in time.
Common::Result<void> QueryEngine::Private::checkLoad(const Running& running)
{
    if (running.candidates->servers.empty())
        return Common::makeError(Reason::Unavailable, "admit-query",
            "no backend server of group " + running.route.group.name.value() + " holds the index version");
    if (!waiting.size())
        return Common::success();
    const Model::QueryRoute& route = running.route.route;
    Milliseconds serviceTime;
    groups.withValue(route.group, [&](GroupStatistics& group) { serviceTime = Routing::mean(group.latency); });
    std::vector<Limits::Backlog> backlogs;
    auto now = Clock::now();
    for (const Model::Shard& shard : running.route.index->shards) {
        const auto& among = running.candidates->of(shard.id);
        QueueKey key { route.group, route.version, shard.id };
        size_t ahead = among.empty() ? 0 : waiting.ahead(key, route.name);
        if (!ahead)
            continue;
        backlogs.push_back({ ahead, use.servers.hasRoom(*running.candidates, among, now),
            use.servers.slots(*running.candidates, among, now), serviceTime });
    }
    return Limits::admit(backlogs, running.query.options.deadline, now);
}

void QueryEngine::Private::perform(QueryId id, const Gather::StartAttempt& wanted)
{
    Gather::StartAttempt start = wanted;
    std::shared_ptr<const CandidateSet> candidates;
    QueueKey key;
    TimePoint before;
    bool found = queries.ifPresent(id, [&](std::unique_ptr<Running>& r) {
        candidates = r->candidates;
        key = { r->route.route.group, r->route.route.version, start.shard };
        before = Gather::answerBy(r->query);
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
    return groups.withValue(name, [](GroupStatistics& group) { return Limits::tryTakeExtra(group.budget); });
}

void QueryEngine::Private::returnExtra(const Common::GroupName& name, Gather::Purpose purpose)
{
    if (purpose != Gather::Purpose::First)
        groups.withValue(name, [](GroupStatistics& group) { Limits::returnExtra(group.budget); });
}

void QueryEngine::Private::notStarted(QueryId id, AttemptId attempt, const Common::Error& error)
{
    drive(id, [&](Running& r) { return Gather::attemptNotStarted(r.query, attempt, error, Clock::now()); });
}

void QueryEngine::Private::wait(QueryId id, const Gather::StartAttempt& start, const QueueKey& key)
{
    Limits::Waiter waiter { id, start.id, start.shard, {}, {}, start.avoidServers };
    bool found = queries.ifPresent(id, [&](std::unique_ptr<Running>& r) {
        r->waiting[start.id] = start;
        waiter.route = r->route.route.name;
        waiter.deadline = Gather::answerBy(r->query);
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
    drive(beginning.query, [&](Running& r) {
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
bool QueryEngine::Private::claim(Running& r, const Beginning& beginning, Sending& sending, Gather::Effects& effects)
{
    const Membership::Candidate& chosen = beginning.server;
    AttemptId attempt = beginning.start.id;
    Milliseconds timeLeft = Gather::answerBy(r.query) - sending.sentAt;
    if (timeLeft <= Milliseconds(0))
        return false;
    effects = Gather::attemptStarted(r.query, attempt, chosen.server, chosen.domain, sending.sentAt);
    bool wanted = std::none_of(effects.begin(), effects.end(), [&](const Gather::Effect& effect) {
        auto cancel = std::get_if<Gather::CancelAttempt>(&effect);
        return cancel && cancel->id == attempt;
    });
    if (!wanted)
        return false;
    r.sent[attempt] = { {}, chosen.server };
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
    queries.ifPresent(sending.query, [&](std::unique_ptr<Running>& r) {
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
        drive(sending.query, [&](Running& r) {
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
    queries.ifPresent(sending.query, [&](std::unique_ptr<Running>& r) {
        if (r->lossReported || use.membership.hasCompleted(r->fingerprint))
            return;
        r->lossReported = true;
        fingerprint = r->fingerprint;
    });
    auto self = shared_from_this();
    use.losses.connectionLost(
        sending.target, sending.incarnation, fingerprint, [self, sending, error, fingerprint](bool isServerLost) {
            if (fingerprint && !isServerLost)
                self->queries.ifPresent(sending.query, [](std::unique_ptr<Running>& r) { r->lossReported = false; });
            self->failed(sending, error);
        });
}

void QueryEngine::Private::failed(const Sending& sending, const Common::Error& error)
{
    drive(sending.query, [&](Running& r) {
        r.sent.erase(sending.attempt);
        if (error.reason == Reason::ConnectionFailed && sending.purpose == Gather::Purpose::First)
            ++r.unreached;
        if (!use.membership.mayRetry(r.fingerprint))
            Gather::barExtras(r.query);
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

void QueryEngine::Private::perform(QueryId id, const Gather::CancelAttempt& cancel, Running* finished)
{
    std::optional<Backend::CallId> call;
    std::optional<Gather::StartAttempt> queued;
    Common::RouteName route;
    QueueKey key;
    auto look = [&](Running& r) {
        route = r.route.route.name;
        key = { r.route.route.group, r.route.route.version, {} };
        if (auto it = r.sent.find(cancel.id); it != r.sent.end()) {
            it->second.cancelled = true;
            if (it->second.call != Backend::CallId())
                call = it->second.call;
        }
        if (auto it = r.waiting.find(cancel.id); it != r.waiting.end()) {
            queued = std::move(it->second);
            r.waiting.erase(it);
        }
    };
    if (finished)
        look(*finished);
    else
        queries.ifPresent(id, [&](std::unique_ptr<Running>& r) { look(*r); });
    if (queued) {
        key.shard = queued->shard;
        waiting.remove(key, id, cancel.id, route);
        returnExtra(key.group, queued->purpose);
    }
    if (!call)
        return;
    use.metrics.count(Counter::Cancellations, key.group.value());
    use.backend.cancelSearch(*call);
}

void QueryEngine::Private::wakeAt(QueryId id, TimePoint when)
{
    std::weak_ptr<Private> weak = weak_from_this();
    auto timer = use.timers.at(when, [weak, id] {
        if (auto self = weak.lock())
            self->drive(id, [](Running& r) { return Gather::wake(r.query, Clock::now()); });
    });
    std::optional<Common::TimerId> unused = timer;
    queries.ifPresent(id, [&](std::unique_ptr<Running>& r) {
        // Another time may have been asked for since, by a call in between or on another thread, or this timer has
        // fired already. That call's timer must stay: a query without one would never end.
        if (r->query.nextWake == when)
            std::swap(unused, r->timer);
    });
    if (unused)
        use.timers.cancel(*unused);
}

void QueryEngine::Private::finish(QueryId, std::unique_ptr<Running> running, Gather::Answer answer)
{
    if (running->timer)
        use.timers.cancel(*running->timer);
    // Attempts that came into the queue while the query cancelled them.
    for (const auto& [attempt, start] : running->waiting)
        returnExtra(running->route.route.group, start.purpose);
    const std::string& route = running->route.route.name.value();
    use.metrics.observe(Observe::Latency::Query, Clock::now() - running->admitted, route);
    use.metrics.observe(Observe::Share::Coverage, answer.coverage, route);
    use.metrics.count(Counter::Queries, answer.refusal ? "refused" : answer.complete ? "complete" : "partial");
    use.metrics.change(Observe::Gauge::QueriesInFlight, -1, route);
    use.timeline.record(answer.refusal ? EventKind::QueryRefused : EventKind::QueryAnswered, running->id.value(),
        "coverage " + std::to_string(answer.coverage.value()));
    if (answer.complete)
        use.membership.reportCompletion(running->fingerprint);
    if (answer.refusal) {
        running->done(*answer.refusal);
        return;
    }
    running->done(std::move(answer));
}

void QueryEngine::Private::launch(std::unique_ptr<Running> running)
{
    QueryId id(nextId++);
    running->wireId = use.self.value() + "-" + std::to_string(id.value());
    const std::string& route = running->route.route.name.value();
    use.metrics.change(Observe::Gauge::QueriesInFlight, 1, route);
    use.timeline.record(EventKind::QueryAdmitted, running->id.value(),
        "route " + route + " version " + std::to_string(running->query.plan.version.value()) + " as "
            + running->wireId);
    Milliseconds hedgeDelay;
    groups.withValue(
        running->route.route.group, [&](GroupStatistics& group) { hedgeDelay = Routing::hedgeDelay(group.latency); });
    queries.insert(id, std::move(running));
    drive(id, [&](Running& r) { return Gather::start(r.query, Clock::now(), hedgeDelay); });
}

// A request that is suspected to crash servers goes to one shard first, so that it takes one more server at most. Only
// if it comes back from there does it go to all.
void QueryEngine::Private::tryOneShard(std::unique_ptr<Running> running)
{
    auto whole = std::make_shared<std::unique_ptr<Running>>(std::move(running));
    const Running& model = **whole;
    auto trial = std::make_unique<Running>();
    trial->id = model.id;
    trial->route = model.route;
    trial->text = model.text;
    trial->fingerprint = model.fingerprint;
    trial->candidates = model.candidates;
    trial->admitted = model.admitted;
    Gather::QueryOptions options = model.query.options;
    options.minimumCoverage = Common::Ratio(0);
    options.mayRetry = false;
    trial->query = Gather::makeQuery({ model.query.plan.version, { model.query.plan.shards.front() } }, options);
    auto self = shared_from_this();
    trial->done = [self, whole](const Common::Result<Gather::Answer>& answer) {
        if (answer && answer.value().missing.empty()) {
            self->launch(std::move(*whole));
            return;
        }
        (*whole)->done(Common::makeError(
            Reason::Quarantined, "try-one-shard", "the request is suspected to crash servers, and a trial failed"));
    };
    launch(std::move(trial));
}

QueryEngine::QueryEngine(const QueryDependencies& use)
    : m_private(std::make_shared<Private>(use))
{
}

QueryEngine::~QueryEngine() = default;

void QueryEngine::query(QueryRequest request, Done done)
{
    auto self = m_private;
    auto admitted = self->admit(request, done);
    if (!admitted) {
        self->use.metrics.count(Counter::Refusals, Common::reasonCode(admitted.error().reason));
        self->use.timeline.record(EventKind::QueryRefused, request.id.value(), admitted.error().message);
        done(admitted.error());
        return;
    }
    std::unique_ptr<Running> running = std::move(admitted).value();
    const auto& membership = self->use.membership;
    if (membership.isSuspect(running->fingerprint) && !membership.hasCompleted(running->fingerprint))
        self->tryOneShard(std::move(running));
    else
        self->launch(std::move(running));
}

size_t QueryEngine::inFlight() const { return m_private->queries.size(); }

} // namespace Entry
