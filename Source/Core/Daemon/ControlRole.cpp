#include "Daemon/ControlRole.h"

#include "Control/Leases.h"
#include "Control/Messages.h"
#include "Observe/Log.h"
#include "Wire/MessageCodec.h"

#include <algorithm>
#include <deque>

using Common::Clock;
using Common::LogShardId;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Control::configurationShard;
using Observe::EventKind;
using Observe::Part;

namespace Daemon {

namespace {

    constexpr Milliseconds sweepInterval { 500 };
    constexpr Milliseconds logTimeStep { 1'000 };
    constexpr Milliseconds orphanBound { 5'000 };
    // A watch that has nothing to tell is answered after this time, so that a lost connection is noticed.
    constexpr Milliseconds watchHold { 10'000 };

    // A revision that is not known to be in force yet.
    struct PendingRevision {
        Common::Revision revision;
        std::optional<Common::TimePoint> acceptedAt; // Nothing if an earlier leader accepted it.
    };

    struct Watcher {
        uint64_t id { 0 };
        Common::Revision from;
        Peer::Reply reply;
    };

    Common::Error notLeading()
    {
        return Common::makeError(Reason::Unavailable, "find-leader", "this instance does not lead");
    }

} // namespace

struct ControlRole::Private : std::enable_shared_from_this<ControlRole::Private> {
    explicit Private(ControlDependencies d)
        : use(d)
    {
    }

    ControlDependencies use;
    std::unique_ptr<ReplicatedState> state;
    std::mutex leaseMutex;
    std::optional<Control::LeaseTable> leases; // While this instance leads the configuration.
    std::deque<PendingRevision> pendingRevisions; // While this instance leads, in their order. Under leaseMutex.
    std::mutex watchMutex;
    std::vector<Watcher> watchers;
    uint64_t nextWatcher { 1 };
    std::mutex listenerMutex;
    std::function<void()> listener; // Of changes; under listenerMutex.

    void leadershipChanged(bool leading, Common::Term);
    void configurationChanged();
    void noteRevision();
    void noteInForce();
    void answer(const Peer::Reply&, const Control::Reply&) const;
    Control::LeaderHint hint(LogShardId id = configurationShard) const { return state->leaderOf(id); }

    void serve(const Control::ProposeRequest&, const Peer::Reply&);
    void serve(const Control::RenewRequest&, const Peer::Reply&);
    void serve(const Control::ReadRequest&, const Peer::Reply&);
    void serve(const Control::WatchRequest&, const Peer::Reply&);
    void serve(const Control::StatusRequest&, const Peer::Reply&);
    void serve(const Control::ReleaseRequest&, const Peer::Reply&);
    Control::RenewReply renew(const Control::RenewRequest&);
    bool isKnownHolder(const Control::LiveInstance&) const;
    void takeOverHolders();
    Control::Changes changesSince(Common::Revision) const;
    Common::Revision currentRevision() const;

    void sweepLater();
    void sweep();
    bool hasNoLease(const Once::Orphan&);
    void orphan(LogShardId, const Once::Orphan&);
    // Moves log time on, so that old claims are forgotten and new ones are settled at the right time.
    void keepLogTime(LogShardId);
    void countClaims();
};

void ControlRole::Private::leadershipChanged(bool leading, Common::Term term)
{
    use.timeline.record(
        leading ? EventKind::LeaderElected : EventKind::LeaderSteppedDown, "term " + std::to_string(term.value()));
    auto revision = currentRevision();
    std::lock_guard lock(leaseMutex);
    leases.reset();
    pendingRevisions.clear();
    if (!leading)
        return;
    leases.emplace(term, Clock::now(), use.settings.control.lease);
    pendingRevisions.push_back({ revision, std::nullopt });
}

Common::Revision ControlRole::Private::currentRevision() const
{
    Common::Revision revision;
    // The hooks of a log shard may come while the others are still being opened.
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

// In a process with both roles the gauge of the applied revision tells what the entry role has applied.
void ControlRole::Private::noteRevision()
{
    auto now = Clock::now();
    auto revision = currentRevision();
    if (!use.settings.isEntry)
        use.metrics.set(Observe::Gauge::RevisionApplied, static_cast<double>(revision.value()));
    std::lock_guard lock(leaseMutex);
    if (leases && (pendingRevisions.empty() || pendingRevisions.back().revision < revision))
        pendingRevisions.push_back({ revision, now });
}

// Called with leaseMutex held, after a lease was renewed or ended.
void ControlRole::Private::noteInForce()
{
    auto now = Clock::now();
    while (leases && !pendingRevisions.empty()) {
        const PendingRevision& next = pendingRevisions.front();
        if (Control::revisionStatus(*leases, next.revision, now).state != Control::RevisionState::InForce)
            return;
        use.metrics.set(Observe::Gauge::RevisionInForce, static_cast<double>(next.revision.value()));
        if (next.acceptedAt)
            use.metrics.observe(Observe::Latency::AcceptedToInForce, now - *next.acceptedAt);
        pendingRevisions.pop_front();
    }
}

// Answers the watchers that now have something to be told.
void ControlRole::Private::configurationChanged()
{
    noteRevision();
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

void ControlRole::Private::answer(const Peer::Reply& reply, const Control::Reply& message) const
{
    reply(Wire::encode(message));
}

void ControlRole::Private::serve(const Control::ProposeRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    auto shard = request.shard;
    std::string subject;
    if (auto change = std::get_if<Control::Change>(&request.command))
        subject = change->id.value();
    state->propose(
        shard, request.command, [self, reply, shard, subject](const Result<Control::CommandOutcome>& outcome) {
            if (!outcome) {
                self->answer(reply, Control::ProposeReply { outcome.error(), self->hint(shard) });
                return;
            }
            if (auto change = std::get_if<Control::ChangeOutcome>(&outcome.value())) {
                auto accepted = std::get_if<Control::Accepted>(change);
                self->use.timeline.record(accepted ? EventKind::ChangeAccepted : EventKind::ChangeRefused, subject,
                    accepted ? "revision " + std::to_string(accepted->revision.value())
                             : std::get<Control::Rejected>(*change).error.message);
            }
            self->answer(reply, Control::ProposeReply { outcome.value(), {} });
        });
}

// Called when a quorum has confirmed the lead, with leaseMutex held.
void ControlRole::Private::takeOverHolders()
{
    if (!leases || leases->knowsHolders)
        return;
    state->withConfiguration([&](const Control::Configuration& c) { Control::takeOver(*leases, c.holders); });
    LOG_INFO(Part::Control,
        "Took over " << leases->leases.size() << " holders of leases in term " << leases->listNumber.term << ".");
}

bool ControlRole::Private::isKnownHolder(const Control::LiveInstance& instance) const
{
    bool known = false;
    state->withConfiguration([&](const Control::Configuration& c) {
        auto it = c.holders.find(instance.id);
        known = it != c.holders.end() && it->second == instance;
    });
    return known;
}

// Called when a quorum has confirmed the lead after the request came in; see Control::LeaseTable.
Control::RenewReply ControlRole::Private::renew(const Control::RenewRequest& request)
{
    Control::RenewGrant grant;
    std::lock_guard lock(leaseMutex);
    if (!leases)
        return { notLeading(), {} };
    takeOverHolders();
    grant.changes = changesSince(request.applied);
    auto granted = Control::renew(*leases, { request.instance, request.applied }, Clock::now(), grant.changes.revision);
    if (!granted)
        return { granted.error(), {} };
    grant.lease = granted.value().duration;
    if (granted.value().replaced) {
        for (uint32_t i = 1; i <= state->claimShards(); ++i)
            orphan(LogShardId(i), { request.instance.id, *granted.value().replaced });
    }
    grant.live = Control::liveSince(*leases, request.live);
    noteInForce();
    return { grant, {} };
}

void ControlRole::Private::serve(const Control::RenewRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::RenewReply { confirmed.error(), self->hint() });
            return;
        }
        auto granted = self->renew(request);
        if (std::holds_alternative<Common::Error>(granted.result) || self->isKnownHolder(request.instance)) {
            self->answer(reply, granted);
            return;
        }
        // The grant goes out once the log names the holder; until then the table counts a lease that nobody uses.
        self->state->propose(configurationShard, Control::HolderChange { { request.instance }, {} },
            [self, reply, granted](const Result<Control::CommandOutcome>& outcome) {
                if (outcome)
                    self->answer(reply, granted);
                else
                    self->answer(reply, Control::RenewReply { outcome.error(), self->hint() });
            });
    });
}

void ControlRole::Private::serve(const Control::ReadRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::ReadReply { confirmed.error(), self->hint() });
            return;
        }
        Control::ReadFound found;
        self->state->withConfiguration([&](const Control::Configuration& c) {
            found.revision = c.revision;
            if (request.name.empty()) {
                found.resources = Control::list(c, request.kind);
                return;
            }
            auto stored = Control::find(c, { request.kind, request.name });
            found.isUnchanged = stored && stored->version == request.knownVersion;
            if (stored && !found.isUnchanged)
                found.resources.push_back(*stored);
        });
        if (!request.name.empty() && found.resources.empty() && !found.isUnchanged) {
            auto error = Common::makeError(Reason::NotFound, "read",
                std::string("there is no ") + Model::kindName(request.kind) + " " + request.name);
            self->answer(reply, Control::ReadReply { error, {} });
            return;
        }
        self->answer(reply, Control::ReadReply { found, {} });
    });
}

