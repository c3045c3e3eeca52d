#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

namespace {

    // The way between two instances and back, kept back from the time in which an answer is wanted.
    constexpr Milliseconds delegationMargin { 3 };
    // The bundles of a call are delivered at the same time, and taken in one after the other: so long each, on a tenth
    // of a core.
    constexpr Milliseconds bundleMargin { 1 };
    // Of the probe before a bundle: so long that a tenth of a core answers it beside other work, and so short that
    // another instance can still gather in time.
    constexpr Milliseconds firstProbeTimeout { 25 };
    // A gatherer that has not answered so long after the aim is probed, and passed by if it is silent.
    constexpr Milliseconds probeAfterAim { 10 };
    constexpr Milliseconds probeTimeout { 40 };
    // Answers of bundles come so long after the aim, and are in time all the same.
    constexpr Milliseconds lateSlack { 8 };
    constexpr Milliseconds gathererPause { 1'500 };
    // Servers make themselves known about each second.
    constexpr Milliseconds unservedRetryAfter { 250 };

    std::vector<GroupName> groupsAt(const Routes::Fan& fan, const std::vector<size_t>& places)
    {
        std::vector<GroupName> groups;
        groups.reserve(places.size());
        for (size_t place : places)
            groups.push_back(fan.groups[place]);
        return groups;
    }

} // namespace

// Asks the groups in bundles, each in a failure domain that has servers of all of them.
void Engine::Private::gather(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Times& times, Done done)
{
    size_t unserved = unservedGroups(*route.fan);
    if (unserved > mayMiss(*route.fan, route.fan->groups.size())) {
        refuse(call, routes, Reason::Unavailable, std::to_string(unserved) + " groups have no known server",
            unservedRetryAfter, done);
        return;
    }
    const GroupName shedKey = route.fan->groups.front();
    double chance = localRandom().unit();
    bool isTaken = shedders.withValue(
        shedKey, [&](Limits::LoadShedder& shedder) { return Limits::shouldAdmit(shedder, chance); });
    if (!isTaken) {
        refuse(call, routes, Reason::Overloaded, "too many answers are late", refusedRetryAfter, done);
        return;
    }
    auto gathering = std::make_shared<Gathering>();
    gathering->bundles = askedBundlesOf(*route.fan, times.arrived);
    size_t bundleCount = gathering->bundles.size();
    std::vector<std::vector<size_t>> groupsOfBundles;
    for (const AskedBundle& bundle : gathering->bundles)
        groupsOfBundles.push_back(bundle.groups);
    gathering->assembly = makeAssembly(*route.fan, groupsOfBundles);
    gathering->call = call;
    gathering->table = routes;
    gathering->route = &route;
    gathering->times = times;
    gathering->done = [self = shared_from_this(), shedKey, call, routes, &route, times, n = bundleCount,
                          done = std::move(done)](Answer answer) {
        auto end = Clock::now();
        if (!std::holds_alternative<Abandoned>(answer)) {
            bool isLate = !std::holds_alternative<Merged>(answer) || end > times.aim + lateSlack;
            self->shedders.withValue(
                shedKey, [&](Limits::LoadShedder& shedder) { Limits::recordAnswer(shedder, isLate); });
        }
        self->logAnswer(Observe::Event::Gathered, *call, *routes, route, answer, end - times.arrived,
            std::to_string(n) + " bundles");
        done(std::move(answer));
    };
    if (call->caller) {
        std::weak_ptr<Gathering> weak = gathering;
        call->caller->whenGone([weak] {
            if (auto gathering = weak.lock())
                gathering->finish(Abandoned {});
        });
    }
    for (size_t i = 0; i < bundleCount; ++i)
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

// A gatherer that stands still must not get a bundle: whether it sent anything would be unknown, and sending it again
// would take from the budget for repeats.
void Engine::Private::delegate(const std::shared_ptr<Delegation>& delegation)
{
    const Common::Address& gatherer = *delegation->bundle.gatherer;
    bool isAlive = false;
    {
        std::lock_guard lock(viewMutex);
        isAlive = isHeardLately(health, gatherer, Clock::now());
    }
    if (isAlive) {
        handOver(delegation);
        return;
    }
    ++running;
    peers.probe(gatherer, firstProbeTimeout, [self = shared_from_this(), delegation](bool hasAnswered) {
        --self->running;
        if (!hasAnswered) {
            self->fallBack(delegation, false, "no answer to a probe");
            return;
        }
        {
            std::lock_guard lock(self->viewMutex);
            noteHeard(self->health, *delegation->bundle.gatherer, Clock::now());
        }
        self->handOver(delegation);
    });
}

void Engine::Private::handOver(const std::shared_ptr<Delegation>& delegation)
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
                {
                    std::lock_guard lock(self->viewMutex);
                    noteHeard(self->health, *delegation->bundle.gatherer, Clock::now());
                }
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
        pause(health, *delegation->bundle.gatherer, now + gathererPause);
    }
    auto done = delegation->settle();
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
        m_private->timesOf(*delegated.call, *route, arrived,
            delegationMargin + bundleMargin * static_cast<double>(laneCount(route->fan->groups.size()))),
        std::move(answer));
}

} // namespace Relay
