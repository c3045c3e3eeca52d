#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

namespace {

    // Round trip between two instances, subtracted from the latency objective of a delegated bundle.
    constexpr Milliseconds delegationMargin { 3 };
    // All bundles of a call are delivered at the same time and processed one after the other. Time for each on a tenth
    // of a core.
    constexpr Milliseconds bundleMargin { 1 };
    // For the probe before a bundle is sent. An instance that has a tenth of a core and other work can answer in this
    // time, and another instance can still gather the bundle afterwards.
    constexpr Milliseconds firstProbeTimeout { 25 };
    // A gatherer that has not answered this long after the objective is probed, and is bypassed if it does not respond.
    constexpr Milliseconds probeAfterObjective { 10 };
    constexpr Milliseconds probeTimeout { 40 };
    // Bundles are delivered at the objective, so merged answers this much later still count as in time.
    constexpr Milliseconds lateTolerance { 8 };
    constexpr Milliseconds gathererPause { 1'500 };
    // Servers announce themselves about once a second.
    constexpr Milliseconds unservedRetryAfter { 250 };

    std::vector<GroupName> groupsAt(const Routes::FanOut& fanOut, const std::vector<size_t>& places)
    {
        std::vector<GroupName> groups;
        groups.reserve(places.size());
        for (size_t place : places)
            groups.push_back(fanOut.groups[place]);
        return groups;
    }

} // namespace

// Gathers the groups in bundles, each from one failure domain that has servers of all its groups.
void Engine::Private::gather(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Times& times, Done done)
{
    size_t unserved = unservedGroups(*route.fanOut);
    if (unserved > allowedMissing(*route.fanOut, route.fanOut->groups.size())) {
        refuse(call, routes, Reason::Unavailable, std::to_string(unserved) + " groups have no known server",
            unservedRetryAfter, done);
        return;
    }
    const GroupName shedKey = route.fanOut->groups.front();
    double chance = localRandom().unit();
    bool isAdmitted = shedders.withValue(
        shedKey, [&](Limits::LoadShedder& shedder) { return Limits::shouldAdmit(shedder, chance); });
    if (!isAdmitted) {
        refuse(call, routes, Reason::Overloaded, "too many answers are late", refusedRetryAfter, done);
        return;
    }
    auto gathering = std::make_shared<Gathering>();
    gathering->bundles = requestedBundlesOf(*route.fanOut, times.arrived);
    size_t bundleCount = gathering->bundles.size();
    std::vector<std::vector<size_t>> groupsOfBundles;
    for (const RequestedBundle& bundle : gathering->bundles)
        groupsOfBundles.push_back(bundle.groups);
    gathering->assembly = makeAssembly(*route.fanOut, groupsOfBundles);
    gathering->call = call;
    gathering->table = routes;
    gathering->route = &route;
    gathering->times = times;
    gathering->done = [self = shared_from_this(), shedKey, call, routes, &route, times, n = bundleCount,
                          done = std::move(done)](Answer answer) {
        auto end = Clock::now();
        if (!std::holds_alternative<CallerGone>(answer)) {
            bool isLate = !std::holds_alternative<Merged>(answer) || end > times.objective + lateTolerance;
            self->shedders.withValue(
                shedKey, [&](Limits::LoadShedder& shedder) { Limits::recordAnswer(shedder, isLate); });
        }
        self->logAnswer(Observe::Event::Gathered, *call, *routes, route, answer, end - times.arrived,
            std::to_string(n) + " bundles");
        done(std::move(answer));
    };
    if (call->caller) {
        std::weak_ptr<Gathering> weak = gathering;
        call->caller->onDisconnect([weak] {
            if (auto gathering = weak.lock())
                gathering->finish(CallerGone {});
        });
    }
    for (size_t i = 0; i < bundleCount; ++i)
        gatherBundle(gathering, i);
}

void Engine::Private::gatherBundle(const GatheringPtr& gathering, size_t index)
{
    RequestedBundle bundle;
    {
        std::lock_guard lock(gathering->mutex);
        bundle = gathering->bundles[index];
    }
    Done done = [self = shared_from_this(), gathering, index](
                    Answer answer) { self->bundleAnswered(gathering, index, std::move(answer)); };
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

void Engine::Private::runBundle(
    const Gathering& gathering, const RequestedBundle& bundle, bool mayHaveBeenSent, Done done)
{
    run(gathering.call, gathering.table, *gathering.route,
        { groupsAt(*gathering.route->fanOut, bundle.groups), BundleKey { options.self.address, bundle.id },
            mayHaveBeenSent },
        gathering.times, std::move(done));
}

void Engine::Private::bundleAnswered(const GatheringPtr& gathering, size_t index, Answer answer)
{
    AssemblyStep step;
    {
        std::lock_guard lock(gathering->mutex);
        step = addBundleAnswer(gathering->assembly, index, std::move(answer));
    }
    if (step.answer)
        gathering->finish(std::move(*step.answer));
    for (const ResumePart& part : step.resume)
        resumeBundle(gathering, part);
}

void Engine::Private::resumeBundle(const GatheringPtr& gathering, const ResumePart& part)
{
    RequestedBundle bundle;
    {
        std::lock_guard lock(gathering->mutex);
        bundle = gathering->bundles[part.bundle];
    }
    Done done = [self = shared_from_this(), gathering, index = part.bundle](
                    Answer answer) { self->bundleAnswered(gathering, index, std::move(answer)); };
    if (!bundle.gatherer) {
        resumeLocally({ options.self.address, bundle.id }, part.needed, done);
        return;
    }
    peers.gather(*bundle.gatherer, { options.self.address, ResumeBundle { bundle.id, part.needed } },
        gathering->times.deadline - Clock::now(), [done = std::move(done)](const Common::Result<Answer>& result) {
            done(result ? result.value() : Answer(Refusal { result.error(), false, Milliseconds(0) }));
        });
}

void Engine::Private::resumeLocally(const BundleKey& key, size_t needed, const Done& done)
{
    QueryId id;
    ActiveCallPtr active;
    bundles.ifPresent(key, [&](QueryId& found) { id = found; });
    queries.ifPresent(id, [&](ActiveCallPtr& found) { active = found; });
    bool isAlive = false;
    if (active) {
        std::lock_guard lock(active->mutex);
        isAlive = active->query.isDelivered && !active->query.finished;
        if (isAlive)
            active->done = done;
    }
    if (!isAlive) {
        done(Refusal {
            Common::makeError(Reason::DeadlineExceeded, "resume", "the bundle has ended"), false, Milliseconds(0) });
        return;
    }
    step(active, id, [&](Query& query) { return resume(query, needed, Clock::now()); });
}

// An unresponsive gatherer must not receive a bundle. Whether it sent anything would be unknown, and sending the
// requests again would take from the retry budget.
void Engine::Private::delegate(const std::shared_ptr<Delegation>& delegation)
{
    const Common::Address& gatherer = *delegation->bundle.gatherer;
    bool isAlive = false;
    {
        std::lock_guard lock(viewMutex);
        isAlive = wasHeardRecently(health, gatherer, Clock::now());
    }
    if (isAlive) {
        sendDelegation(delegation);
        return;
    }
    ++pendingOperations;
    peers.probe(gatherer, firstProbeTimeout, [self = shared_from_this(), delegation](bool hasAnswered) {
        --self->pendingOperations;
        if (!hasAnswered) {
            self->gatherLocally(delegation, false, "no answer to a probe");
            return;
        }
        {
            std::lock_guard lock(self->viewMutex);
            markHeard(self->health, *delegation->bundle.gatherer, Clock::now());
        }
        self->sendDelegation(delegation);
    });
}

void Engine::Private::sendDelegation(const std::shared_ptr<Delegation>& delegation)
{
    auto now = Clock::now();
    ++pendingOperations;
    const Gathering& gathering = *delegation->gathering;
    DelegatedCall call { delegation->bundle.id, gathering.table->number, now - gathering.times.arrived,
        delegation->bundle.groups, gathering.call };
    auto self = shared_from_this();
    peers.gather(*delegation->bundle.gatherer, { options.self.address, call }, gathering.times.deadline - now,
        [self, delegation](const Common::Result<Answer>& result) {
            --self->pendingOperations;
            if (result) {
                {
                    std::lock_guard lock(self->viewMutex);
                    markHeard(self->health, *delegation->bundle.gatherer, Clock::now());
                }
                if (auto done = delegation->takeDone())
                    done(result.value());
                return;
            }
            Reason reason = result.error().reason;
            bool hasSentNothing
                = reason == Reason::Unavailable || reason == Reason::ConnectionFailed || reason == Reason::Overloaded;
            self->gatherLocally(delegation, !hasSentNothing, Common::describe(result.error()));
        });
    scheduleProbe(delegation);
}

// Detects a gatherer that stalls after it received a bundle. Its connection would report that only much later.
void Engine::Private::scheduleProbe(const std::shared_ptr<Delegation>& delegation)
{
    std::weak_ptr<Delegation> weak = delegation;
    auto self = shared_from_this();
    timers.at(delegation->gathering->times.objective + probeAfterObjective, [self, weak] {
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
                self->gatherLocally(delegation, true, "the gatherer does not respond");
        });
    });
}

