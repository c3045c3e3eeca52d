#include "Relay/Engine.h"

#include "Observe/EventLog.h"
#include "Relay/AdmissionSlots.h"
#include "Relay/EnginePrivate.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <thread>

namespace Relay {

namespace {

    // One in this many successful requests is logged. Failed ones are always logged.
    constexpr uint64_t servedLogInterval = 64;

} // namespace

Common::Random& localRandom()
{
    static thread_local Common::Random random(std::hash<std::thread::id> {}(std::this_thread::get_id()));
    return random;
}

std::string toText(Milliseconds time) { return std::to_string(std::lround(time.value())); }

Limits::CallerClass Engine::Private::callerClassOf(
    const Relay::Call& call, const Routes::Table& table, const Routes::Route& route) const
{
    if (!options.usesPriorities)
        return {};
    const Routes::Tenant* tenant = call.tenant ? Routes::findTenant(table, *call.tenant) : nullptr;
    return { Routes::priorityOf(route, tenant), call.tenant };
}

// The median of the observed times of sub-requests.
Milliseconds Engine::Private::serviceTimeOf(const Common::RouteName& route)
{
    return latencies.withValue(route, [](Routing::LatencyStats& stats) { return Routing::quantile(stats, 0.5); });
}

// Refuses a call before anything is sent if more groups than may be missing have wait queues here that exceed the
// latency objective. Only waiters that would be served before this call count.
std::optional<AdmissionRefusal> Engine::Private::checkOverload(
    const Query& query, const Limits::CallerClass& caller, TimePoint now)
{
    Milliseconds service = serviceTimeOf(query.route->name);
    const auto& fanOut = query.route->fanOut;
    size_t allowed = fanOut ? allowedMissing(*fanOut, query.parts.size()) : 0;
    std::vector<Milliseconds> excess; // Over the latency objective, of the groups that exceed it.
    for (const Relay::Part& part : query.parts) {
        size_t ahead = groups.withValue(part.group,
            [&](GroupState& state) { return Limits::waitersAhead(state.waiting, query.route->name, caller); });
        if (!ahead)
            continue;
        const Routes::Group* group = Routes::findGroup(*query.table, part.group);
        double slots = admissionSlots(*serversOf(part.group), connectionsOf(*query.table, part.group),
            group ? group->warmupRate : Common::RequestRate(0), service, now);
        Limits::Backlog backlog { ahead, false, slots, service };
        Milliseconds over = now + Limits::estimatedTime(backlog) - query.times.objective;
        if (over > Milliseconds(0))
            excess.push_back(over);
    }
    if (excess.size() <= allowed)
        return std::nullopt;
    // The call can be admitted as soon as only the allowed number of groups exceeds the objective.
    std::sort(excess.begin(), excess.end(), std::greater<>());
    return AdmissionRefusal { Common::makeError(Reason::Overloaded, "admit",
                                  std::to_string(excess.size())
                                      + " groups have queues that exceed the latency objective"),
        excess[allowed] };
}

void Engine::Private::refuse(const CallPtr& call, const Routes::TablePtr& routes, Reason reason,
    const std::string& message, Milliseconds retryAfter, const Done& done)
{
    metrics.count(Counter::Refusals, Common::reasonCode(reason));
    Observe::logEvent(Observe::Part::Relay, Observe::Event::Refused,
        { { "request", call->id.value() }, { "reason", Common::reasonCode(reason) }, { "why", message },
            { "host", call->host }, { "path", call->path }, { "content", Common::toHex(call->keys.content) },
            { "table", std::to_string(routes ? routes->number.value() : 0) } });
    done(Refusal { Common::makeError(reason, "admit", message), true, retryAfter });
}

Times Engine::Private::timesOf(const Relay::Call& call, const Routes::Route& route, TimePoint arrived) const
{
    Milliseconds margin = options.returnMargin;
    Milliseconds wait = std::min(call.timeLeft.value_or(route.timeout), route.timeout) - margin;
    Times times { arrived, arrived + route.latencyObjective - margin, arrived + wait };
    times.deadline = std::min(times.deadline, stopAt.load());
    times.objective = std::min(times.objective, times.deadline);
    return times;
}

void Engine::Private::relay(const CallPtr& call, Done done) { admit(call, Clock::now(), true, std::move(done)); }

void Engine::Private::admit(const CallPtr& call, TimePoint arrived, bool mayHold, Done done)
{
    Routes::TablePtr routes;
    {
        std::lock_guard lock(viewMutex);
        routes = table;
    }
    if (!routes) {
        if (refuseIfStopping(call, routes, nullptr, done))
            return;
        if (mayHold && holdCall(call, std::nullopt, arrived, done))
            return;
        // Spread, since all callers that arrived in this time are refused together.
        Milliseconds retryAfter = refusedRetryAfter * (1 + localRandom().unit());
        refuse(call, routes, Reason::Unavailable, "no route table is known yet", retryAfter, done);
        return;
    }
    const Routes::Route* route = Routes::match(*routes, call->host, call->path);
    if (!route) {
        refuse(call, routes, Reason::NotFound, "no route matches", Milliseconds(0), done);
        return;
    }
    auto tenant = Routes::identify(*routes, *route, call->credentials);
    if (!tenant) {
        refuse(call, routes, tenant.error().reason, tenant.error().message, Milliseconds(0), done);
        return;
    }
    if (refuseIfStopping(call, routes, route, done))
        return;
    if (mayHold && !isStopping() && shouldWaitForServers(*route, arrived)
        && holdCall(call, route->latencyObjective, arrived, done))
        return;
    CallPtr admitted = routes->tenants ? identified(*call, tenant.value(), backendCodec.tenantHeaders) : call;
    Times times = timesOf(*admitted, *route, arrived);
    if (tenant.value() && tenant.value()->quota)
        admitByQuota(admitted, routes, *route, { *tenant.value()->quota, routes->number }, times, done);
    else
        forward(admitted, routes, *route, times, std::move(done));
}

void Engine::Private::forward(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Times& times, Done done)
{
    if (route.fanOut)
        gather(call, routes, route, times, std::move(done));
    else
        run(call, routes, route, { { Routes::chooseGroup(route, nextGroupChoice++).group }, std::nullopt, false },
            times, std::move(done));
}

void Engine::Private::run(const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route,
    const LocalRequest& request, const Times& times, Done done)
{
    auto now = Clock::now();
    QueryId id(nextQuery++);
    if (times.deadline <= now) {
        refuse(call, routes, Reason::DeadlineExceeded, "the caller's deadline has passed", Milliseconds(0), done);
        return;
    }
    auto verdicts = suspects->verdictsOn(call->keys, now);
    bool maySendAny = std::any_of(request.groups.begin(), request.groups.end(),
        [&](const GroupName& group) { return Suspects::maySend(verdicts, group, true); });
    if (!maySendAny) {
        refuse(call, routes, Reason::Quarantined, quarantineText, Suspects::remainingOf(verdicts), done);
        return;
    }
    auto active = std::make_shared<ActiveCall>();
    active->call = call;
    active->query = makeQuery(routes, route, request.groups, 1, request.bundle.has_value(), times);
    active->caller = callerClassOf(*call, *routes, route);
    if (auto refusal = checkOverload(active->query, active->caller, now)) {
        auto wait = Limits::retryAfter(refusal->capacityIn, times.deadline - now, localRandom().unit());
        refuse(call, routes, refusal->error.reason, refusal->error.message, wait, done);
        return;
    }
    active->requestHead = backendCodec.encodeHead(*call);
    active->done = std::move(done);
    active->bundle = request.bundle;
    ++this->pendingOperations;
    queries.insert(id, active);
    scheduleSweep();
    if (request.bundle)
        bundles.insert(*request.bundle, id);
    bool isSuspect = Suspects::standingInAllGroups(verdicts) == Suspects::Standing::Suspect;
    StartOptions options { request.mayHaveBeenSent, isSuspect };
    step(active, id, [&](Query& query) { return start(query, now, options); });
    // stopBy() does not see a query that is inserted while it runs.
    if (isStopping())
        step(active, id, [&](Query& query) { return Relay::stopBy(query, stopAt, Clock::now()); });
    if (!call->caller)
        return;
    call->caller->onDisconnect([self = shared_from_this(), weak = std::weak_ptr<ActiveCall>(active), id] {
        if (auto active = weak.lock())
            self->step(active, id, [](Query& query) { return callerGone(query, Clock::now()); });
    });
}

// Logs one line per call or bundle. Complete answers are sampled.
void Engine::Private::logAnswer(Observe::Event event, const Relay::Call& call, const Routes::Table& routes,
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
    // nextQuery counts the queries of all routes, so the sample covers all of them.
    if (isServed && nextQuery % servedLogInterval)
        return;
    Observe::logEvent(Observe::Part::Relay, event,
        { { "request", call.id.value() }, { "outcome", outcome }, { "route", route.name.value() }, { "what", what },
            { "took_ms", toText(took) }, { "aim_ms", toText(route.latencyObjective) }, { "detail", detail },
            { "table", std::to_string(routes.number.value()) } });
}

void Engine::Private::recordEnd(const ActiveCall& active, const Answer& answer)
{
    Milliseconds took = Clock::now() - active.query.times.arrived;
    const Routes::Route& route = *active.query.route;
    metrics.observe(Observe::Latency::Query, took, route.name.value());
    metrics.count(Counter::Queries, std::holds_alternative<Refusal>(answer) ? "refused" : "answered");
    std::string what = active.bundle
        ? std::to_string(active.query.parts.size()) + " groups for " + active.bundle->requester.value()
        : "group " + active.query.parts.front().group.value();
    logAnswer(Observe::Event::Ended, *active.call, *active.query.table, route, answer, took, what);
}

Engine::Engine(EngineOptions options, BackendCodec backendCodec, Peers peers, Common::Timers& timers,
    Observe::Metrics& metrics, std::shared_ptr<Suspects::Board> suspects)
    : m_private(std::make_shared<Private>(
        std::move(options), std::move(backendCodec), std::move(peers), timers, metrics, std::move(suspects)))
{
}

Engine::~Engine() = default;

void Engine::setTable(Routes::TablePtr table)
{
    m_private->hasWarmupRates = std::any_of(table->groups.begin(), table->groups.end(),
        [](const Routes::Group& group) { return group.warmupRate > Common::RequestRate(0); });
    std::lock_guard lock(m_private->viewMutex);
    m_private->table = std::move(table);
    if (!m_private->tableKnownAt)
        m_private->tableKnownAt = Clock::now();
    m_private->updateGatherers();
}

void Engine::admitHeldCalls() { m_private->reviewHeldCalls(); }

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
        m_private->updateGatherers();
    }
    m_private->pool.keepOnly(ids);
    for (const GroupName& group : names)
        m_private->serveWaiters(group);
    m_private->reviewHeldCalls();
}

void Engine::setInstances(std::vector<Roster::Peer> instances)
{
    std::vector<Common::Address> addresses;
    addresses.reserve(instances.size());
    for (const Roster::Peer& peer : instances)
        addresses.push_back(peer.address);
    std::lock_guard lock(m_private->viewMutex);
    Limits::setInstances(
        m_private->changeKeeperView(), std::move(addresses), m_private->options.self.address, Clock::sinceBoot());
    m_private->instances = std::move(instances);
    m_private->updateGatherers();
}

void Engine::confirmView()
{
    std::lock_guard lock(m_private->viewMutex);
    m_private->viewConfirmedAt = Clock::now();
}

void Engine::relay(const CallPtr& call, Done done) { m_private->relay(call, std::move(done)); }

size_t Engine::inFlight() const { return static_cast<size_t>(std::max<int64_t>(m_private->pendingOperations, 0)); }

} // namespace Relay
