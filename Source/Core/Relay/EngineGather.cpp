#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

#include <algorithm>

namespace Relay {

namespace {

    // The time for an answer's way back from its gatherer is this quantile of the observed ones, within the bounds.
    // Half of the bundles come later, but a larger margin costs all of them groups that would still have answered.
    constexpr double returnPathQuantile = 0.5;
    constexpr Milliseconds minimumReturnMargin { 1 };
    constexpr Milliseconds maximumReturnMargin { 10 };
    // With fewer samples, the initial value applies.
    constexpr double minimumReturnPaths = 20;
    constexpr Milliseconds initialReturnMargin { 7 };
    // For the probe before a bundle is sent. An instance that has a tenth of a core and other work can answer in this
    // time, and another instance can still gather the bundle afterwards.
    constexpr Milliseconds firstProbeTimeout { 25 };
    constexpr Milliseconds probeTimeout { 40 };
    // Bundles are delivered at the objective, so merged answers this much later still count as in time.
    constexpr Milliseconds lateTolerance { 8 };
    constexpr Milliseconds gathererPause { 1'500 };
    // Servers announce themselves about once a second.
    constexpr Milliseconds unservedRetryAfter { 250 };
    constexpr Milliseconds minimumObjective { 1 };

    using State = BundleProgress::State;

    std::vector<GroupName> groupsAt(const Routes::FanOut& fanOut, const std::vector<size_t>& places)
    {
        std::vector<GroupName> groups;
        groups.reserve(places.size());
        for (size_t place : places)
            groups.push_back(fanOut.groups[place]);
        return groups;
    }

    bool hasSentNothing(Reason reason)
    {
        return reason == Reason::Unavailable || reason == Reason::ConnectionFailed || reason == Reason::Overloaded;
    }

} // namespace

// Answers the call, and ends the work on its bundles that goes on for nobody.
void Engine::Private::endGathering(const GatheringPtr& gathering, Answer answer)
{
    Done done;
    std::vector<size_t> cancelled;
    {
        std::lock_guard lock(gathering->mutex);
        gathering->assembly.finished = true;
        done = std::exchange(gathering->done, nullptr);
        if (done)
            cancelled = bundlesToCancel(gathering->assembly, answer);
    }
    if (done)
        done(std::move(answer));
    for (size_t index : cancelled)
        cancelBundle(gathering, index);
}

void Engine::Private::cancelBundle(const GatheringPtr& gathering, size_t index)
{
    BundleKey key;
    std::optional<Common::Address> gatherer;
    {
        std::lock_guard lock(gathering->mutex);
        if (gathering->progress[index].state == State::Probing)
            return;
        key = { options.self.address, gathering->bundles[index].id };
        gatherer = gathering->bundles[index].gatherer;
    }
    if (gatherer)
        peers.cancel(*gatherer, { key.requester, key.bundle, gathering->call->id });
    else
        cancelLocally(key, gathering->call->id);
}

// For a bundle that was requested while another thread ended the gathering, whose cancellation it may have overtaken.
void Engine::Private::cancelIfEnded(const GatheringPtr& gathering, size_t index)
{
    bool hasEnded = false;
    {
        std::lock_guard lock(gathering->mutex);
        hasEnded = !gathering->done;
    }
    if (hasEnded)
        cancelBundle(gathering, index);
}

void Engine::Private::cancelLocally(const BundleKey& key, const Common::RequestId& call)
{
    QueryId id;
    ActiveCallPtr active;
    bundles.ifPresent(key, [&](QueryId& found) { id = found; });
    queries.ifPresent(id, [&](ActiveCallPtr& found) { active = found; });
    if (active && active->call->id == call)
        step(active, id, [](Query& query) { return callerGone(query, Clock::now()); });
}

// Refuses a call at once if so many of its groups are closed to it that it can't be answered.
bool Engine::Private::refuseIfQuarantined(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::FanOut& fanOut, const Done& done)
{
    auto verdicts = suspects->verdictsOn(call->keys, Clock::now());
    auto closed = std::count_if(fanOut.groups.begin(), fanOut.groups.end(),
        [&](const GroupName& group) { return !Suspects::maySend(verdicts, group, true); });
    if (static_cast<size_t>(closed) <= allowedMissing(fanOut, fanOut.groups.size()))
        return false;
    refuse(call, routes, Reason::Quarantined, quarantineText, Suspects::remainingOf(verdicts), done);
    return true;
}

// Refuses some of the calls, the less urgent ones first, while many answers over the same groups are late.
bool Engine::Private::refuseIfShed(const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route,
    const Times& times, const Done& done)
{
    auto now = Clock::now();
    const GroupName& key = route.fanOut->groups.front();
    auto caller = callerClassOf(*call, *routes, route);
    std::set<int> priorities;
    {
        std::lock_guard lock(viewMutex);
        if (auto it = prioritiesOver.find(key); it != prioritiesOver.end())
            priorities = it->second;
    }
    double chance = localRandom().unit();
    bool isAdmitted = shedders.withValue(key, [&](Limits::LoadShedder& shedder) {
        Limits::recordCall(shedder, caller, now);
        return Limits::shouldAdmit(shedder, chance, now, caller, priorities);
    });
    if (isAdmitted)
        return false;
    auto wait = Limits::retryAfter(refusedRetryAfter, times.deadline - now, localRandom().unit());
    refuse(call, routes, Reason::Overloaded, "too many answers are late", wait, done);
    return true;
}

// Refuses a call for reasons that are known before anything is done for it.
bool Engine::Private::refuseAtOnce(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Done& done)
{
    if (!route.fanOut) {
        auto verdicts = suspects->verdictsOn(call->keys, Clock::now());
        bool maySendAny = std::any_of(route.weightedGroups.begin(), route.weightedGroups.end(),
            [&](const Routes::WeightedGroup& group) { return Suspects::maySend(verdicts, group.group, true); });
        if (!maySendAny)
            refuse(call, routes, Reason::Quarantined, quarantineText, Suspects::remainingOf(verdicts), done);
        return !maySendAny;
    }
    size_t unserved = unservedGroups(*route.fanOut);
    if (unserved > allowedMissing(*route.fanOut, route.fanOut->groups.size())) {
        refuse(call, routes, Reason::Unavailable, std::to_string(unserved) + " groups have no known server",
            unservedRetryAfter, done);
        return true;
    }
    return refuseIfQuarantined(call, routes, *route.fanOut, done);
}

// Gathers the groups in bundles, each from one failure domain that has servers of all its groups.
void Engine::Private::gather(
    const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route, const Times& times, Done done)
{
    if (refuseAtOnce(call, routes, route, done))
        return;
    if (refuseIfShed(call, routes, route, times, done))
        return;
    const GroupName shedKey = route.fanOut->groups.front();
    auto gathering = std::make_shared<Gathering>();
    gathering->id = GatheringId(nextGathering++);
    gathering->bundles = requestedBundlesOf(*call, *route.fanOut, times.arrived);
    size_t bundleCount = gathering->bundles.size();
    std::vector<std::vector<size_t>> groupsOfBundles;
    for (const RequestedBundle& bundle : gathering->bundles)
        groupsOfBundles.push_back(bundle.groups);
    gathering->assembly = makeAssembly(*route.fanOut, groupsOfBundles);
    gathering->progress.resize(bundleCount);
    gathering->call = call;
    gathering->table = routes;
    gathering->route = &route;
    gathering->times = times;
    gathering->done = [self = shared_from_this(), id = gathering->id, shedKey, call, routes, &route, times,
                          n = bundleCount, done = std::move(done)](Answer answer) {
        auto end = Clock::now();
        self->gatherings.take(id);
        if (!std::holds_alternative<CallerGone>(answer)) {
            bool isLate = !std::holds_alternative<Merged>(answer) || end > times.objective + lateTolerance;
            self->shedders.withValue(
                shedKey, [&](Limits::LoadShedder& shedder) { Limits::recordAnswer(shedder, isLate, end); });
        }
        self->logAnswer(Observe::Event::Gathered, *call, *routes, route, answer, end - times.arrived,
            std::to_string(n) + " bundles");
        done(std::move(answer));
    };
    // Before the caller can be found to have left, which ends the gathering.
    gatherings.insert(gathering->id, gathering);
    scheduleSweep();
    if (call->caller) {
        std::weak_ptr<Gathering> weak = gathering;
        call->caller->onDisconnect([self = shared_from_this(), weak] {
            if (auto gathering = weak.lock())
                self->endGathering(gathering, CallerGone {});
        });
    }
    for (size_t i = 0; i < bundleCount; ++i)
        startBundle(gathering, i);
    check(gathering);
    std::weak_ptr<Gathering> weak = gathering;
    timers.at(times.objective, [self = shared_from_this(), weak] {
        auto gathering = weak.lock();
        if (!gathering)
            return;
        AssemblyStep step;
        {
            std::lock_guard lock(gathering->mutex);
            step = objectivePassed(gathering->assembly);
        }
        self->take(gathering, std::move(step));
    });
}

// A gatherer that may have left receives a probe first. Whether an unresponsive one sent anything would be unknown, and
// sending the requests again would take from the retry budget.
void Engine::Private::startBundle(const GatheringPtr& gathering, size_t index)
{
    RequestedBundle& bundle = gathering->bundles[index]; // Not shared before its first event.
    if (!bundle.gatherer) {
        gatherLocally(gathering, index, false);
        return;
    }
    Common::Address gatherer = *bundle.gatherer;
    bool isHeard = false;
    {
        std::lock_guard lock(viewMutex);
        isHeard = isTrusted(health, gatherer, Clock::now());
    }
    if (isHeard) {
        sendBundle(gathering, index);
        return;
    }
    {
        std::lock_guard lock(gathering->mutex);
        gathering->progress[index].state = State::Probing;
    }
    ++pendingOperations;
    peers.probe(gatherer, firstProbeTimeout, [self = shared_from_this(), gathering, index, gatherer](bool hasAnswered) {
        --self->pendingOperations;
        if (!hasAnswered) {
            self->passBy(gathering, index, false, "no answer to a probe");
            return;
        }
        {
            std::lock_guard lock(self->viewMutex);
            markHeard(self->health, gatherer, Clock::now());
        }
        self->sendBundle(gathering, index);
    });
}

void Engine::Private::sendBundle(const GatheringPtr& gathering, size_t index)
{
    auto now = Clock::now();
    const RequestedBundle& bundle = gathering->bundles[index]; // Its id and groups are immutable.
    Common::Address gatherer;
    {
        std::lock_guard lock(gathering->mutex);
        if (gathering->assembly.finished)
            return;
        gathering->progress[index] = { State::Sent, now, 0 };
        gatherer = *bundle.gatherer;
    }
    DelegatedCall call { bundle.id, gathering->table->number, now - gathering->times.arrived,
        std::max(gathering->times.objective - now - returnMargin(), minimumObjective), bundle.groups, gathering->call };
    ++pendingOperations;
    peers.gather(gatherer, { options.self.address, std::move(call) }, gathering->times.deadline - now,
        [self = shared_from_this(), gathering, index](const Common::Result<BundleAnswer>& result) {
            --self->pendingOperations;
            self->gathererAnswered(gathering, index, result);
        });
    cancelIfEnded(gathering, index);
}

void Engine::Private::gathererAnswered(
    const GatheringPtr& gathering, size_t index, const Common::Result<BundleAnswer>& result)
{
    auto now = Clock::now();
    bool isOwnAnswer = result && result.value().call == gathering->call->id;
    Common::Address gatherer;
    TimePoint sentAt;
    {
        std::lock_guard lock(gathering->mutex);
        BundleProgress& progress = gathering->progress[index];
        if (progress.state != State::Sent)
            return;
        sentAt = progress.sentAt;
        gatherer = *gathering->bundles[index].gatherer;
        if (isOwnAnswer)
            progress.state = State::Answered;
    }
    if (!isOwnAnswer) {
        bool mayHaveSent = result || !hasSentNothing(result.error().reason);
        passBy(gathering, index, mayHaveSent, result ? "the answer to another call" : Common::describe(result.error()));
        return;
    }
    {
        std::lock_guard lock(viewMutex);
        markHeard(health, gatherer, now);
    }
    {
        std::lock_guard lock(returnPathsMutex);
        Routing::record(returnPaths, now - sentAt - result.value().took);
    }
    bundleAnswered(gathering, index, result.value().answer);
}

// The time between a gatherer's answer and its arrival here, which the bundle's objective leaves.
Milliseconds Engine::Private::returnMargin()
{
    std::lock_guard lock(returnPathsMutex);
    if (returnPaths.total < minimumReturnPaths)
        return initialReturnMargin;
    return std::clamp(Routing::quantile(returnPaths, returnPathQuantile), minimumReturnMargin, maximumReturnMargin);
}

void Engine::Private::gatherLocally(const GatheringPtr& gathering, size_t index, bool mayHaveBeenSent)
{
    const RequestedBundle& bundle = gathering->bundles[index]; // Its id and groups are immutable.
    {
        std::lock_guard lock(gathering->mutex);
        if (gathering->assembly.finished)
            return;
    }
    run(gathering->call, gathering->table, *gathering->route,
        { groupsAt(*gathering->route->fanOut, bundle.groups), BundleKey { options.self.address, bundle.id },
            mayHaveBeenSent },
        gathering->times, [self = shared_from_this(), gathering, index](Answer answer) {
            {
                std::lock_guard lock(gathering->mutex);
                gathering->progress[index].state = State::Answered;
            }
            self->bundleAnswered(gathering, index, std::move(answer));
        });
    cancelIfEnded(gathering, index);
}

// Gathers a bundle here instead of at its gatherer.
void Engine::Private::passBy(const GatheringPtr& gathering, size_t index, bool mayHaveSent, const std::string& why)
{
    Common::Address gatherer;
    bool isWanted = false;
    {
        std::lock_guard lock(gathering->mutex);
        BundleProgress& progress = gathering->progress[index];
        if (progress.state != State::Probing && progress.state != State::Sent)
            return;
        progress.state = gathering->assembly.finished ? State::Answered : State::Local;
        isWanted = !gathering->assembly.finished;
        gatherer = *gathering->bundles[index].gatherer;
        gathering->bundles[index].gatherer.reset();
    }
    {
        std::lock_guard lock(viewMutex);
        pause(health, gatherer, Clock::now() + gathererPause);
    }
    Observe::logEvent(Observe::Part::Relay, Observe::Event::GathererPassedBy,
        { { "request", gathering->call->id.value() }, { "gatherer", gatherer.value() },
            { "may_have_sent", mayHaveSent ? "yes" : "no" }, { "why", why } });
    // It may go on once it responds again.
    if (mayHaveSent)
        peers.cancel(gatherer, { options.self.address, gathering->bundles[index].id, gathering->call->id });
    if (isWanted)
        gatherLocally(gathering, index, mayHaveSent);
}

void Engine::Private::bundleAnswered(const GatheringPtr& gathering, size_t index, Answer answer)
{
    AssemblyStep step;
    {
        std::lock_guard lock(gathering->mutex);
        step = addBundleAnswer(gathering->assembly, index, std::move(answer));
    }
    take(gathering, std::move(step));
}

void Engine::Private::take(const GatheringPtr& gathering, AssemblyStep step)
{
    if (step.answer)
        endGathering(gathering, std::move(*step.answer));
    for (const ResumePart& part : step.resume)
        resumeBundle(gathering, part);
}

void Engine::Private::resumeBundle(const GatheringPtr& gathering, const ResumePart& part)
{
    BundleId id;
    std::optional<Common::Address> peer;
    {
        std::lock_guard lock(gathering->mutex);
        id = gathering->bundles[part.bundle].id;
        peer = gathering->bundles[part.bundle].gatherer;
    }
    Done done = [self = shared_from_this(), gathering, index = part.bundle](
                    Answer answer) { self->bundleAnswered(gathering, index, std::move(answer)); };
    const Common::RequestId& call = gathering->call->id;
    if (!peer) {
        resumeLocally({ options.self.address, id }, call, part.needed, done);
        return;
    }
    peers.gather(*peer, { options.self.address, ResumeBundle { id, call, part.needed } },
        gathering->times.deadline - Clock::now(),
        [done = std::move(done), call](const Common::Result<BundleAnswer>& result) {
            if (result && result.value().call == call) {
                done(result.value().answer);
                return;
            }
            auto error
                = result ? Common::makeError(Reason::Internal, "resume", "the answer to another call") : result.error();
            done(Refusal { error, false, Milliseconds(0) });
        });
    cancelIfEnded(gathering, part.bundle);
}

void Engine::Private::resumeLocally(
    const BundleKey& key, const Common::RequestId& call, size_t needed, const Done& done)
{
    QueryId id;
    ActiveCallPtr active;
    bundles.ifPresent(key, [&](QueryId& found) { id = found; });
    queries.ifPresent(id, [&](ActiveCallPtr& found) { active = found; });
    bool isAlive = false;
    if (active && active->call->id == call) {
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

// Acts on the bundles whose gatherers are silent, and schedules the next check.
void Engine::Private::check(const GatheringPtr& gathering)
{
    BundleCheck due;
    {
        std::lock_guard lock(gathering->mutex);
        if (gathering->assembly.finished)
            return;
        due = checkBundles(gathering->progress, gathering->times, Clock::now());
    }
    for (size_t index : due.probe)
        probeGatherer(gathering, index);
    if (due.next)
        checkAt(gathering, *due.next);
}

void Engine::Private::checkAt(const GatheringPtr& gathering, TimePoint when)
{
    std::weak_ptr<Gathering> weak = gathering;
    timers.at(when, [self = shared_from_this(), weak] {
        if (auto gathering = weak.lock())
            self->check(gathering);
    });
}

// Detects a gatherer that stalls. Its connection would report that only much later.
void Engine::Private::probeGatherer(const GatheringPtr& gathering, size_t index)
{
    Common::Address gatherer;
    {
        std::lock_guard lock(gathering->mutex);
        if (gathering->progress[index].state != State::Sent)
            return;
        gatherer = *gathering->bundles[index].gatherer;
    }
    peers.probe(gatherer, probeTimeout, [self = shared_from_this(), gathering, index](bool isAlive) {
        if (!isAlive)
            self->passBy(gathering, index, true, "the gatherer does not respond");
    });
}

void Engine::cancel(const CancelBundle& request)
{
    m_private->cancelLocally({ request.requester, request.bundle }, request.call);
}

void Engine::gather(const BundleRequest& request, const std::function<void(Common::Result<BundleAnswer>)>& done)
{
    auto received = Clock::now();
    auto answerTo = [&](const Common::RequestId& call) -> Done {
        return [done, call, received](Answer a) { done(BundleAnswer { std::move(a), call, Clock::now() - received }); };
    };
    if (auto resume = std::get_if<ResumeBundle>(&request.body)) {
        m_private->resumeLocally(
            { request.requester, resume->bundle }, resume->call, resume->needed, answerTo(resume->call));
        return;
    }
    auto& delegated = std::get<DelegatedCall>(request.body);
    Routes::TablePtr routes = table();
    const Routes::Route* route = routes ? Routes::match(*routes, delegated.call->host, delegated.call->path) : nullptr;
    // An instance of an earlier version does not identify callers.
    bool isIdentified = route && Routes::isIdentified(*routes, *route, delegated.call->tenant);
    bool isSameTable = isIdentified && route->fanOut && routes->number == delegated.table
        && std::all_of(delegated.groups.begin(), delegated.groups.end(),
            [&](size_t place) { return place < route->fanOut->groups.size(); });
    if (!isSameTable || delegated.groups.empty()) {
        done(Common::makeError(Reason::Unavailable, "gather", "another route table is in force here"));
        return;
    }
    Times times = m_private->timesOf(*delegated.call, *route, received - delegated.waited);
    if (delegated.objectiveIn)
        times.objective = std::min(received + *delegated.objectiveIn, times.deadline);
    m_private->run(delegated.call, routes, *route,
        { groupsAt(*route->fanOut, delegated.groups), BundleKey { request.requester, delegated.bundle }, false }, times,
        answerTo(delegated.call->id));
}

} // namespace Relay
