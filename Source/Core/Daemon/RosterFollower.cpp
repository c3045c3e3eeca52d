#include "Daemon/RosterFollower.h"

#include "Common/Random.h"
#include "Observe/EventLog.h"
#include "Roster/FollowChoice.h"
#include "Roster/Sources.h"
#include "Wire/RosterCodec.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

using Common::Address;
using Common::Clock;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Observe::Part;

namespace Daemon {

namespace {

    // Longer than the time for which a control instance holds a watch request.
    constexpr Milliseconds requestTimeout { 2'500 };
    constexpr Milliseconds retryDelay { 100 };
    // Strikes within this time are sent in one report. Most of them are answered in it, and not sent at all.
    constexpr Milliseconds reportDelay { 80 };
    constexpr Milliseconds reportTimeout { 500 };
    constexpr Milliseconds reviewInterval { 200 };
    constexpr Milliseconds sweepInterval { 2'000 };
    // The reports of a control instance that has been silent for longer are ignored, unless all are silent.
    constexpr Milliseconds sourceRetention { 12'000 };
    constexpr Milliseconds serverRetention { 180'000 };
    // Control instances watch each other with a request about every second. One that has not received a reply from
    // another for longer than this is stale.
    constexpr Milliseconds staleThreshold { 1'600 };
    // A few heartbeats of the leader, which tell the others what is committed.
    constexpr Milliseconds logBehindThreshold { 1'200 };
    // After a start, servers are not published before a control instance that is not behind has told the evacuations.
    // While none is (control has no majority), the relay serves after this time by what the others hold.
    constexpr Milliseconds evacuationsTimeout { 3'000 };

    // Which evidence on suspected requests a control instance has sent here, and which it has received from here.
    struct SuspectsExchange {
        Roster::SuspectsVersion received;
        std::vector<Common::Revision> reported;
        bool isReporting { false };
    };

} // namespace

struct RosterFollower::Private : std::enable_shared_from_this<RosterFollower::Private> {
    explicit Private(RosterFollowerDependencies d)
        : dependencies(std::move(d))
    {
    }

    RosterFollowerDependencies dependencies;
    RosterFollowerHooks hooks; // Set before the first request.
    const Common::TimePoint startedAt { Clock::now() };
    std::atomic<bool> leaving { false };
    std::atomic<bool> stopped { false };

    std::mutex mutex; // Guards what follows.
    Common::Random random { std::hash<Common::InstanceId> {}(dependencies.settings.instance) };
    std::set<Address> seeds;
    std::set<Address> members;
    std::map<Address, Roster::FollowedControl> followedControls;
    Roster::Sources sources;
    Roster::ServerView serverView;
    std::vector<Roster::Peer> instances;
    Common::TableNumber table;
    bool isEvacuationsKnown { false }; // From a control instance that was not behind, or after the timeout.
    std::optional<TimePoint> firstReplyAt;
    std::map<Address, SuspectsExchange> suspectsExchanges; // With the control instances that are followed.

    void scheduleReview();
    void followChosenControls();
    std::vector<Address> chooseControls() const;
    void sendWatch(const Address&);
    void handleReply(const Address&, Common::TimePoint sentAt, const Result<std::string>&);
    void handleFailure(const Address&, const Common::Error&);
    void applyReply(const Address&, TimePoint sentAt, const Roster::WatchReply&);
    bool noteEvacuationsKnown(const Roster::FollowedControl&, TimePoint now);
    void reportEvacuations(const Address&, const Roster::Evacuations&);
    void takeSuspects(const Address&, const Roster::WatchReply&);
    void reportSuspects();
    void reportSuspectsTo(const Address&);
    void scheduleReport(Milliseconds);
    void scheduleWatch(const Address&, Milliseconds);
    void publish();
    void scheduleSweep();
};

void RosterFollower::Private::scheduleReview()
{
    dependencies.timers.after(reviewInterval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        self->followChosenControls();
        self->scheduleReview();
    });
}

// Called with the mutex held.
std::vector<Address> RosterFollower::Private::chooseControls() const
{
    std::set<Address> all = seeds;
    all.insert(members.begin(), members.end());
    std::map<Address, Common::FailureDomain> domains;
    for (auto& [address, source] : sources.known)
        domains.emplace(address, source.domain);
    const Settings::Daemon& settings = dependencies.settings;
    if (table == Common::TableNumber(0))
        return Roster::chooseAtStart({ all.begin(), all.end() }, domains, settings.instance, settings.failureDomain);
    return Roster::chooseFollowed(
        { all.begin(), all.end() }, domains, followedControls, settings.instance, settings.failureDomain, Clock::now());
}

// Starts to watch the control instances that are chosen and not yet watched. The watch of an instance that is no longer
// chosen ends with its next reply.
void RosterFollower::Private::followChosenControls()
{
    std::vector<Address> added;
    {
        std::lock_guard lock(mutex);
        for (const Address& address : chooseControls()) {
            Roster::FollowedControl& control = followedControls[address];
            if (control.startedAt)
                continue;
            control.startedAt = Clock::now();
            added.push_back(address);
        }
    }
    for (const Address& address : added)
        sendWatch(address);
}

void RosterFollower::Private::sendWatch(const Address& address)
{
    if (stopped)
        return;
    Roster::WatchRequest request;
    request.follower = dependencies.settings.instance;
    request.peer = { dependencies.settings.peer.listen, dependencies.settings.failureDomain };
    request.isLeaving = leaving;
    {
        std::lock_guard lock(mutex);
        request.known = Roster::sourceVersions(sources);
        request.table = table;
        request.evacuations = serverView.evacuations.revision;
        request.suspects = suspectsExchanges[address].received;
    }
    dependencies.peers.call(address, Peer::Service::Roster, Wire::encode(Roster::Request(request)), requestTimeout,
        [self = shared_from_this(), address, sentAt = Clock::sinceBoot()](
            const Result<std::string>& result) { self->handleReply(address, sentAt, result); });
}

void RosterFollower::Private::scheduleWatch(const Address& address, Milliseconds pause)
{
    {
        std::lock_guard lock(mutex);
        auto chosen = chooseControls();
        if (std::find(chosen.begin(), chosen.end(), address) == chosen.end()) {
            followedControls.erase(address);
            suspectsExchanges.erase(address);
            return;
        }
    }
    if (pause > Milliseconds(0))
        dependencies.timers.after(pause, [self = shared_from_this(), address] { self->sendWatch(address); });
    else
        sendWatch(address);
}

void RosterFollower::Private::handleReply(
    const Address& address, Common::TimePoint sentAt, const Result<std::string>& result)
{
    auto reply = result ? Wire::decodeWatchReply(result.value()) : Result<Roster::WatchReply>(result.error());
    if (!reply) {
        handleFailure(address, reply.error());
        return;
    }
    applyReply(address, sentAt, reply.value());
    takeSuspects(address, reply.value());
    std::vector<Roster::TableReport> newerTables;
    {
        std::lock_guard lock(mutex);
        newerTables = Roster::newerTables(reply.value(), address, table);
    }
    if (!newerTables.empty())
        hooks.newerTablesReported(newerTables);
    // Control instances answer at once while the table here is outdated, so the next request waits for the retry delay.
    scheduleWatch(address, newerTables.empty() ? Milliseconds(0) : retryDelay);
}

void RosterFollower::Private::handleFailure(const Address& address, const Common::Error& error)
{
    bool isFirstFailure = false;
    Milliseconds pause;
    {
        std::lock_guard lock(mutex);
        pause = Roster::retryPause(table != Common::TableNumber(0), Clock::now() - startedAt, random.unit());
        isFirstFailure = !std::exchange(followedControls[address].hasFailed, true);
    }
    if (isFirstFailure)
        Observe::logEvent(Part::Roster, Observe::Event::ControlLost,
            { { "address", address.value() }, { "why", Common::describe(error) } });
    followChosenControls();
    scheduleWatch(address, pause);
}

void RosterFollower::Private::applyReply(
    const Address& address, Common::TimePoint sentAt, const Roster::WatchReply& reply)
{
    std::vector<Roster::StatusChange> statusChanges;
    std::optional<std::vector<Roster::Peer>> newInstances;
    bool isNewlyReachable = false;
    bool isLogBehind = false;
    bool isNewlyBehind = false;
    std::optional<Roster::Evacuations> newEvacuations;
    bool isFirstKnown = false;
    std::vector<Address> ignoredSources;
    {
        std::lock_guard lock(mutex);
        auto now = Clock::now();
        Roster::FollowedControl& control = followedControls[address];
        isNewlyReachable = !control.answeredAt || control.hasFailed;
        control.answeredAt = now;
        control.hasFailed = false;
        control.isRosterBehind = false;
        bool wasLogBehind = std::exchange(control.isLogBehind, reply.logBehind > logBehindThreshold);
        isLogBehind = control.isLogBehind;
        isNewlyBehind = isLogBehind && !wasLogBehind;
        for (const Roster::SourceState& state : reply.sources) {
            control.isRosterBehind = control.isRosterBehind || state.silentFor > staleThreshold;
            if (Roster::isFromEarlierEpoch(sources, state, now))
                ignoredSources.push_back(state.source);
            auto changes = Roster::applyState(sources, serverView, state, now, sourceRetention);
            std::move(changes.begin(), changes.end(), std::back_inserter(statusChanges));
        }
        if (Roster::takeEvacuations(serverView, reply.evacuations, now))
            newEvacuations = reply.evacuations;
        isFirstKnown = noteEvacuationsKnown(control, now);
        // One that is late may not know of later changes of the membership.
        if (!reply.members.empty() && (members.empty() || !control.isLogBehind))
            members = { reply.members.begin(), reply.members.end() };
        auto peers = Roster::peersOf(sources);
        if (!peers.empty() && peers != instances) {
            instances = peers;
            newInstances = std::move(peers);
        }
    }
    if (isNewlyReachable)
        Observe::logEvent(Part::Roster, Observe::Event::ControlFound,
            { { "address", address.value() }, { "table", std::to_string(reply.table.value()) } });
    if (isNewlyBehind)
        Observe::logEvent(Part::Roster, Observe::Event::ControlBehind,
            { { "address", address.value() }, { "log_behind_ms", std::to_string(reply.logBehind.value()) },
                { "table", std::to_string(reply.table.value()) } });
    for (const Address& source : ignoredSources)
        Observe::logEvent(Part::Roster, Observe::Event::SourceIgnored,
            { { "address", source.value() }, { "from", address.value() }, { "why", "earlier epoch" } });
    for (const Roster::StatusChange& change : statusChanges)
        Observe::logEvent(Part::Roster,
            change.isIgnored ? Observe::Event::DepartureIgnored : Observe::Event::ServerLearned,
            { { "server", change.server.value() }, { "group", change.group.value() },
                { "incarnation", std::to_string(change.incarnation.value()) },
                { "standing", Roster::statusName(change.status) }, { "from", address.value() } });
    if (newEvacuations)
        reportEvacuations(address, *newEvacuations);
    if (newInstances)
        hooks.instances(std::move(*newInstances));
    hooks.viewConfirmed();
    // A control instance without a leader may be on the smaller side of a partition, whose relays the others drop.
    if (!isLogBehind)
        hooks.contactConfirmed(sentAt);
    bool isViewChanged = std::any_of(statusChanges.begin(), statusChanges.end(),
        [](const Roster::StatusChange& change) { return !change.isIgnored; });
    if (isViewChanged || isNewlyReachable || newEvacuations || isFirstKnown)
        publish();
}

// Called with the mutex held, after a reply of this control instance was applied. Returns whether servers may be
// published from now on.
bool RosterFollower::Private::noteEvacuationsKnown(const Roster::FollowedControl& control, TimePoint now)
{
    if (!firstReplyAt)
        firstReplyAt = now;
    if (isEvacuationsKnown || (control.isLogBehind && now - *firstReplyAt < evacuationsTimeout))
        return false;
    isEvacuationsKnown = true;
    return true;
}

void RosterFollower::Private::reportEvacuations(const Address& address, const Roster::Evacuations& evacuations)
{
    std::string domains;
    for (const Common::FailureDomain& domain : evacuations.domains)
        domains += (domains.empty() ? "" : ",") + domain.value();
    dependencies.metrics.set(Observe::Gauge::DomainsEvacuated, static_cast<double>(evacuations.domains.size()));
    Observe::logEvent(Part::Roster, Observe::Event::EvacuationsInForce,
        { { "revision", std::to_string(evacuations.revision.value()) }, { "domains", domains },
            { "from", address.value() } });
}

void RosterFollower::Private::takeSuspects(const Address& address, const Roster::WatchReply& reply)
{
    dependencies.suspects->merge(reply.suspects.records, Suspects::Reporter::Control, Clock::now());
    bool isNewEpoch = false;
    {
        std::lock_guard lock(mutex);
        SuspectsExchange& exchange = suspectsExchanges[address];
        isNewEpoch = exchange.received.epoch != reply.epoch;
        exchange.received = { reply.epoch, reply.suspects.revisions };
        if (isNewEpoch)
            exchange.reported.clear();
    }
    if (isNewEpoch && reply.epoch != Roster::Epoch())
        reportSuspectsTo(address);
}

void RosterFollower::Private::scheduleReport(Milliseconds delay)
{
    dependencies.timers.after(delay, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->reportSuspects();
    });
}

void RosterFollower::Private::reportSuspects()
{
    if (stopped)
        return;
    std::vector<Address> receivers;
    {
        std::lock_guard lock(mutex);
        for (auto& [address, exchange] : suspectsExchanges)
            receivers.push_back(address);
    }
    for (const Address& address : receivers)
        reportSuspectsTo(address);
}

// Sends what the control instance lacks, if no report to it is under way. A report that fails is sent again as long as
// the instance is followed.
void RosterFollower::Private::reportSuspectsTo(const Address& address)
{
    Suspects::Changes changes;
    {
        std::lock_guard lock(mutex);
        auto it = suspectsExchanges.find(address);
        if (it == suspectsExchanges.end() || it->second.isReporting)
            return;
        changes = dependencies.suspects->changesSince(it->second.reported, Suspects::Scope::All, Clock::now());
        if (changes.records.empty())
            return;
        it->second.isReporting = true;
    }
    dependencies.peers.call(address, Peer::Service::Roster,
        Wire::encode(Roster::Request(Roster::SuspectsReport { std::move(changes.records) })), reportTimeout,
        [self = shared_from_this(), address, revisions = std::move(changes.revisions)](
            const Result<std::string>& result) {
            {
                std::lock_guard lock(self->mutex);
                auto it = self->suspectsExchanges.find(address);
                if (it == self->suspectsExchanges.end())
                    return;
                it->second.isReporting = false;
                if (result)
                    it->second.reported = revisions;
            }
            // What has changed meanwhile follows in the next report.
            self->scheduleReport(result ? reportDelay : retryDelay);
        });
}

void RosterFollower::Private::publish()
{
    std::map<Common::GroupName, std::vector<Roster::EligibleServer>> servers;
    {
        std::lock_guard lock(mutex);
        if (!isEvacuationsKnown)
            return;
        servers = Roster::eligibleServers(serverView);
    }
    hooks.servers(std::move(servers));
}

void RosterFollower::Private::scheduleSweep()
{
    dependencies.timers.after(sweepInterval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        bool isChanged = false;
        {
            std::lock_guard lock(self->mutex);
            auto now = Clock::now();
            isChanged = Roster::dropSilent(self->sources, self->serverView, now, sourceRetention);
            Roster::forgetBefore(self->serverView, now - serverRetention);
        }
        self->dependencies.suspects->expire(Clock::now());
        if (isChanged)
            self->publish();
        self->scheduleSweep();
    });
}

RosterFollower::RosterFollower(RosterFollowerDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

RosterFollower::~RosterFollower() { stop(); }

void RosterFollower::start(RosterFollowerHooks hooks)
{
    m_private->hooks = std::move(hooks);
    setSeeds(Settings::seedPeers(m_private->dependencies.settings));
    m_private->dependencies.suspects->onChange([weak = m_private->weak_from_this()] {
        if (auto self = weak.lock())
            self->scheduleReport(reportDelay);
    });
    m_private->scheduleReview();
    m_private->scheduleSweep();
}

void RosterFollower::setSeeds(std::vector<Address> seeds)
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->seeds = { seeds.begin(), seeds.end() };
    }
    m_private->followChosenControls();
}

void RosterFollower::setTable(Common::TableNumber table)
{
    std::lock_guard lock(m_private->mutex);
    m_private->table = table;
}

void RosterFollower::setLeaving() { m_private->leaving = true; }

void RosterFollower::stop() { m_private->stopped = true; }

} // namespace Daemon
