#include "Daemon/ControlRolePrivate.h"

#include "Observe/EventLog.h"
#include "Observe/Log.h"
#include "Wire/MessageCodec.h"

#include <algorithm>
#include <limits>
#include <utility>

using Common::Clock;
using Common::LogShardId;
using Common::Milliseconds;
using Common::Result;
using Control::configurationShard;
using Observe::EventKind;
using Observe::Part;

namespace Daemon {

namespace {

    constexpr Milliseconds sweepInterval { 500 };
    constexpr Milliseconds logTimeStep { 1'000 };
    constexpr Milliseconds orphanTimeout { 5'000 };

    Milliseconds timeBehind(const Replica::Status& status, Common::TimePoint now)
    {
        return status.currentAt ? now - *status.currentAt : Milliseconds(std::numeric_limits<double>::infinity());
    }

} // namespace

void ControlRole::Private::leadershipChanged(bool leading, Common::Term term)
{
    dependencies.timeline.record(
        leading ? EventKind::LeaderElected : EventKind::LeaderSteppedDown, "term " + std::to_string(term.value()));
    auto revision = currentRevision();
    std::lock_guard lock(leaseMutex);
    leases.reset();
    pendingRevisions.clear();
    if (!leading)
        return;
    leases.emplace(term, Clock::now(), dependencies.settings.control.lease);
    pendingRevisions.push_back({ revision, std::nullopt });
}

Common::TableNumber ControlRole::Private::routeTableNumber() const
{
    Common::TableNumber number;
    state->withConfiguration([&](const Control::Configuration& configuration) {
        if (auto stored = Control::find(configuration, { Model::Kind::RouteTable, Model::routeTableName }))
            number = std::get<Model::RouteTable>(stored->resource).number;
    });
    return number;
}

Common::Revision ControlRole::Private::currentRevision() const
{
    Common::Revision revision;
    // The hooks of a log shard may run while the other shards are still being opened.
    if (!state)
        return revision;
    state->withConfiguration([&](const Control::Configuration& c) { revision = c.revision; });
    return revision;
}

Control::Changes ControlRole::Private::changesSince(Common::Revision from) const
{
    Control::Changes changes;
    state->withConfiguration([&](const Control::Configuration& c) { changes = Control::changesSince(c, from); });
    return changes;
}

// In a process with both roles, the entry role sets the gauge of the applied revision.
void ControlRole::Private::recordRevision()
{
    auto now = Clock::now();
    auto revision = currentRevision();
    if (!dependencies.settings.isEntry)
        dependencies.metrics.set(Observe::Gauge::RevisionApplied, static_cast<double>(revision.value()));
    std::lock_guard lock(leaseMutex);
    if (leases && (pendingRevisions.empty() || pendingRevisions.back().revision < revision))
        pendingRevisions.push_back({ revision, now });
}

void ControlRole::Private::recordRouteTable()
{
    auto number = routeTableNumber();
    if (number == std::exchange(loggedTable, number))
        return;
    Observe::logEvent(Part::Control, Observe::Event::RoutesApplied, { { "table", std::to_string(number.value()) } });
}

Common::Revision ControlRole::Private::evacuationVersion(const Common::FailureDomain& domain) const
{
    Common::Revision version;
    state->withConfiguration([&](const Control::Configuration& c) {
        if (auto stored = Control::find(c, Model::keyOf(Model::DomainEvacuation { domain, false })))
            version = stored->version;
    });
    return version;
}

Control::Evacuations ControlRole::Private::evacuations() const
{
    Control::Evacuations found;
    state->withConfiguration([&](const Control::Configuration& c) { found = Control::evacuations(c); });
    return found;
}

// Must be called with leaseMutex held, after a lease was renewed or ended.
void ControlRole::Private::recordRevisionsInForce()
{
    auto now = Clock::now();
    while (leases && !pendingRevisions.empty()) {
        const PendingRevision& next = pendingRevisions.front();
        if (Control::revisionStatus(*leases, next.revision, now).state != Control::RevisionState::InForce)
            return;
        dependencies.metrics.set(Observe::Gauge::RevisionInForce, static_cast<double>(next.revision.value()));
        if (next.acceptedAt)
            dependencies.metrics.observe(Observe::Latency::AcceptedToInForce, now - *next.acceptedAt);
        pendingRevisions.pop_front();
    }
}

// Answers the watch requests that now have changes to report.
void ControlRole::Private::configurationChanged()
{
    recordRevision();
    recordRouteTable();
    dependencies.metrics.set(Observe::Gauge::DomainsEvacuated, static_cast<double>(evacuations().domains.size()));
    {
        std::lock_guard lock(listenerMutex);
        if (listener)
            listener();
    }
    std::vector<Watcher> ready;
    {
        std::lock_guard lock(watchMutex);
        ready.swap(watchers);
    }
    for (Watcher& watcher : ready) {
        auto changes = changesSince(watcher.from);
        if (changes.revision > watcher.from) {
            answer(watcher.reply, Control::WatchReply { changes, {} });
            continue;
        }
        std::lock_guard lock(watchMutex);
        watchers.push_back(std::move(watcher));
    }
}

void ControlRole::Private::scheduleSweep()
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(sweepInterval, [weak] {
        auto self = weak.lock();
        if (!self)
            return;
        self->sweep();
        for (uint32_t i = 1; i <= self->state->claimShards(); ++i)
            self->advanceLogTime(LogShardId(i));
        self->updateClaimsMetric();
        self->updateLogMetrics();
        self->scheduleSweep();
    });
}

// While the disk stalls, the hook that resets the leases waits for it, although the leadership is lost already.
bool ControlRole::Private::leadsWithLeases() const { return leases && state->leads(configurationShard); }

// Ends expired leases and finds running claims whose owner holds no lease. This instance's copies of the claims may be
// stale: the log shard itself checks each orphan command when it applies it.
void ControlRole::Private::sweep()
{
    Control::HolderChange change;
    {
        std::lock_guard lock(leaseMutex);
        auto now = Clock::now();
        if (!leadsWithLeases())
            return;
        for (const Control::EndedLease& ended : Control::expireLeases(*leases, now)) {
            dependencies.timeline.record(EventKind::LeaseLost, ended.id.value(), "not renewed");
            LOG_WARNING(Part::Control, "The lease of " << ended.id << " has expired.");
        }
        recordRevisionsInForce();
        state->withConfiguration(
            [&](const Control::Configuration& c) { change.left = Control::endedHolders(*leases, c.holders, now); });
    }
    if (!change.left.empty()) {
        state->propose(configurationShard, change, [](const Result<Control::CommandOutcome>& outcome) {
            // The next sweep proposes the change again.
            if (!outcome)
                LOG_INFO(Part::Control,
                    "Removing holders with ended leases from the log has failed: " << outcome.error() << ".");
        });
    }
    for (uint32_t i = 1; i <= state->claimShards(); ++i) {
        LogShardId shard(i);
        std::vector<Once::Orphan> owners;
        state->withClaims(shard, [&](const Once::Claims& claims) { owners = Once::runningOwners(claims); });
        for (const Once::Orphan& owner : owners) {
            if (hasNoLease(owner))
                orphanClaims(shard, owner);
        }
    }
}

bool ControlRole::Private::hasNoLease(const Once::Orphan& owner)
{
    std::lock_guard lock(leaseMutex);
    return leadsWithLeases() && Control::hasNoLease(*leases, owner.owner, owner.incarnation, Clock::now());
}

void ControlRole::Private::orphanClaims(LogShardId shard, const Once::Orphan& owner)
{
    LOG_WARNING(Part::Once,
        "Claims of " << owner.owner << " in log shard " << shard
                     << " are orphaned: their owner holds no lease. Their outcome is unknown.");
    dependencies.control.call(
        shard, Control::ProposeRequest { shard, owner }, Clock::now() + orphanTimeout, [](const auto&) {});
}

void ControlRole::Private::advanceLogTime(LogShardId shard)
{
    Once::LogTime now(static_cast<uint64_t>(Clock::wallClock().value()));
    bool isBehind = false;
    state->withClaims(shard, [&](const Once::Claims& claims) {
        isBehind = claims.logTime + Once::LogTime(static_cast<uint64_t>(logTimeStep.value())) < now;
    });
    if (isBehind && state->leads(shard))
        state->propose(shard, Once::Expire { now }, [](const auto&) {});
}

void ControlRole::Private::updateClaimsMetric()
{
    size_t claims = 0;
    for (uint32_t i = 1; i <= state->claimShards(); ++i)
        state->withClaims(LogShardId(i), [&](const Once::Claims& c) { claims += c.records.size(); });
    dependencies.metrics.set(Observe::Gauge::Claims, static_cast<double>(claims), "kept");
}

void ControlRole::Private::updateLogMetrics()
{
    auto now = Clock::now();
    auto all = state->status();
    for (size_t i = 0; i < all.size(); ++i) {
        auto shard = std::to_string(i);
        dependencies.metrics.set(Observe::Gauge::LogBehind, timeBehind(all[i], now).value(), shard);
        Milliseconds pending = all[i].oldestWriteAt ? now - *all[i].oldestWriteAt : Milliseconds(0);
        dependencies.metrics.set(Observe::Gauge::WritePending, pending.value(), shard);
        dependencies.metrics.set(Observe::Gauge::Voter, all[i].role == Replica::Role::Learner ? 0 : 1, shard);
    }
}

ControlRole::ControlRole(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

ControlRole::~ControlRole() { stop(); }

Result<std::unique_ptr<ControlRole>> ControlRole::open(ControlDependencies dependencies)
{
    auto p = std::make_shared<Private>(dependencies);
    std::weak_ptr<Private> weak = p;
    ReplicatedState::Hooks hooks;
    hooks.configurationLeadership = [weak](bool leading, Common::Term term) {
        if (auto self = weak.lock())
            self->leadershipChanged(leading, term);
    };
    hooks.configurationChanged = [weak] {
        auto self = weak.lock();
        if (self && self->state)
            self->configurationChanged();
    };
    BOOST_OUTCOME_TRY(state,
        ReplicatedState::open(dependencies.settings, dependencies.peers, dependencies.metrics, std::move(hooks)));
    p->state = std::move(state);
    p->recordRevision(); // Of the state read from the data folder, which may see no further change.
    p->scheduleSweep();
    return std::unique_ptr<ControlRole>(new ControlRole(p));
}

void ControlRole::consensus(const Common::InstanceId& from, std::string_view bytes)
{
    m_private->state->receive(from, bytes);
}

void ControlRole::handle(std::string_view bytes, const Peer::Reply& reply)
{
    auto request = Wire::decodeRequest(bytes);
    if (!request) {
        reply(request.error());
        return;
    }
    std::visit([&](const auto& message) { m_private->serve(message, reply); }, request.value());
}

std::vector<Replica::Status> ControlRole::status() const { return m_private->state->status(); }

std::vector<Common::Address> ControlRole::memberAddresses() const { return m_private->state->memberAddresses(); }

std::optional<Control::StoredResource> ControlRole::storedRouteTable() const
{
    std::optional<Control::StoredResource> table;
    m_private->state->withConfiguration([&](const Control::Configuration& configuration) {
        if (auto stored = Control::find(configuration, { Model::Kind::RouteTable, Model::routeTableName }))
            table = *stored;
    });
    return table;
}

Common::TableNumber ControlRole::routeTableNumber() const { return m_private->routeTableNumber(); }

Common::Revision ControlRole::evacuationVersion(const Common::FailureDomain& domain) const
{
    return m_private->evacuationVersion(domain);
}

Control::Evacuations ControlRole::evacuations() const { return m_private->evacuations(); }

Milliseconds ControlRole::configurationBehind() const
{
    return timeBehind(m_private->state->configurationStatus(), Clock::now());
}

void ControlRole::onConfigurationChanged(std::function<void()> fn)
{
    std::lock_guard lock(m_private->listenerMutex);
    m_private->listener = std::move(fn);
}

void ControlRole::setSeeds(const std::vector<Common::Address>& seeds) { m_private->state->setSeeds(seeds); }

bool ControlRole::storageFailed() const
{
    auto all = status();
    return std::any_of(all.begin(), all.end(), [](const Replica::Status& s) { return s.storageFailed; });
}

void ControlRole::transferLeadership() { m_private->state->transferLeadership(); }

void ControlRole::stop() { m_private->state->stop(); }

} // namespace Daemon
