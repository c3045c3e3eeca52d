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
    constexpr Milliseconds releaseTimeout { 1'500 };

    Membership::GossipSettings gossipSettings(const Settings::Entry& settings)
    {
        Membership::GossipSettings gossip;
        gossip.pushInterval = settings.gossipInterval;
        gossip.directory.suspectAfter = settings.announcementTimeout;
        gossip.directory.removeAfter = settings.announcementTimeout * 3;
        return gossip;
    }

    Membership::InstanceRecord selfRecord(const EntryDependencies& dependencies)
    {
        Membership::InstanceRecord record;
        record.id = dependencies.settings.instance;
        record.incarnation = dependencies.incarnation;
        record.address = dependencies.peerAddress;
        record.domain = dependencies.settings.failureDomain;
        return record;
    }

    Control::LiveInstance selfInstance(const EntryDependencies& dependencies)
    {
        return { dependencies.settings.instance, dependencies.incarnation, dependencies.peerAddress,
            dependencies.settings.failureDomain };
    }

} // namespace

struct EntryRole::Private {
    explicit Private(EntryDependencies d)
        : dependencies(std::move(d))
        , membership(gossipSettings(dependencies.settings.entry), selfRecord(dependencies),
              { dependencies.timers, dependencies.peers, servers, dependencies.metrics, dependencies.timeline })
        , backend(dependencies.timers, dependencies.metrics)
        , lossDetector(std::make_shared<Entry::LossDetector>(backend, membership))
        , lease({ selfInstance(dependencies), dependencies.settings.control, configuration, dependencies.control,
              membership, dependencies.timers, dependencies.metrics, dependencies.timeline })
        , shares({ dependencies.settings.instance, dependencies.settings.entry.connectionSettle, configuration, servers,
                     membership, backend },
              Clock::now())
        , queries({ dependencies.settings.instance, dependencies.settings.entry, configuration, servers, membership,
              *lossDetector, backend, dependencies.timers, dependencies.metrics, dependencies.timeline })
        , bookings({ dependencies.settings.instance, static_cast<uint32_t>(dependencies.settings.control.claimShards),
              configuration, servers, membership, *lossDetector, lease, dependencies.control, backend,
              dependencies.timers, dependencies.metrics, dependencies.timeline })
    {
    }

    EntryDependencies dependencies;
    Entry::ConfigurationView configuration;
    Entry::ServerTable servers;
    Entry::MembershipService membership;
    Backend::Client backend;
    std::shared_ptr<Entry::LossDetector> lossDetector;
    Entry::LeaseClient lease;
    Entry::ServerShares shares;
    Entry::QueryEngine queries;
    Entry::BookingEngine bookings;
    Common::TimePoint startedAt { Clock::now() };
    std::atomic<bool> hasConnections { false };
    std::atomic<bool> draining { false };
    std::atomic<bool> stopped { false };

    void runHousekeeping();
    bool knowsAllGroups();
    void updateConnectionState(Common::TimePoint now);
};

bool EntryRole::Private::knowsAllGroups()
{
    auto groups = configuration.groups();
    return std::none_of(groups.begin(), groups.end(), [&](const Model::BackendGroup& group) {
        return servers.candidates(group.name, Common::IndexVersion())->servers.empty();
    });
}

// A new instance learns of the backend servers from their announcements and from its peers. Until the settle time after
// its start has passed, it connects to a server only once the settle time has passed since it discovered the server; it
// connects to servers discovered later at once (see ServerShares). It waits for a group without known servers no longer
// than the announcement timeout.
void EntryRole::Private::updateConnectionState(Common::TimePoint now)
{
    if (hasConnections)
        return;
    Milliseconds age = now - startedAt;
    bool knowsServers = lease.mayTakeWork() && knowsAllGroups();
    hasConnections = age >= dependencies.settings.entry.connectionSettle * 2
        && (knowsServers || age >= dependencies.settings.entry.announcementTimeout);
}

void EntryRole::Private::runHousekeeping()
{
    if (stopped)
        return;
    auto now = Clock::now();
    shares.refresh(now);
    backend.replaceSilentConnections(now);
    updateConnectionState(now);
    dependencies.timers.after(housekeepingInterval, [this] { runHousekeeping(); });
}

EntryRole::EntryRole(EntryDependencies dependencies)
    : m_private(std::make_unique<Private>(std::move(dependencies)))
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
    p->runHousekeeping();
}

void EntryRole::gossip(std::string_view bytes) { m_private->membership.receive(bytes); }

std::optional<Common::Error> EntryRole::refusal() const
{
    const char* step = "admit";
    const auto& self = m_private->dependencies.settings.instance;
    if (m_private->draining || m_private->configuration.isDraining(self))
        return Common::makeError(Reason::Unavailable, step, "this instance is draining");
    if (!m_private->lease.mayTakeWork())
        return Common::makeError(Reason::Unavailable, step, "this instance holds no lease from control");
    return std::nullopt;
}

std::optional<Common::Error> EntryRole::notReadyReason() const
{
    if (auto error = refusal())
        return error;
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
    std::vector<Membership::InstanceRecord> records { selfRecord(m_private->dependencies) };
    auto directory = m_private->servers.directory();
    for (auto& [id, entry] : directory->instances) {
        if (id != m_private->dependencies.settings.instance)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<Common::Address> EntryRole::otherInstances() const
{
    std::vector<Common::Address> addresses;
    auto directory = m_private->servers.directory();
    for (auto& [id, entry] : directory->instances) {
        if (id != m_private->dependencies.settings.instance && entry.record.liveness != Membership::Liveness::Gone)
            addresses.push_back(entry.record.address);
    }
    return addresses;
}

void EntryRole::drain() { m_private->draining = true; }

size_t EntryRole::inFlight() const { return m_private->queries.inFlight() + m_private->bookings.inFlight(); }

void EntryRole::stop(Milliseconds bound)
{
    std::mutex mutex;
    std::condition_variable released;
    bool isReleased = false;
    m_private->membership.leave();
    m_private->lease.release(std::min(bound, releaseTimeout), [&] {
        std::lock_guard lock(mutex);
        isReleased = true;
        released.notify_one();
    });
    std::unique_lock lock(mutex);
    // The callback captures this stack frame by reference, so this waits without a timeout; release() has its own.
    released.wait(lock, [&] { return isReleased; });
    m_private->stopped = true;
    m_private->membership.stop();
}

} // namespace Daemon