// Any member may answer, since it tells only what is committed; who needs to be sure to be told holds a lease.
void ControlRole::Private::serve(const Control::WatchRequest& request, const Peer::Reply& reply)
{
    auto changes = changesSince(request.from);
    if (changes.revision > request.from) {
        answer(reply, Control::WatchReply { changes, {} });
        return;
    }
    uint64_t id = 0;
    {
        std::lock_guard lock(watchMutex);
        id = nextWatcher++;
        watchers.push_back({ id, request.from, reply });
    }
    auto self = shared_from_this();
    use.timers.after(watchHold, [self, id] {
        std::optional<Watcher> found;
        {
            std::lock_guard lock(self->watchMutex);
            auto it = std::find_if(
                self->watchers.begin(), self->watchers.end(), [&](const Watcher& w) { return w.id == id; });
            if (it == self->watchers.end())
                return;
            found = std::move(*it);
            self->watchers.erase(it);
        }
        self->answer(found->reply, Control::WatchReply { self->changesSince(found->from), {} });
    });
    // A change may have come between the look and the entry into the list.
    if (changesSince(request.from).revision > request.from)
        configurationChanged();
}

void ControlRole::Private::serve(const Control::StatusRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::StatusReply { confirmed.error(), self->hint() });
            return;
        }
        Control::StatusFound found;
        self->state->withConfiguration([&](const Control::Configuration& c) { found.revision = c.revision; });
        auto asked = request.revision == Common::Revision() ? found.revision : request.revision;
        std::lock_guard lock(self->leaseMutex);
        if (!self->leases) {
            self->answer(reply, Control::StatusReply { notLeading(), {} });
            return;
        }
        if (asked > found.revision) {
            auto error = Common::makeError(Reason::NotFound, "status", "the revision is not accepted yet");
            self->answer(reply, Control::StatusReply { error, {} });
            return;
        }
        self->takeOverHolders();
        found.status = Control::revisionStatus(*self->leases, asked, Clock::now());
        self->answer(reply, Control::StatusReply { found, {} });
    });
}

