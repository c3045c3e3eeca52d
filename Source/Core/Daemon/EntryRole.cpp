#include "Daemon/EntryRole.h"

#include "Entry/ServerShares.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;

namespace Daemon {

namespace {

    constexpr Milliseconds housekeepingInterval { 100 };
    constexpr Milliseconds releaseBound { 1'500 };

    Membership::GossipSettings gossipSettings(const Settings::Entry& settings)
    {
        Membership::GossipSettings gossip;
        gossip.pushInterval = settings.gossipInterval;
        gossip.directory.suspectAfter = settings.announcementTimeout;
        gossip.directory.removeAfter = settings.announcementTimeout * 3;
        return gossip;
    }

    Membership::InstanceRecord selfRecord(const EntryDependencies& use)
    {
        Membership::InstanceRecord record;
        record.id = use.settings.instance;
        record.incarnation = use.incarnation;
        record.address = use.peerAddress;
        record.domain = use.settings.failureDomain;
        return record;
    }

    Control::LiveInstance selfAsLive(const EntryDependencies& use)
    {
        return { use.settings.instance, use.incarnation, use.peerAddress, use.settings.failureDomain };
    }

} // namespace

struct EntryRole::Private {
    explicit Private(EntryDependencies d)
        : use(std::move(d))
        , membership(gossipSettings(use.settings.entry), selfRecord(use),
              { use.timers, use.peers, servers, use.metrics, use.timeline })
        , backend(use.timers, use.metrics)
        , losses(std::make_shared<Entry::LossDetector>(backend, membership))
        , lease({ selfAsLive(use), use.settings.control, configuration, use.control, membership, use.timers,
              use.metrics, use.timeline })
        , shares({ use.settings.instance, use.settings.entry.connectionSettle, configuration, servers, membership,
                     backend },
              Clock::now())
        , queries({ use.settings.instance, use.settings.entry, configuration, servers, membership, *losses, backend,
              use.timers, use.metrics, use.timeline })
        , bookings({ use.settings.instance, static_cast<uint32_t>(use.settings.control.claimShards), configuration,
              servers, lease, use.control, backend, use.timers, use.metrics, use.timeline })
    {
    }

    EntryDependencies use;
    Entry::ConfigurationView configuration;
    Entry::ServerTable servers;
    Entry::MembershipService membership;
    Backend::Client backend;
    std::shared_ptr<Entry::LossDetector> losses;
    Entry::LeaseKeeper lease;
    Entry::ServerShares shares;
    Entry::QueryEngine queries;
    Entry::BookingEngine bookings;
    Common::TimePoint startedAt { Clock::now() };
    std::atomic<bool> hasConnections { false };
    std::atomic<bool> draining { false };
    std::atomic<bool> stopped { false };

    void keepHouse();
    bool knowsAllGroups();
    void noteConnections(Common::TimePoint now);
};

bool EntryRole::Private::knowsAllGroups()
{
    auto groups = configuration.groups();
    return std::none_of(groups.begin(), groups.end(), [&](const Model::BackendGroup& group) {
        return servers.candidates(group.name, Common::IndexVersion())->servers.empty();
    });
}

// A fresh instance learns of the backend servers from their announcements and from its peers. Of those that it learns
// of while it settles it has no connections until they have settled too, and of later ones at once (see ServerShares).
// A group without any server is waited for as long as a silent one.
void EntryRole::Private::noteConnections(Common::TimePoint now)
{
    if (hasConnections)
        return;
    Milliseconds age = now - startedAt;
    bool knowsServers = lease.mayTakeWork() && knowsAllGroups();
    hasConnections = age >= use.settings.entry.connectionSettle * 2
        && (knowsServers || age >= use.settings.entry.announcementTimeout);
}

void EntryRole::Private::keepHouse()
{
    if (stopped)
        return;
    auto now = Clock::now();
    shares.refresh(now);
    backend.replaceSilentConnections(now);
    noteConnections(now);
    use.timers.after(housekeepingInterval, [this] { keepHouse(); });
}

EntryRole::EntryRole(EntryDependencies use)
    : m_private(std::make_unique<Private>(std::move(use)))
{
}

EntryRole::~EntryRole() = default;

void EntryRole::start()
{
    auto* p = m_private.get();
    p->membership.onChange([p] { p->shares.refresh(Clock::now()); });
    p->lease.onChange([p] { p->shares.refresh(Clock::now()); });
    p->membership.start();
    p->lease.start();
    p->keepHouse();
}

void EntryRole::gossip(std::string_view bytes) { m_private->membership.receive(bytes); }

std::optional<Common::Error> EntryRole::refusal() const
{
    const char* step = "admit";
    const auto& self = m_private->use.settings.instance;
    if (m_private->draining || m_private->configuration.isDraining(self))
        return Common::makeError(Reason::Unavailable, step, "this instance is draining");
    if (!m_private->lease.mayTakeWork())
        return Common::makeError(Reason::Unavailable, step, "this instance holds no lease from control");
    return std::nullopt;
}

std::optional<Common::Error> EntryRole::unreadiness() const
{
    if (auto why = refusal())
        return why;
    if (!m_private->hasConnections)
        return Common::makeError(Reason::Unavailable, "ready", "there are no connections to backend servers yet");
    return std::nullopt;
}

void EntryRole::query(Entry::QueryRequest request, Entry::QueryEngine::Done done)
{
    m_private->queries.query(std::move(request), std::move(done));
}

void EntryRole::run(Entry::BookingRequest request, Entry::BookingEngine::Done done)
{
    m_private->bookings.run(std::move(request), std::move(done));
}

Membership::AnnounceStatus EntryRole::announce(const Membership::Announcement& announcement)
{
    return m_private->membership.announce(announcement);
}

std::shared_ptr<const Membership::Directory> EntryRole::directory() const { return m_private->servers.directory(); }

std::vector<Membership::InstanceRecord> EntryRole::instances() const
{
    std::vector<Membership::InstanceRecord> records { selfRecord(m_private->use) };
    auto directory = m_private->servers.directory();
    for (auto& [id, entry] : directory->instances) {
        if (id != m_private->use.settings.instance)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<Common::Address> EntryRole::otherInstances() const
{
    std::vector<Common::Address> addresses;
    auto directory = m_private->servers.directory();
    for (auto& [id, entry] : directory->instances) {
        if (id != m_private->use.settings.instance && entry.record.liveness != Membership::Liveness::Gone)
            addresses.push_back(entry.record.address);
    }
    return addresses;
}

void EntryRole::drain() { m_private->draining = true; }

size_t EntryRole::inFlight() const { return m_private->queries.inFlight() + m_private->bookings.inFlight(); }

void EntryRole::stop()
{
    std::mutex mutex;
    std::condition_variable released;
    bool isReleased = false;
    m_private->membership.leave();
    m_private->lease.release(releaseBound, [&] {
        std::lock_guard lock(mutex);
        isReleased = true;
        released.notify_one();
    });
    std::unique_lock lock(mutex);
    // The callback refers to this frame, so it is waited for without a bound of its own: release() has one.
    released.wait(lock, [&] { return isReleased; });
    m_private->stopped = true;
    m_private->membership.stop();
}

} // namespace Daemon
