#include "Daemon/RelayRole.h"

#include "Common/Hash.h"
#include "Observe/EventLog.h"
#include "Roster/Messages.h"
#include "Wire/RelayCodec.h"
#include "Wire/RosterCodec.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <unordered_map>

using Common::Address;
using Common::Clock;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Observe::Part;

namespace Daemon {

namespace {

    // Above the time for which a control instance holds a question.
    constexpr Milliseconds watchTimeout { 4'500 };
    constexpr Milliseconds tableTimeout { 1'500 };
    constexpr Milliseconds retryPause { 100 };
    // A control instance that is neither a seed nor a member is followed for so long after its last answer.
    constexpr Milliseconds strangerMemory { 10'000 };
    // A control instance that was silent for so long vouches for no server, if another one answers.
    constexpr Milliseconds vouchMemory { 12'000 };
    constexpr Milliseconds sweepInterval { 2'000 };
    constexpr Milliseconds serverMemory { 180'000 };

    // One control instance that is followed.
    struct Source {
        Roster::Epoch epoch;
        std::vector<Common::Revision> revisions;
        std::optional<TimePoint> heardAt;
        bool isLost { true };
        Common::FailureDomain domain;
        std::vector<Roster::Peer> peers; // Instances that follow it.
        uint64_t peersVersion { 0 };
    };

} // namespace

struct RelayRole::Private : std::enable_shared_from_this<RelayRole::Private> {
    explicit Private(RelayDependencies d)
        : use(std::move(d))
        , engine(engineOptions(use.settings), use.dialect, peers(use.peers), use.timers, use.metrics)
    {
    }

    static Relay::EngineOptions engineOptions(const Settings::Daemon&);
    static Relay::Peers peers(Peer::Client&);

    RelayDependencies use;
    Relay::Engine engine;
    std::atomic<bool> draining { false };
    std::atomic<bool> stopped { false };

    std::mutex mutex; // Guards what follows.
    std::set<Address> seeds;
    std::set<Address> members;
    std::unordered_map<Address, Source> sources;
    Roster::Merged merged;
    Common::TableNumber table; // In force here.
    bool isFetching { false };
    std::vector<Roster::Peer> instances; // As the primary control instance knows them.
    std::function<void(const Routes::CallerLimits&)> tableListener;

    void follow(const Address&);
    void ask(const Address&);
    void answered(const Address&, const Result<std::string>&);
    void take(const Address&, const Roster::WatchReply&);
    void fetchTable(const Address& from, const Address& reporter);
    void takeTable(const Address& from, const Address& reporter, const Result<std::string>&);
    Address primary() const;
    Address nearSource(const Address& reporter) const;
    bool gatherInstances();
    void publish();
    void sweepLater();
};

Relay::EngineOptions RelayRole::Private::engineOptions(const Settings::Daemon& settings)
{
    Relay::EngineOptions options;
    options.self = { settings.peer.listen, settings.failureDomain };
    options.returnMargin = settings.relay.returnMargin;
    options.repeats = { settings.relay.repeatRatio, settings.relay.repeatMinimum, settings.relay.repeatWindow };
    return options;
}

Relay::Peers RelayRole::Private::peers(Peer::Client& client)
{
    Relay::Peers peers;
    peers.gather = [&client](const Address& to, const Relay::BundleRequest& call, Milliseconds timeout, auto done) {
        client.call(to, Peer::Service::Relay, Wire::encode(call), timeout,
            [done = std::move(done)](const Result<std::string>& result) {
                done(result ? Wire::decodeAnswer(result.value()) : Result<Relay::Answer>(result.error()));
            });
    };
    peers.probe = [&client](const Address& to, Milliseconds timeout, auto done) {
        client.call(to, Peer::Service::Relay, std::string(), timeout,
            [done = std::move(done)](const Result<std::string>& result) { done(bool(result)); });
    };
    return peers;
}

// Begins to follow an instance that is not followed yet.
void RelayRole::Private::follow(const Address& address)
{
    {
        std::lock_guard lock(mutex);
        if (!sources.try_emplace(address).second)
            return;
    }
    ask(address);
}

void RelayRole::Private::ask(const Address& address)
{
    if (stopped)
        return;
    Roster::WatchRequest request;
    request.follower = use.settings.instance;
    {
        std::lock_guard lock(mutex);
        auto it = sources.find(address);
        if (it == sources.end())
            return;
        request.epoch = it->second.epoch;
        request.revisions = it->second.revisions;
        request.table = table;
        request.peersVersion = it->second.peersVersion;
        request.wantsPeers = address == primary();
    }
    request.peer = { use.settings.peer.listen, use.settings.failureDomain };
    request.isLeaving = draining;
    use.peers.call(address, Peer::Service::Roster, Wire::encode(Roster::Request(request)), watchTimeout,
        [self = shared_from_this(), address](const Result<std::string>& result) { self->answered(address, result); });
}

void RelayRole::Private::answered(const Address& address, const Result<std::string>& result)
{
    auto reply = result ? Wire::decodeWatchReply(result.value()) : Result<Roster::WatchReply>(result.error());
    if (reply) {
        take(address, reply.value());
        bool awaitsTable = false;
        {
            std::lock_guard lock(mutex);
            awaitsTable = reply.value().table > table;
        }
        // Until the table is here, each question is answered at once.
        if (awaitsTable)
            use.timers.after(retryPause, [self = shared_from_this(), address] { self->ask(address); });
        else
            ask(address);
        return;
    }
    bool isNews = false;
    bool isForgotten = false;
    {
        std::lock_guard lock(mutex);
        auto it = sources.find(address);
        if (it == sources.end())
            return;
        isNews = !std::exchange(it->second.isLost, true);
        bool isStranger = !seeds.count(address) && !members.count(address);
        isForgotten = isStranger && (!it->second.heardAt || Clock::now() - *it->second.heardAt > strangerMemory);
        if (isForgotten) {
            Roster::dropSource(merged, Common::InstanceId(address.value()));
            sources.erase(it);
        }
    }
    if (isNews)
        Observe::logEvent(Part::Roster, "control-lost",
            { { "address", address.value() }, { "why", Common::describe(reply.error()) } });
    if (isForgotten)
        publish();
    else
        use.timers.after(retryPause, [self = shared_from_this(), address] { self->ask(address); });
}

void RelayRole::Private::take(const Address& address, const Roster::WatchReply& reply)
{
    std::vector<Roster::Learned> learned;
    bool wasLost = false;
    bool needsTable = false;
    Address near;
    std::vector<Address> toFollow;
    {
        std::lock_guard lock(mutex);
        auto it = sources.find(address);
        if (it == sources.end())
            return;
        Source& source = it->second;
        auto now = Clock::now();
        Common::InstanceId id(address.value());
        if (source.epoch != reply.epoch)
            Roster::dropSource(merged, id);
        source.epoch = reply.epoch;
        source.revisions.clear();
        for (const Roster::Changes& changes : reply.shards) {
            source.revisions.push_back(changes.revision);
            // Other shards' servers of this source stay: the whole of it was dropped above.
            Roster::Changes part { false, changes.revision, changes.reports };
            auto more = Roster::merge(merged, id, part, now);
            std::move(more.begin(), more.end(), std::back_inserter(learned));
        }
        source.heardAt = now;
        if (reply.peersVersion != source.peersVersion) {
            source.peers = reply.peers;
            source.peersVersion = reply.peersVersion;
        }
        wasLost = std::exchange(source.isLost, false);
        if (!reply.members.empty())
            members = { reply.members.begin(), reply.members.end() };
        toFollow = reply.members;
        source.domain = reply.domain;
        needsTable = reply.table > table && !std::exchange(isFetching, true);
        near = nearSource(address);
        if (gatherInstances())
            engine.setInstances(instances);
    }
    if (wasLost)
        Observe::logEvent(Part::Roster, "control-found",
            { { "address", address.value() }, { "table", std::to_string(reply.table.value()) } });
    for (const Roster::Learned& l : learned)
        Observe::logEvent(Part::Roster, "server-learned",
            { { "server", l.server.value() }, { "group", l.group.value() },
                { "incarnation", std::to_string(l.incarnation.value()) },
                { "standing", Roster::standingName(l.standing) }, { "from", address.value() } });
    if (!learned.empty() || wasLost)
        publish();
    for (const Address& member : toFollow)
        follow(member);
    if (needsTable)
        fetchTable(near, address);
}

// Called with the mutex held: the control instance that is asked for the list of instances. Those that answer are
// spread over the relays.
Address RelayRole::Private::primary() const
{
    Address best;
    uint64_t least = UINT64_MAX;
    for (auto& [address, source] : sources) {
        uint64_t hash = Common::hash64(address.value() + " " + use.settings.instance.value());
        if (!source.isLost && hash < least) {
            least = hash;
            best = address;
        }
    }
    return best;
}

// Called with the mutex held. Returns whether the list has changed.
bool RelayRole::Private::gatherInstances()
{
    auto it = sources.find(primary());
    if (it == sources.end() || it->second.peers.empty() || it->second.peers == instances)
        return false;
    instances = it->second.peers;
    return true;
}

// Called with the mutex held. A table is large, so it is fetched inside the own failure domain if that can be.
Address RelayRole::Private::nearSource(const Address& reporter) const
{
    for (auto& [address, source] : sources) {
        if (!source.isLost && source.domain == use.settings.failureDomain)
            return address;
    }
    return reporter;
}

void RelayRole::Private::fetchTable(const Address& from, const Address& reporter)
{
    use.peers.call(from, Peer::Service::Roster, Wire::encode(Roster::Request(Roster::TableRequest {})), tableTimeout,
        [self = shared_from_this(), from, reporter](
            const Result<std::string>& result) { self->takeTable(from, reporter, result); });
}

void RelayRole::Private::takeTable(const Address& from, const Address& reporter, const Result<std::string>& result)
{
    auto reply = result ? Wire::decodeTableReply(result.value()) : Result<Roster::TableReply>(result.error());
    auto decoded = reply ? use.decodeTable(reply.value().document) : Result<Routes::Table>(reply.error());
    std::function<void(const Routes::CallerLimits&)> listener;
    bool isNewer = false;
    bool goesOn = false;
    {
        std::lock_guard lock(mutex);
        isNewer = decoded && reply.value().number > table;
        // The near one may be behind, or silent.
        goesOn = !isNewer && from != reporter;
        isFetching = goesOn;
        if (isNewer) {
            table = reply.value().number;
            listener = tableListener;
            // Set under the lock, so that tables come in force in their order.
            engine.setTable(std::make_shared<const Routes::Table>(decoded.value()));
        }
    }
    if (!decoded) {
        Observe::logEvent(Part::Control, "routes-not-read",
            { { "address", from.value() }, { "why", Common::describe(decoded.error()) } });
    }
    if (goesOn)
        fetchTable(reporter, reporter);
    if (!isNewer)
        return;
    use.metrics.set(Observe::Gauge::RevisionApplied, static_cast<double>(reply.value().number.value()));
    Observe::logEvent(Part::Control, "routes-in-force",
        { { "table", std::to_string(reply.value().number.value()) },
            { "routes", std::to_string(decoded.value().routes.size()) }, { "from", from.value() } });
    if (listener)
        listener(decoded.value().limits);
}

void RelayRole::Private::publish()
{
    std::shared_ptr<const Relay::ServersByGroup> servers;
    {
        std::lock_guard lock(mutex);
        servers = std::make_shared<const Relay::ServersByGroup>(Roster::usable(merged));
    }
    engine.setServers(servers);
}

void RelayRole::Private::sweepLater()
{
    use.timers.after(sweepInterval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        bool isChanged = false;
        {
            std::lock_guard lock(self->mutex);
            auto now = Clock::now();
            bool hasSource = std::any_of(
                self->sources.begin(), self->sources.end(), [](auto& pair) { return !pair.second.isLost; });
            for (auto& [address, source] : self->sources) {
                bool isSilent = source.isLost && source.heardAt && now - *source.heardAt > vouchMemory;
                if (!hasSource || !isSilent)
                    continue;
                // What it vouched for is asked for anew when it is back.
                source.epoch = Roster::Epoch(0);
                source.heardAt.reset();
                Roster::dropSource(self->merged, Common::InstanceId(address.value()));
                isChanged = true;
            }
            Roster::forgetBefore(self->merged, now - serverMemory);
        }
        if (isChanged)
            self->publish();
        self->sweepLater();
    });
}

RelayRole::RelayRole(RelayDependencies use)
    : m_private(std::make_shared<Private>(std::move(use)))
{
}

RelayRole::~RelayRole() { stop(); }

void RelayRole::start()
{
    setSeeds(Settings::seedPeers(m_private->use.settings));
    m_private->sweepLater();
}

void RelayRole::whenTableChanges(std::function<void(const Routes::CallerLimits&)> fn)
{
    std::lock_guard lock(m_private->mutex);
    m_private->tableListener = std::move(fn);
}

void RelayRole::relay(const Relay::CallPtr& call, Relay::Engine::Done done)
{
    m_private->engine.relay(call, std::move(done));
}

void RelayRole::handle(std::string_view bytes, const Peer::Reply& reply)
{
    if (m_private->draining) {
        reply(Common::makeError(Common::Reason::Unavailable, "gather", "this instance is leaving"));
        return;
    }
    if (bytes.empty()) {
        reply(std::string()); // A probe.
        return;
    }
    auto call = Wire::decodeBundleRequest(bytes);
    if (!call) {
        reply(call.error());
        return;
    }
    m_private->engine.gather(call.value(), [reply](const Result<Relay::Answer>& answer) {
        if (answer)
            reply(Wire::encode(answer.value()));
        else
            reply(answer.error());
    });
}

bool RelayRole::isReady() const { return !m_private->draining && m_private->engine.table(); }

void RelayRole::drain() { m_private->draining = true; }

size_t RelayRole::inFlight() const { return m_private->engine.inFlight(); }

void RelayRole::setSeeds(std::vector<Address> peers)
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->seeds = { peers.begin(), peers.end() };
    }
    for (const Address& peer : peers)
        m_private->follow(peer);
}

void RelayRole::stop()
{
    m_private->stopped = true;
    std::lock_guard lock(m_private->mutex);
    m_private->tableListener = nullptr;
}

} // namespace Daemon
