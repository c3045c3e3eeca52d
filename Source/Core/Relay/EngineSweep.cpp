#include "Relay/EnginePrivate.h"

// Ends calls that have outlived their deadline, whatever became of their timers.
namespace Relay {

namespace {

    constexpr Milliseconds sweepInterval { 200 };
    // The gauges follow for this long after the last work, since connections and timers may end later.
    constexpr Milliseconds idleSweeps { 3'000 };

} // namespace

void Engine::Private::scheduleSweep()
{
    if (isSweepScheduled.exchange(true))
        return;
    timers.after(sweepInterval, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->sweep();
    });
}

void Engine::Private::sweep()
{
    auto now = Clock::now();
    endOverdueQueries(now);
    endOverdueGatherings(now);
    sweepQuotas();
    updateGauges();
    bool hasWork = quotas.size() || queries.size() || gatherings.size() || inFlightRequests.size();
    if (hasWork)
        workedAt = now;
    TimePoint last = workedAt;
    isSweepScheduled = false;
    if (hasWork || now - last < idleSweeps)
        scheduleSweep();
}

void Engine::Private::endOverdueQueries(TimePoint now)
{
    std::vector<std::pair<QueryId, ActiveCallPtr>> overdue;
    queries.forEach([&](const QueryId& id, ActiveCallPtr& active) {
        if (isOverdue(active->query.times, now)) // Immutable.
            overdue.emplace_back(id, active);
    });
    for (auto& [id, active] : overdue) {
        reportOverdue(*active->call, active->query.times, "query");
        step(active, id, [&](Query& query) { return wake(query, now); });
    }
}

void Engine::Private::endOverdueGatherings(TimePoint now)
{
    std::vector<GatheringPtr> overdue;
    gatherings.forEach([&](const GatheringId&, std::weak_ptr<Gathering>& weak) {
        auto gathering = weak.lock();
        if (gathering && isOverdue(gathering->times, now))
            overdue.push_back(std::move(gathering));
    });
    for (const GatheringPtr& gathering : overdue) {
        reportOverdue(*gathering->call, gathering->times, "gathering");
        endGathering(gathering,
            Refusal {
                Common::makeError(Reason::DeadlineExceeded, "gather", "no answer in time"), false, Milliseconds(0) });
    }
}

void Engine::Private::reportOverdue(const Relay::Call& call, const Times& times, const char* what)
{
    metrics.count(Counter::OverdueCalls, what);
    Observe::logEvent(Observe::Part::Relay, Observe::Event::Overdue,
        { { "request", call.id.value() }, { "what", what }, { "late_ms", toText(Clock::now() - times.deadline) } });
}

void Engine::Private::updateGauges()
{
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(queries.size()), "queries");
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(gatherings.size()), "gatherings");
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(inFlightRequests.size()), "sub-requests");
    size_t waiting = 0;
    groups.forEach([&](const GroupName&, GroupState& state) { waiting += Limits::size(state.waiting); });
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(waiting), "waiting");
    auto [connections, slots, paced] = pool.usage();
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(connections), "connections");
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(slots), "slots");
    metrics.set(Observe::Gauge::RelayWork, static_cast<double>(timers.size()), "timers");
    metrics.set(Observe::Gauge::PacedServers, static_cast<double>(paced));
}

} // namespace Relay
