#include "Daemon/RosterServer.h"

#include "Daemon/DepartureExchange.h"
#include "Daemon/DepartureLog.h"
#include "Observe/EventLog.h"
#include "Roster/Mirror.h"
#include "Roster/TableReports.h"
#include "Roster/Validation.h"
#include "Wire/RosterCodec.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

using Common::Address;
using Common::Clock;
using Common::Milliseconds;
using Common::TimePoint;
using Observe::Part;

namespace Daemon {

namespace {

    constexpr size_t shardCount = 4;
    // A watch request without changes is answered after this time, so that a follower notices a silent control
    // instance while it still has time to try another one.
    constexpr Milliseconds longPollTimeout { 800 };
    // A follower that sent no request for this long is dropped.
    constexpr Milliseconds followerTimeout { 4'000 };
    // For watch requests to other control instances. Longer than longPollTimeout, for which they hold a request.
    constexpr Milliseconds requestTimeout { 2'500 };
    constexpr Milliseconds retryDelay { 100 };
    // The state of another control instance is passed on for this long after its last reply.
    constexpr Milliseconds mirrorRetention { 12'000 };
    // Changes within this time are sent in one reply.
    constexpr Milliseconds flushDelay { 100 };
    constexpr Milliseconds sweepInterval { 250 };
    // Servers that left or timed out are remembered for this long, so that a late renewal does not restore them.
    constexpr Milliseconds tombstoneRetention { 120'000 };

    // The wall clock, in the unit of incarnations.
    Common::Incarnation wallClockNow()
    {
        return Common::Incarnation(static_cast<uint64_t>(Clock::wallClock().value()));
    }

    // What the incarnation of a departure is.
    enum class Ends {
        Start,
        UpToTime,
    };

    Ends endsOf(bool isOfStart) { return isOfStart ? Ends::Start : Ends::UpToTime; }

    struct Shard {
        std::mutex mutex;
        Roster::Registry registry;
    };

    struct Watcher {
        Roster::WatchRequest request;
        Peer::Reply reply;
        TimePoint until;
    };

    struct Follower {
        Roster::Peer peer;
        bool isLeaving { false };
        TimePoint lastRequestAt;
    };

} // namespace

struct RosterServer::Private : std::enable_shared_from_this<RosterServer::Private> {
    explicit Private(RosterServerDependencies d)
        : dependencies(d)
        , self(d.settings.peer.listen)
        , epoch(d.incarnation.value())
        , seeds(Settings::seedPeers(d.settings))
    {
    }

    void start();

    RosterServerDependencies dependencies;
    const Address self;
    const Roster::Epoch epoch;
    std::array<Shard, shardCount> shards;
    std::atomic<bool> flushPending { false };
    std::atomic<bool> isTableKnown { false };
    std::atomic<bool> stopped { false };
    std::mutex watchMutex; // Guards what follows.
    std::vector<Watcher> watchers;
    std::unordered_map<Common::InstanceId, Follower> followers;
    std::vector<Roster::Peer> peers; // Sorted followers that are not leaving, as sent in replies.
    uint64_t peersVersion { 0 };
    std::mutex mirrorMutex; // Guards what follows.
    std::map<Address, Roster::Mirror> mirrors; // Of the other control instances, each with a watch request in progress.
    std::set<Address> otherControls; // Members and seeds.
    std::vector<Address> seeds;
    std::map<Address, Roster::SuspectsVersion> suspectsKnown; // Of the other control instances.
    Suspects::Board suspects; // Has its own locks.
    std::unique_ptr<DepartureLog> departureLog; // Set by start(), like what follows.
    std::unique_ptr<DepartureExchange> departures;

    Shard& shardOf(const Common::BackendServerId& server)
    {
        return shards[std::hash<Common::BackendServerId> {}(server) % shardCount];
    }

    void scheduleSweep();
    void scheduleFlush();
    void configurationChanged();
    void flush();
    void watch(const Roster::WatchRequest&, const Peer::Reply&);
    Roster::WatchReply replyTo(const Roster::WatchRequest&);
    bool hasChanges(const Roster::WatchRequest&, const Roster::WatchReply&) const;
    Suspects::Changes suspectsFor(const Roster::WatchRequest&) const;
    void reportChange(const Roster::Report&);
    Roster::KnownStart knownStart(const Common::BackendServerId&);
    bool hold(const Common::BackendServerId&, Common::Incarnation, Ends);
    void holdDepartures(const Roster::SourceState&);
    void acknowledge(const Roster::Departure&, const RosterServer::Done&);
    void takeOver(const Roster::Departure&, const Peer::Reply&);
    void updatePeers();
    std::set<Address> otherAddresses(const std::vector<Address>& members);
    Roster::SourceState ownState(const Roster::SourceVersion*);
    void followOtherControls();
    void sendWatch(const Address&);
    void handleReply(const Address&, const Common::Result<std::string>&);
};

void RosterServer::Private::reportChange(const Roster::Report& report)
{
    Observe::logEvent(Part::Roster, Observe::Event::ServerChanged,
        { { "server", report.server.value() }, { "group", report.group.value() }, { "address", report.address.value() },
            { "incarnation", std::to_string(report.incarnation.value()) },
            { "sequence", std::to_string(report.sequence) }, { "standing", Roster::statusName(report.status) } });
    scheduleFlush();
}

void RosterServer::Private::start()
{
    departureLog
        = std::make_unique<DepartureLog>(Storage::systemFiles(), dependencies.settings.dataFolder, tombstoneRetention);
    // Before the first heartbeat can arrive, which may have been sent before the departure.
    for (const Roster::Departure& departure : departureLog->recovered())
        hold(departure.server, departure.incarnation, endsOf(departure.isNamed));
    departures.reset(new DepartureExchange({ dependencies.peers, dependencies.timers, dependencies.metrics, self,
        [weak = weak_from_this()](const Common::BackendServerId& server, Common::Incarnation incarnation) {
            if (auto self = weak.lock())
                self->hold(server, incarnation, Ends::UpToTime);
        },
        [weak = weak_from_this()](const Roster::Departure& departure, DepartureLog::Done done) {
            if (auto self = weak.lock())
                self->departureLog->record(departure, std::move(done));
        } }));
    scheduleSweep();
}

// What this and the other control instances have reported of the server's starts.
Roster::KnownStart RosterServer::Private::knownStart(const Common::BackendServerId& server)
{
    Roster::KnownStart known;
    {
        Shard& shard = shardOf(server);
        std::lock_guard lock(shard.mutex);
        known = Roster::knownStart(shard.registry, server);
    }
    std::lock_guard lock(mirrorMutex);
    for (auto& [address, mirror] : mirrors)
        known = Roster::later(known, Roster::knownStart(mirror, server));
    return known;
}

// Records that this start of the server and the earlier ones have ended, or with Ends::UpToTime those up to that time.
// Returns whether that was not known here.
bool RosterServer::Private::hold(const Common::BackendServerId& server, Common::Incarnation incarnation, Ends ends)
{
    Roster::Report report;
    auto heard = knownStart(server).heard;
    if (ends == Ends::Start)
        heard = std::max(heard, incarnation);
    {
        Shard& shard = shardOf(server);
        std::lock_guard lock(shard.mutex);
        if (!Roster::leave(shard.registry, server, incarnation, Clock::now(), heard))
            return false;
        report = shard.registry.entries.at(server).report;
    }
    reportChange(report);
    departureLog->record({ server, incarnation, ends == Ends::Start, Common::Incarnation(0) });
    return true;
}

// Departures outlive the process that received them: every control instance stores those of all others.
void RosterServer::Private::holdDepartures(const Roster::SourceState& state)
{
    for (const Roster::Report& report : Roster::departuresIn(state)) {
        if (!hold(report.server, report.incarnation, endsOf(Roster::isOfStart(report))))
            continue;
        Observe::logEvent(Part::Roster, Observe::Event::ServerLearned,
            { { "server", report.server.value() }, { "group", report.group.value() },
                { "incarnation", std::to_string(report.incarnation.value()) },
                { "standing", Roster::statusName(report.status) }, { "from", state.source.value() } });
    }
}

// Answers once one control instance more has the departure on its disk than may be lost at the same time.
void RosterServer::Private::acknowledge(const Roster::Departure& departure, const RosterServer::Done& done)
{
    auto members = dependencies.control.memberAddresses();
    auto others = otherAddresses(members);
    auto tolerated = static_cast<size_t>(dependencies.settings.control.toleratedDiskLosses);
    departures->ask(departure, { others.begin(), others.end() },
        1 + Roster::copiesNeeded(tolerated, !members.empty(), others.size()),
        [done](bool isHeld) { done(isHeld ? ReportOutcome::Accepted : ReportOutcome::NotHeld); });
}

// Holds and stores a departure that another control instance received. Replies with the latest start whose end is
// stored here.
void RosterServer::Private::takeOver(const Roster::Departure& departure, const Peer::Reply& reply)
{
    auto latest = Roster::latestIncarnation(Clock::wallClock());
    Roster::Report report;
    report.server = departure.server;
    report.status = Roster::ServerStatus::Leaving;
    if (!Roster::isValid(report) || departure.incarnation > latest) {
        reply(Wire::encode(Roster::DepartureReply {}));
        return;
    }
    auto ended = Roster::endedIncarnation(
        departure, knownStart(departure.server).latest, wallClockNow(), dependencies.settings.roster.drainTime);
    hold(departure.server, ended, endsOf(departure.isNamed));
    departureLog->record(
        { departure.server, ended, departure.isNamed, Common::Incarnation(0) }, [reply, ended](bool isDurable) {
            reply(Wire::encode(Roster::DepartureReply { isDurable ? ended : Common::Incarnation(0) }));
        });
}

void RosterServer::Private::scheduleSweep()
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(sweepInterval, [weak] {
        auto self = weak.lock();
        if (!self || self->stopped)
            return;
        for (Shard& shard : self->shards) {
            std::vector<Roster::Report> lost;
            {
                std::lock_guard lock(shard.mutex);
                auto before = shard.registry.revision;
                Roster::expire(shard.registry, Clock::now(), self->dependencies.settings.roster.silenceTimeout,
                    tombstoneRetention);
                if (shard.registry.revision != before)
                    lost = Roster::changesSince(shard.registry, before).reports;
            }
            for (const Roster::Report& report : lost)
                self->reportChange(report);
        }
        self->suspects.expire(Clock::now());
        self->followOtherControls();
        self->updatePeers();
        self->flush();
        self->scheduleSweep();
    });
}

// Updates the list with the sweep, not with each request: each new list is sent to all followers, so followers that
// join together share one version.
void RosterServer::Private::updatePeers()
{
    std::lock_guard lock(watchMutex);
    auto now = Clock::now();
    std::erase_if(followers, [&](auto& pair) { return now - pair.second.lastRequestAt > followerTimeout; });
    std::vector<Roster::Peer> next;
    for (auto& [id, follower] : followers) {
        if (!follower.isLeaving)
            next.push_back(follower.peer);
    }
    std::sort(next.begin(), next.end());
    if (next == peers)
        return;
    peers = std::move(next);
    ++peersVersion;
}

// Returns the addresses of the other control instances: members and seeds.
std::set<Address> RosterServer::Private::otherAddresses(const std::vector<Address>& members)
{
    std::set<Address> others(members.begin(), members.end());
    std::lock_guard lock(mirrorMutex);
    others.insert(seeds.begin(), seeds.end());
    others.erase(self);
    return others;
}

// Starts to watch the control instances that are not watched yet.
void RosterServer::Private::followOtherControls()
{
    auto members = dependencies.control.memberAddresses();
    auto others = otherAddresses(members);
    std::vector<Address> added;
    {
        std::lock_guard lock(mirrorMutex);
        for (const Address& seed : seeds) {
            if (std::find(members.begin(), members.end(), seed) == members.end())
                members.push_back(seed);
        }
        otherControls = std::move(others);
        for (const Address& address : otherControls) {
            if (mirrors.try_emplace(address).second)
                added.push_back(address);
        }
        for (auto& [address, mirror] : mirrors)
            Roster::forgetBefore(mirror, Clock::now() - tombstoneRetention);
    }
    dependencies.controlClient.setMembers(std::move(members));
    for (const Address& address : added)
        sendWatch(address);
}

void RosterServer::Private::sendWatch(const Address& address)
{
    if (stopped)
        return;
    Roster::WatchRequest request;
    request.follower = dependencies.settings.instance;
    request.peer = { self, dependencies.settings.failureDomain };
    request.isControl = true;
    {
        std::lock_guard lock(mirrorMutex);
        auto it = mirrors.find(address);
        if (it == mirrors.end())
            return;
        request.known.push_back(Roster::sourceVersion(it->second, address));
        request.suspects = suspectsKnown[address];
        // Not the table applied here: while this instance is late, the other would answer each request at once.
        request.table = it->second.table;
    }
    dependencies.peers.call(address, Peer::Service::Roster, Wire::encode(Roster::Request(request)), requestTimeout,
        [weak = weak_from_this(), address](const Common::Result<std::string>& result) {
            if (auto self = weak.lock())
                self->handleReply(address, result);
        });
}

void RosterServer::Private::handleReply(const Address& address, const Common::Result<std::string>& result)
{
    auto reply = result ? Wire::decodeWatchReply(result.value()) : Common::Result<Roster::WatchReply>(result.error());
    bool isChanged = false;
    bool isFirstReply = false;
    if (reply && !reply.value().suspects.records.empty()) {
        suspects.merge(reply.value().suspects.records, Suspects::Reporter::Control, Clock::now());
        isChanged = true;
    }
    {
        std::lock_guard lock(mirrorMutex);
        auto it = mirrors.find(address);
        if (it == mirrors.end())
            return;
        if (!reply && !otherControls.count(address)) {
            mirrors.erase(it);
            suspectsKnown.erase(address);
            return;
        }
        if (reply)
            suspectsKnown[address] = { reply.value().epoch, reply.value().suspects.revisions };
        for (const Roster::SourceState& state : reply ? reply.value().sources : std::vector<Roster::SourceState>()) {
            if (state.source != address)
                continue;
            isFirstReply = !it->second.lastContact;
            isChanged = Roster::applyState(it->second, state, Clock::now()) || isChanged;
            // Processes of earlier versions send the number only beside the states.
            it->second.table = std::max(it->second.table, reply.value().table);
        }
    }
    if (reply) {
        for (const Roster::SourceState& state : reply.value().sources)
            holdDepartures(state);
    }
    if (isFirstReply)
        Observe::logEvent(Part::Roster, Observe::Event::ControlFound, { { "address", address.value() } });
    if (isChanged)
        scheduleFlush();
    if (reply) {
        sendWatch(address);
        return;
    }
    dependencies.timers.after(retryDelay, [weak = weak_from_this(), address] {
        if (auto self = weak.lock())
            self->sendWatch(address);
    });
}

void RosterServer::Private::scheduleFlush()
{
    if (flushPending.exchange(true))
        return;
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(flushDelay, [weak] {
        if (auto self = weak.lock())
            self->flush();
    });
}

// Followers without a route table refuse all requests, so they learn of the first one after a start without the delay
// that collects changes.
void RosterServer::Private::configurationChanged()
{
    scheduleFlush();
    if (isTableKnown || dependencies.control.routeTableNumber() == Common::TableNumber(0)
        || isTableKnown.exchange(true))
        return;
    dependencies.timers.after(Milliseconds(0), [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->flush();
    });
}

// Answers the watch requests that have changes to report or have reached their timeout.
void RosterServer::Private::flush()
{
    flushPending = false;
    std::vector<Watcher> waiting;
    {
        std::lock_guard lock(watchMutex);
        waiting.swap(watchers);
    }
    auto now = Clock::now();
    std::vector<Watcher> kept;
    for (Watcher& watcher : waiting) {
        auto reply = replyTo(watcher.request);
        if (hasChanges(watcher.request, reply) || now >= watcher.until)
            watcher.reply(Wire::encode(reply));
        else
            kept.push_back(std::move(watcher));
    }
    std::lock_guard lock(watchMutex);
    std::move(kept.begin(), kept.end(), std::back_inserter(watchers));
}

Roster::SourceState RosterServer::Private::ownState(const Roster::SourceVersion* known)
{
    Roster::SourceState state { self, dependencies.settings.failureDomain, epoch, {}, {}, {}, 0,
        dependencies.control.routeTableNumber() };
    bool isDelta = known && known->epoch == epoch && known->revisions.size() == shardCount;
    for (size_t i = 0; i < shardCount; ++i) {
        std::lock_guard lock(shards[i].mutex);
        auto from = isDelta ? known->revisions[i] : Common::Revision(0);
        state.shards.push_back(Roster::changesSince(shards[i].registry, from));
    }
    std::lock_guard lock(watchMutex);
    state.peersVersion = peersVersion;
    if (!isDelta || known->peersVersion != peersVersion)
        state.peers = peers;
    return state;
}

Roster::WatchReply RosterServer::Private::replyTo(const Roster::WatchRequest& request)
{
    Roster::WatchReply reply;
    reply.logBehind = dependencies.control.configurationBehind();
    reply.members = dependencies.control.memberAddresses();
    reply.sources.push_back(ownState(Roster::findVersion(request.known, self)));
    reply.table = reply.sources.back().table;
    reply.epoch = epoch;
    reply.suspects = suspectsFor(request);
    if (request.isControl)
        return reply;
    auto evacuations = dependencies.control.evacuations();
    if (evacuations.revision > request.evacuations)
        reply.evacuations = { evacuations.revision, std::move(evacuations.domains) };
    auto now = Clock::now();
    std::lock_guard lock(mirrorMutex);
    for (auto& [address, mirror] : mirrors) {
        if (mirror.lastContact && now - *mirror.lastContact <= mirrorRetention)
            reply.sources.push_back(
                Roster::stateFor(mirror, address, Roster::findVersion(request.known, address), now));
    }
    return reply;
}

// Other control instances get all evidence, so that strikes which different relays reported add up.
Suspects::Changes RosterServer::Private::suspectsFor(const Roster::WatchRequest& request) const
{
    bool isSameEpoch = request.suspects.epoch == epoch;
    return suspects.changesSince(isSameEpoch ? request.suspects.revisions : std::vector<Common::Revision>(),
        request.isControl ? Suspects::Scope::All : Suspects::Scope::Suspected, Clock::now());
}

bool RosterServer::Private::hasChanges(const Roster::WatchRequest& request, const Roster::WatchReply& reply) const
{
    return !reply.suspects.records.empty() || reply.evacuations.revision > request.evacuations
        || !Roster::newerTables(reply, {}, request.table).empty()
        || std::any_of(reply.sources.begin(), reply.sources.end(), [&](const Roster::SourceState& state) {
               return Roster::hasChanges(state, Roster::findVersion(request.known, state.source));
           });
}

void RosterServer::Private::watch(const Roster::WatchRequest& request, const Peer::Reply& respond)
{
    auto now = Clock::now();
    if (!request.isControl) {
        std::lock_guard lock(watchMutex);
        followers[request.follower] = { request.peer, request.isLeaving, now };
    }
    auto reply = replyTo(request);
    if (hasChanges(request, reply)) {
        respond(Wire::encode(reply));
        return;
    }
    {
        std::lock_guard lock(watchMutex);
        watchers.push_back({ request, respond, now + longPollTimeout });
    }
    // A change may have occurred between the check and the insertion into the list.
    if (hasChanges(request, replyTo(request)))
        scheduleFlush();
}

RosterServer::RosterServer(RosterServerDependencies dependencies)
    : m_private(std::make_shared<Private>(dependencies))
{
    std::weak_ptr<Private> weak = m_private;
    dependencies.control.onConfigurationChanged([weak] {
        if (auto self = weak.lock())
            self->configurationChanged();
    });
    m_private->suspects.onChange([weak] {
        if (auto self = weak.lock())
            self->scheduleFlush();
    });
    m_private->start();
}

RosterServer::~RosterServer() { stop(); }

void RosterServer::renew(const Roster::Report& report, const Done& done)
{
    if (!Roster::isValid(report, Roster::latestIncarnation(Clock::wallClock()))) {
        done(ReportOutcome::Invalid);
        return;
    }
    Shard& shard = m_private->shardOf(report.server);
    auto result = Roster::ReportResult::Stale;
    bool isChanged = false;
    {
        std::lock_guard lock(shard.mutex);
        auto before = shard.registry.revision;
        result = Roster::renew(shard.registry, report, Clock::now());
        isChanged = shard.registry.revision != before;
    }
    if (isChanged)
        m_private->reportChange(report);
    if (result == Roster::ReportResult::Accepted)
        m_private->suspects.recordHeartbeat(report.server, report.incarnation, report.sequence);
    if (report.status == Roster::ServerStatus::Leaving)
        leave(report.server, report.incarnation, true, done);
    else
        done(ReportOutcome::Accepted);
}

void RosterServer::leave(
    const Common::BackendServerId& server, Common::Incarnation incarnation, bool isAwaited, const Done& done)
{
    Roster::Report report;
    report.server = server;
    report.incarnation = incarnation;
    report.status = Roster::ServerStatus::Leaving;
    if (!Roster::isValid(report, Roster::latestIncarnation(Clock::wallClock()))) {
        done(ReportOutcome::Invalid);
        return;
    }
    auto departure = Roster::departureFrom(server, incarnation, m_private->knownStart(server),
        { wallClockNow(), isAwaited }, m_private->dependencies.settings.roster.drainTime);
    if (!departure) {
        Observe::logEvent(Part::Roster, Observe::Event::DepartureNotHeld,
            { { "server", server.value() }, { "why", "it was read late" } });
        done(ReportOutcome::NotHeld);
        return;
    }
    m_private->hold(server, departure->incarnation, endsOf(departure->isNamed));
    m_private->acknowledge(*departure, done);
}

void RosterServer::handle(std::string_view bytes, const Peer::Reply& reply)
{
    auto request = Wire::decodeRosterRequest(bytes);
    if (!request) {
        reply(request.error());
        return;
    }
    if (auto watch = std::get_if<Roster::WatchRequest>(&request.value())) {
        m_private->watch(*watch, reply);
        return;
    }
    if (auto report = std::get_if<Roster::SuspectsReport>(&request.value())) {
        m_private->suspects.merge(report->records, Suspects::Reporter::Relay, Clock::now());
        m_private->scheduleFlush();
        reply(std::string());
        return;
    }
    if (auto report = std::get_if<Roster::DepartureReport>(&request.value())) {
        m_private->takeOver(report->departure, reply);
        return;
    }
    Roster::TableReply table;
    if (auto stored = m_private->dependencies.control.storedRouteTable()) {
        auto& declared = std::get<Model::RouteTable>(stored->resource);
        table = { declared.number, std::move(declared.document) };
    }
    reply(Wire::encode(table));
}

void RosterServer::setSeeds(std::vector<Address> seeds)
{
    std::lock_guard lock(m_private->mirrorMutex);
    m_private->seeds = std::move(seeds);
}

void RosterServer::stop()
{
    m_private->stopped = true;
    m_private->departures->stop();
    m_private->departureLog->stop();
    m_private->dependencies.control.onConfigurationChanged(nullptr);
    std::lock_guard lock(m_private->watchMutex);
    m_private->watchers.clear();
}

} // namespace Daemon