void ControlRole::Private::serve(const Control::ReleaseRequest& request, const Peer::Reply& reply)
{
    Control::ReleaseReply message;
    {
        std::lock_guard lock(leaseMutex);
        if (leases)
            Control::release(*leases, request.id, request.incarnation);
        else
            message.error = notLeading();
    }
    if (message.error)
        message.leader = hint();
    answer(reply, message);
}

void ControlRole::Private::sweepLater()
{
    std::weak_ptr<Private> weak = weak_from_this();
    use.timers.after(sweepInterval, [weak] {
        auto self = weak.lock();
        if (!self)
            return;
        self->sweep();
        for (uint32_t i = 1; i <= self->state->claimShards(); ++i)
            self->keepLogTime(LogShardId(i));
        self->countClaims();
        self->sweepLater();
    });
}

// Finds running claims whose owner holds no lease any more. This instance's copies of the claims may be a little
// behind; the orphan command is decided by the log shard itself.
void ControlRole::Private::sweep()
{
    Control::HolderChange left;
    {
        std::lock_guard lock(leaseMutex);
        auto now = Clock::now();
        if (!leases)
            return;
        for (const Control::EndedLease& ended : Control::expired(*leases, now)) {
            use.timeline.record(EventKind::LeaseLost, ended.id.value(), "not renewed");
            LOG_WARNING(Part::Control, "The lease of " << ended.id << " has run out.");
        }
        noteInForce();
        state->withConfiguration(
            [&](const Control::Configuration& c) { left.left = Control::endedHolders(*leases, c.holders, now); });
    }
    if (!left.left.empty()) {
        state->propose(configurationShard, left, [](const Result<Control::CommandOutcome>& outcome) {
            // Proposed again with the next sweep.
            if (!outcome)
                LOG_INFO(Part::Control, "Holders whose leases ended are still in the log: " << outcome.error() << ".");
        });
    }
    for (uint32_t i = 1; i <= state->claimShards(); ++i) {
        LogShardId shard(i);
        std::vector<Once::Orphan> owners;
        state->withClaims(shard, [&](const Once::Claims& claims) { owners = Once::runningOwners(claims); });
        for (const Once::Orphan& owner : owners) {
            if (hasNoLease(owner))
                orphan(shard, owner);
        }
    }
}

