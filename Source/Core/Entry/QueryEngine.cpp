#include "Entry/QueryEngine.h"

#include "Common/ContentDigest.h"
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

    // Includes the index version, since the same text may crash a server with one version and not with another.
    Common::Fingerprint fingerprintOf(const QueryRequest& request, Common::IndexVersion version)
    {
        std::string number = std::to_string(version.value());
        return Common::Fingerprint(Common::digestOf({ "lookup", request.route.value(), number, request.text }).low);
    }

    Common::Error trialError(const Gather::MissingPart& part)
    {
        return Common::makeError(part.reason, "try-one-shard", part.detail);
    }

} // namespace

Common::Result<std::unique_ptr<RunningQuery>> QueryEngine::Private::admit(QueryRequest& request, Done& done)
{
    auto running = std::make_unique<RunningQuery>();
    BOOST_OUTCOME_TRY(route, dependencies.configuration.resolve(request.route));
    if (route.route.kind != Model::RouteKind::Lookup)
        return Common::makeError(
            Reason::InvalidInput, "admit-query", "route " + request.route.value() + " is run-once: send to /v1/run");
    running->route = std::move(route);
    running->fingerprint = fingerprintOf(request, running->route.route.version);
    if (dependencies.membership.isQuarantined(running->fingerprint))
        return Common::makeError(
            Reason::Quarantined, "admit-query", "this request was in flight on several lost servers");
    const Model::QueryRoute& settings = running->route.route;
    running->admitted = Clock::now();
    Milliseconds timeLeft = std::min(request.timeLeft.value_or(settings.deadline), settings.deadline);
    Gather::QueryOptions options;
    options.deadline = running->admitted + timeLeft;
    options.returnMargin = dependencies.settings.returnMargin;
    options.minimumCoverage = settings.minimumCoverage;
    options.maximumAttempts = dependencies.settings.attempts;
    options.mayRetry = dependencies.settings.hedging && dependencies.membership.mayRetry(running->fingerprint);
    running->query = Gather::makeQuery({ running->route.index->version, running->route.index->shards }, options);
    running->candidates = dependencies.servers.candidates(settings.group, settings.version);
    running->id = request.id;
    running->text = std::move(request.text);
    BOOST_OUTCOME_TRYV(checkLoad(*running));
    running->done = std::move(done);
    return running;
}

// Refuses a query early if the wait queue of one of its shards is too long for the deadline.
Common::Result<void> QueryEngine::Private::checkLoad(const RunningQuery& running)
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
        const auto& among = running.candidates->forShard(shard.id);
        QueueKey key { route.group, route.version, shard.id };
        size_t ahead = among.empty() ? 0 : waiting.waitersAhead(key, route.name);
        if (!ahead)
            continue;
        backlogs.push_back({ ahead, dependencies.servers.hasFreeSlot(*running.candidates, among, now),
            dependencies.servers.usableSlots(*running.candidates, among, now), serviceTime });
    }
    return Limits::admit(backlogs, running.query.options.deadline, now);
}

void QueryEngine::Private::perform(QueryId id, const Gather::CancelAttempt& cancel, RunningQuery* finished)
{
    std::optional<Backend::CallId> call;
    std::optional<Gather::StartAttempt> queued;
    Common::RouteName route;
    QueueKey key;
    auto detach = [&](RunningQuery& r) {
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
        detach(*finished);
    else
        queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) { detach(*r); });
    if (queued) {
        key.shard = queued->shard;
        waiting.remove(key, id, cancel.id, route);
        returnRetry(key.group, queued->purpose);
    }
    if (!call)
        return;
    dependencies.metrics.count(Counter::Cancellations, key.group.value());
    dependencies.backend.cancelSearch(*call);
}

void QueryEngine::Private::scheduleWake(QueryId id, TimePoint when)
{
    std::weak_ptr<Private> weak = weak_from_this();
    auto timer = dependencies.timers.at(when, [weak, id] {
        if (auto self = weak.lock())
            self->decideAndPerform(id, [](RunningQuery& r) { return Gather::wake(r.query, Clock::now()); });
    });
    std::optional<Common::TimerId> unused = timer;
    queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& r) {
        // Another call may have scheduled a different wake-up since, or this timer may have fired already. The timer of
        // the latest call must stay: a query without a timer would never end.
        if (r->query.nextWake == when)
            std::swap(unused, r->timer);
    });
    if (unused)
        dependencies.timers.cancel(*unused);
}