void Engine::Private::gatherLocally(
    const std::shared_ptr<Delegation>& delegation, bool mayHaveSent, const std::string& why)
{
    auto now = Clock::now();
    {
        std::lock_guard lock(viewMutex);
        pause(health, *delegation->bundle.gatherer, now + gathererPause);
    }
    auto done = delegation->takeDone();
    if (!done)
        return;
    const Gathering& gathering = *delegation->gathering;
    Observe::logEvent(Observe::Part::Relay, Observe::Event::GathererPassedBy,
        { { "request", gathering.call->id.value() }, { "gatherer", delegation->bundle.gatherer->value() },
            { "may_have_sent", mayHaveSent ? "yes" : "no" }, { "why", why } });
    {
        std::lock_guard lock(delegation->gathering->mutex);
        delegation->gathering->bundles[delegation->index].gatherer.reset();
    }
    runBundle(gathering, delegation->bundle, mayHaveSent, std::move(done));
}

void Engine::gather(const BundleRequest& request, const std::function<void(Common::Result<Answer>)>& done)
{
    Done answer = [done](Answer a) { done(std::move(a)); };
    if (auto resume = std::get_if<ResumeBundle>(&request.body)) {
        m_private->resumeLocally({ request.requester, resume->bundle }, resume->needed, answer);
        return;
    }
    auto& delegated = std::get<DelegatedCall>(request.body);
    Routes::TablePtr routes = table();
    const Routes::Route* route = routes ? Routes::match(*routes, delegated.call->host, delegated.call->path) : nullptr;
    bool isSameTable = route && route->fanOut && routes->number == delegated.table
        && std::all_of(delegated.groups.begin(), delegated.groups.end(),
            [&](size_t place) { return place < route->fanOut->groups.size(); });
    if (!isSameTable || delegated.groups.empty()) {
        done(Common::makeError(Reason::Unavailable, "gather", "another route table is in force here"));
        return;
    }
    auto arrived = Clock::now() - delegated.waited;
    m_private->run(delegated.call, routes, *route,
        { groupsAt(*route->fanOut, delegated.groups), BundleKey { request.requester, delegated.bundle }, false },
        m_private->timesOf(*delegated.call, *route, arrived,
            delegationMargin + bundleMargin * static_cast<double>(partitionCount(route->fanOut->groups.size()))),
        std::move(answer));
}

} // namespace Relay
