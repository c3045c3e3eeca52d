#include "Daemon/RosterFollower.h"

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
using Observe::Part;

namespace Daemon {

namespace {

    // Above the time for which a control instance holds a question.
    constexpr Milliseconds watchTimeout { 2'500 };
    constexpr Milliseconds retryPause { 100 };
    constexpr Milliseconds reviewInterval { 200 };
    constexpr Milliseconds sweepInterval { 2'000 };
    // A control instance that was silent for so long vouches for no server, if another one was not.
    constexpr Milliseconds vouchMemory { 12'000 };
    constexpr Milliseconds serverMemory { 180'000 };
    // Control instances ask each other each second: one that has not heard from another for so long is behind.
    constexpr Milliseconds behindAfter { 1'600 };

} // namespace

struct RosterFollower::Private : std::enable_shared_from_this<RosterFollower::Private> {
    explicit Private(RosterFollowerDependencies d)
        : use(d)
    {
    }

    RosterFollowerDependencies use;
    RosterFollowerHooks hooks; // Set before the first question.
    std::atomic<bool> leaving { false };
    std::atomic<bool> stopped { false };

    std::mutex mutex; // Guards what follows.
    std::set<Address> seeds;
    std::set<Address> members;
    std::map<Address, Roster::FollowedControl> hubs;
    Roster::Sources sources;
    Roster::ServerView merged;
    std::vector<Roster::Peer> instances;
    Common::TableNumber table;

    void reviewLater();
    void review();
    std::vector<Address> chosenHubs() const;
    void ask(const Address&);
    void answered(const Address&, const Result<std::string>&);
    void failed(const Address&, const Common::Error&);
    void take(const Address&, const Roster::WatchReply&);
    void askAgain(const Address&, Milliseconds);
    void publish();
    void sweepLater();
};

void RosterFollower::Private::reviewLater()
{
    use.timers.after(reviewInterval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        self->review();
        self->reviewLater();
    });
}

// Called with the mutex held.
std::vector<Address> RosterFollower::Private::chosenHubs() const
{
    std::set<Address> all = seeds;
    all.insert(members.begin(), members.end());
    std::map<Address, Common::FailureDomain> domains;
    for (auto& [address, one] : sources.known)
        domains.emplace(address, one.domain);
    return Roster::chooseFollowed(
        { all.begin(), all.end() }, domains, hubs, use.settings.instance, use.settings.failureDomain, Clock::now());
}

// Begins to ask the control instances that are chosen and not asked. The others end with their next answer.
void RosterFollower::Private::review()
{
    std::vector<Address> added;
    {
        std::lock_guard lock(mutex);
        for (const Address& address : chosenHubs()) {
            Roster::FollowedControl& hub = hubs[address];
            if (hub.startedAt)
                continue;
            hub.startedAt = Clock::now();
            added.push_back(address);
        }
    }
    for (const Address& address : added)
        ask(address);
}

void RosterFollower::Private::ask(const Address& address)
{
    if (stopped)
        return;
    Roster::WatchRequest request;
    request.follower = use.settings.instance;
    request.peer = { use.settings.peer.listen, use.settings.failureDomain };
    request.isLeaving = leaving;
    {
        std::lock_guard lock(mutex);
        request.known = Roster::sourceVersions(sources);
        request.table = table;
    }
    use.peers.call(address, Peer::Service::Roster, Wire::encode(Roster::Request(request)), watchTimeout,
        [self = shared_from_this(), address](const Result<std::string>& result) { self->answered(address, result); });
}

void RosterFollower::Private::askAgain(const Address& address, Milliseconds pause)
{
    {
        std::lock_guard lock(mutex);
        auto chosen = chosenHubs();
        if (std::find(chosen.begin(), chosen.end(), address) == chosen.end()) {
            hubs.erase(address);
            return;
        }
    }
    if (pause > Milliseconds(0))
        use.timers.after(pause, [self = shared_from_this(), address] { self->ask(address); });
    else
        ask(address);
}

void RosterFollower::Private::answered(const Address& address, const Result<std::string>& result)
{
    auto reply = result ? Wire::decodeWatchReply(result.value()) : Result<Roster::WatchReply>(result.error());
    if (!reply) {
        failed(address, reply.error());
        return;
    }
    take(address, reply.value());
    bool awaitsTable = false;
    {
        std::lock_guard lock(mutex);
        awaitsTable = reply.value().table > table;
    }
    if (awaitsTable)
        hooks.tableSeen(reply.value().table, address);
    // Until the table is here, each question is answered at once.
    askAgain(address, awaitsTable ? retryPause : Milliseconds(0));
}

void RosterFollower::Private::failed(const Address& address, const Common::Error& error)
{
    bool isNews = false;
    {
        std::lock_guard lock(mutex);
        isNews = !std::exchange(hubs[address].hasFailed, true);
    }
    if (isNews)
        Observe::logEvent(Part::Roster, Observe::Event::ControlLost,
            { { "address", address.value() }, { "why", Common::describe(error) } });
    review();
    askAgain(address, retryPause);
}

void RosterFollower::Private::take(const Address& address, const Roster::WatchReply& reply)
{
    std::vector<Roster::StatusChange> learned;
    std::optional<std::vector<Roster::Peer>> newInstances;
    bool isFound = false;
    {
        std::lock_guard lock(mutex);
        auto now = Clock::now();
        Roster::FollowedControl& hub = hubs[address];
        isFound = !hub.answeredAt || hub.hasFailed;
        hub.answeredAt = now;
        hub.hasFailed = false;
        hub.isBehind = false;
        for (const Roster::SourceState& state : reply.sources) {
            hub.isBehind = hub.isBehind || state.silentFor > behindAfter;
            auto more = Roster::applyState(sources, merged, state, now, vouchMemory);
            std::move(more.begin(), more.end(), std::back_inserter(learned));
        }
        if (!reply.members.empty())
            members = { reply.members.begin(), reply.members.end() };
        auto peers = Roster::peersOf(sources);
        if (!peers.empty() && peers != instances) {
            instances = peers;
            newInstances = std::move(peers);
        }
    }
    if (isFound)
        Observe::logEvent(Part::Roster, Observe::Event::ControlFound,
            { { "address", address.value() }, { "table", std::to_string(reply.table.value()) } });
    for (const Roster::StatusChange& l : learned)
        Observe::logEvent(Part::Roster, Observe::Event::ServerLearned,
            { { "server", l.server.value() }, { "group", l.group.value() },
                { "incarnation", std::to_string(l.incarnation.value()) }, { "standing", Roster::statusName(l.status) },
                { "from", address.value() } });
    if (newInstances)
        hooks.instances(std::move(*newInstances));
    if (!learned.empty() || isFound)
        publish();
}

void RosterFollower::Private::publish()
{
    std::map<Common::GroupName, std::vector<Roster::EligibleServer>> servers;
    {
        std::lock_guard lock(mutex);
        servers = Roster::eligibleServers(merged);
    }
    hooks.servers(std::move(servers));
}

void RosterFollower::Private::sweepLater()
{
    use.timers.after(sweepInterval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        bool isChanged = false;
        {
            std::lock_guard lock(self->mutex);
            auto now = Clock::now();
            isChanged = Roster::dropSilent(self->sources, self->merged, now, vouchMemory);
            Roster::forgetBefore(self->merged, now - serverMemory);
        }
        if (isChanged)
            self->publish();
        self->sweepLater();
    });
}

RosterFollower::RosterFollower(RosterFollowerDependencies use)
    : m_private(std::make_shared<Private>(use))
{
}

RosterFollower::~RosterFollower() { stop(); }

void RosterFollower::start(RosterFollowerHooks hooks)
{
    m_private->hooks = std::move(hooks);
    setSeeds(Settings::seedPeers(m_private->use.settings));
    m_private->reviewLater();
    m_private->sweepLater();
}

void RosterFollower::setSeeds(std::vector<Address> seeds)
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->seeds = { seeds.begin(), seeds.end() };
    }
    m_private->review();
}

void RosterFollower::setTable(Common::TableNumber table)
{
    std::lock_guard lock(m_private->mutex);
    m_private->table = table;
}

void RosterFollower::setLeaving() { m_private->leaving = true; }

void RosterFollower::stop() { m_private->stopped = true; }

} // namespace Daemon