bool ControlRole::Private::hasNoLease(const Once::Orphan& owner)
{
    std::lock_guard lock(leaseMutex);
    return leases && Control::hasNoLease(*leases, owner.owner, owner.incarnation, Clock::now());
}

void ControlRole::Private::orphan(LogShardId shard, const Once::Orphan& owner)
{
    LOG_WARNING(Part::Once,
        "Claims of " << owner.owner << " in log shard " << shard
                     << " have lost their owner. Their outcome is unknown.");
    use.control.call(shard, Control::ProposeRequest { shard, owner }, Clock::now() + orphanBound, [](const auto&) {});
}

void ControlRole::Private::keepLogTime(LogShardId shard)
{
    Once::LogTime now(static_cast<uint64_t>(Clock::wallClock().value()));
    bool isBehind = false;
    state->withClaims(shard, [&](const Once::Claims& claims) {
        isBehind = claims.logTime + Once::LogTime(static_cast<uint64_t>(logTimeStep.value())) < now;
    });
    if (isBehind && state->leads(shard))
        state->propose(shard, Once::Expire { now }, [](const auto&) {});
}

void ControlRole::Private::countClaims()
{
    size_t claims = 0;
    for (uint32_t i = 1; i <= state->claimShards(); ++i)
        state->withClaims(LogShardId(i), [&](const Once::Claims& c) { claims += c.records.size(); });
    use.metrics.set(Observe::Gauge::Claims, static_cast<double>(claims), "kept");
}

ControlRole::ControlRole(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

ControlRole::~ControlRole() { stop(); }

Result<std::unique_ptr<ControlRole>> ControlRole::open(ControlDependencies use)
{
    auto p = std::make_shared<Private>(use);
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
    BOOST_OUTCOME_TRY(state, ReplicatedState::open(use.settings, use.peers, use.metrics, std::move(hooks)));
    p->state = std::move(state);
    p->noteRevision(); // Of what the folder held: no change may follow.
    p->sweepLater();
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

Common::TableNumber ControlRole::routeTableNumber() const
{
    Common::TableNumber number;
    m_private->state->withConfiguration([&](const Control::Configuration& configuration) {
        if (auto stored = Control::find(configuration, { Model::Kind::RouteTable, Model::routeTableName }))
            number = std::get<Model::RouteTable>(stored->resource).number;
    });
    return number;
}

void ControlRole::whenChanged(std::function<void()> fn)
{
    std::lock_guard lock(m_private->listenerMutex);
    m_private->listener = std::move(fn);
}

bool ControlRole::storageFailed() const
{
    auto all = status();
    return std::any_of(all.begin(), all.end(), [](const Replica::Status& s) { return s.storageFailed; });
}

void ControlRole::handOver() { m_private->state->handOver(); }

void ControlRole::stop() { m_private->state->stop(); }

} // namespace Daemon