void QueryEngine::Private::finish(std::unique_ptr<RunningQuery> running, Gather::Answer answer)
{
    if (running->timer)
        dependencies.timers.cancel(*running->timer);
    // Attempts that were enqueued while the query cancelled them still hold a retry token.
    for (const auto& [attempt, start] : running->waiting)
        returnRetry(running->route.route.group, start.purpose);
    const std::string& route = running->route.route.name.value();
    dependencies.metrics.observe(Observe::Latency::Query, Clock::now() - running->admitted, route);
    dependencies.metrics.observe(Observe::Share::Coverage, answer.coverage, route);
    dependencies.metrics.count(Counter::Queries, answer.refusal ? "refused" : answer.complete ? "complete" : "partial");
    dependencies.metrics.change(Observe::Gauge::QueriesInFlight, -1, route);
    dependencies.timeline.record(answer.refusal ? EventKind::QueryRefused : EventKind::QueryAnswered,
        running->id.value(), "coverage " + std::to_string(answer.coverage.value()));
    if (answer.complete)
        dependencies.membership.reportCompletion(running->fingerprint);
    if (answer.refusal) {
        running->done(*answer.refusal);
        return;
    }
    running->done(std::move(answer));
}

void QueryEngine::Private::launch(std::unique_ptr<RunningQuery> running)
{
    QueryId id(nextId++);
    running->wireId = dependencies.self.value() + "-" + std::to_string(id.value());
    const std::string& route = running->route.route.name.value();
    dependencies.metrics.change(Observe::Gauge::QueriesInFlight, 1, route);
    dependencies.timeline.record(EventKind::QueryAdmitted, running->id.value(),
        "route " + route + " version " + std::to_string(running->query.plan.version.value()) + " as "
            + running->wireId);
    Milliseconds hedgeDelay;
    groups.withValue(
        running->route.route.group, [&](GroupStatistics& group) { hedgeDelay = Routing::hedgeDelay(group.latency); });
    queries.insert(id, std::move(running));
    decideAndPerform(id, [&](RunningQuery& r) { return Gather::start(r.query, Clock::now(), hedgeDelay); });
}

// Sends a request that is suspected to crash servers to one shard first, so it crashes at most one more server. It goes
// to all shards only if that shard answers.
void QueryEngine::Private::tryOneShard(std::unique_ptr<RunningQuery> running)
{
    auto full = std::make_shared<std::unique_ptr<RunningQuery>>(std::move(running));
    const RunningQuery& original = **full;
    auto trial = std::make_unique<RunningQuery>();
    trial->id = original.id;
    trial->route = original.route;
    trial->text = original.text;
    trial->fingerprint = original.fingerprint;
    trial->candidates = original.candidates;
    trial->admitted = original.admitted;
    Gather::QueryOptions options = original.query.options;
    options.minimumCoverage = Common::Ratio(0);
    options.mayRetry = false;
    trial->query = Gather::makeQuery({ original.query.plan.version, { original.query.plan.shards.front() } }, options);
    auto self = shared_from_this();
    trial->done = [self, full](const Common::Result<Gather::Answer>& answer) {
        if (answer && answer.value().missing.empty()) {
            self->launch(std::move(*full));
            return;
        }
        // The trial was sent, so the error must not be one that means that nothing was sent.
        (*full)->done(answer ? trialError(answer.value().missing.front()) : answer.error());
    };
    launch(std::move(trial));
}

QueryEngine::QueryEngine(const QueryDependencies& dependencies)
    : m_private(std::make_shared<Private>(dependencies))
{
}

QueryEngine::~QueryEngine() = default;

void QueryEngine::query(QueryRequest request, Done done)
{
    auto self = m_private;
    auto admitted = self->admit(request, done);
    if (!admitted) {
        self->dependencies.metrics.count(Counter::Refusals, Common::reasonCode(admitted.error().reason));
        self->dependencies.timeline.record(EventKind::QueryRefused, request.id.value(), admitted.error().message);
        done(admitted.error());
        return;
    }
    std::unique_ptr<RunningQuery> running = std::move(admitted).value();
    const auto& membership = self->dependencies.membership;
    if (membership.isSuspect(running->fingerprint) && !membership.hasCompleted(running->fingerprint))
        self->tryOneShard(std::move(running));
    else
        self->launch(std::move(running));
}

size_t QueryEngine::inFlight() const { return m_private->queries.size(); }

} // namespace Entry
