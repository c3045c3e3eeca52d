#include "Entry/ServerTable.h"

#include "Model/Resources.h"

#include <algorithm>
#include <cmath>

using Common::BackendServerId;
using Common::TimePoint;

namespace Entry {

namespace {

    // Admission of queries does not count on the slots of a server that is paused for longer.
    constexpr Common::Milliseconds longestCountedPause { 100 };

    // A fractional limit admits the next lower whole number of requests. A limit below 1 is a duty cycle.
    double effectiveConcurrency(const Limits::ServerLoad& load)
    {
        if (load.cold || load.recentFailures > 0)
            return std::min(load.limit, 1.0);
        return load.limit < 1 ? load.limit : std::floor(load.limit);
    }

    std::shared_ptr<const CandidateSet> makeSet(std::vector<Membership::Candidate> servers)
    {
        auto set = std::make_shared<CandidateSet>();
        set->servers = std::move(servers);
        for (size_t i = 0; i < set->servers.size(); ++i) {
            set->all.push_back(i);
            for (Common::ShardId shard : set->servers[i].shards)
                set->byShard[shard].push_back(i);
        }
        return set;
    }

    // A generator per thread needs no lock.
    Common::Random& threadRandom()
    {
        thread_local Common::Random random(std::random_device {}());
        return random;
    }

} // namespace

const std::vector<size_t>& CandidateSet::forShard(std::optional<Common::ShardId> shard) const
{
    static const std::vector<size_t> none;
    if (!shard)
        return all;
    auto it = byShard.find(*shard);
    return it == byShard.end() ? none : it->second;
}

void ServerTable::publish(std::shared_ptr<const Membership::Directory> directory)
{
    std::lock_guard lock(m_mutex);
    m_directory = std::move(directory);
    m_sets.clear();
}

std::shared_ptr<const Membership::Directory> ServerTable::directory() const
{
    std::lock_guard lock(m_mutex);
    return m_directory;
}

std::shared_ptr<const CandidateSet> ServerTable::candidates(
    const Common::GroupName& group, Common::IndexVersion version)
{
    std::string name = Model::indexVersionName(group, version);
    std::lock_guard lock(m_mutex);
    auto& set = m_sets[name];
    if (!set) {
        set = makeSet(version == Common::IndexVersion() ? Membership::candidates(*m_directory, group)
                                                        : Membership::candidates(*m_directory, group, version));
    }
    return set;
}

void ServerTable::configure(const BackendServerId& server, const Limits::SlotShare& share, TimePoint now)
{
    m_loads.withValue(server, [&](Limits::ServerLoad& load) { Limits::configure(load, share, now); });
}

void ServerTable::forget(const BackendServerId& server)
{
    // Requests still in flight release slots of a load that no longer exists, which is harmless for a removed server.
    m_loads.take(server);
}

std::vector<Routing::Candidate> ServerTable::toCandidates(
    const CandidateSet& set, const std::vector<size_t>& among, TimePoint now)
{
    std::vector<Routing::Candidate> candidates;
    candidates.reserve(among.size());
    for (size_t i : among) {
        const Membership::Candidate& server = set.servers[i];
        Routing::Candidate candidate;
        candidate.server = server.server;
        candidate.domain = server.domain;
        m_loads.ifPresent(server.server, [&](Limits::ServerLoad& load) {
            candidate.inFlight = load.inFlight;
            candidate.limit = load.limit;
            candidate.latency = Limits::expectedLatency(load, now);
            candidate.cold = load.cold;
            candidate.paused = Limits::availableAt(load) > now;
        });
        candidate.paused = candidate.paused || server.isSuspect;
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::optional<size_t> ServerTable::acquire(
    const CandidateSet& set, const std::vector<size_t>& among, const Routing::Exclusions& exclusions, TimePoint now)
{
    auto candidates = toCandidates(set, among, now);
    for (size_t at : Routing::rank(candidates, exclusions, threadRandom())) {
        if (acquireAt(candidates[at].server, now))
            return among[at];
    }
    return std::nullopt;
}

PlacementResult ServerTable::place(const CandidateSet& set, const std::vector<size_t>& among,
    const Routing::Exclusions& exclusions, const PlacementOptions& options, TimePoint now)
{
    auto candidates = toCandidates(set, among, now);
    auto order = Routing::rank(candidates, exclusions, threadRandom());
    if (order.empty())
        return { Placement::NoServer };
    bool isBestPaused = pausedUntil(candidates[order.front()].server) > now;
    if (isBestPaused && !options.mayUseOtherServers)
        return { Placement::Paused };
    for (size_t at : order) {
        if (options.mayAcquire && acquireAt(candidates[at].server, now))
            return { Placement::Acquired, among[at] };
    }
    bool isInTime = std::any_of(
        order.begin(), order.end(), [&](size_t at) { return availableAt(candidates[at].server) < options.deadline; });
    if (!isInTime)
        return { Placement::NoServer };
    return { isBestPaused ? Placement::Paused : Placement::NoSlot };
}

bool ServerTable::acquireAt(const BackendServerId& server, TimePoint now)
{
    bool isAcquired = false;
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) { isAcquired = Limits::tryAcquire(load, now); });
    return isAcquired;
}

TimePoint ServerTable::pausedUntil(const BackendServerId& server)
{
    TimePoint until;
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) { until = load.pausedUntil; });
    return until;
}

TimePoint ServerTable::availableAt(const BackendServerId& server)
{
    TimePoint at;
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) { at = Limits::availableAt(load); });
    return at;
}

void ServerTable::release(
    const BackendServerId& server, Limits::Completion completion, Common::Milliseconds took, TimePoint now)
{
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) {
        // A load recreated after forget() does not count the requests sent before.
        if (load.inFlight > 0)
            Limits::release(load, completion, took, now);
    });
}

bool ServerTable::hasFreeSlot(const BackendServerId& server, TimePoint now)
{
    bool isFree = false;
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) { isFree = Limits::hasFreeSlot(load, now); });
    return isFree;
}

bool ServerTable::hasFreeSlot(const CandidateSet& set, const std::vector<size_t>& among, TimePoint now)
{
    return std::any_of(among.begin(), among.end(), [&](size_t i) { return hasFreeSlot(set.servers[i].server, now); });
}

std::vector<size_t> ServerTable::withFreeSlot(const CandidateSet& set, const std::vector<size_t>& among, TimePoint now)
{
    auto candidates = toCandidates(set, among, now);
    std::vector<size_t> withSlot;
    for (size_t at : Routing::rank(candidates, {}, threadRandom())) {
        if (hasFreeSlot(candidates[at].server, now))
            withSlot.push_back(among[at]);
    }
    return withSlot;
}

Common::Milliseconds ServerTable::expectedLatency(const BackendServerId& server, TimePoint now)
{
    Common::Milliseconds latency;
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) { latency = Limits::expectedLatency(load, now); });
    return latency;
}

double ServerTable::usableSlots(const CandidateSet& set, const std::vector<size_t>& among, TimePoint now)
{
    double sum = 0;
    for (size_t i : among) {
        m_loads.ifPresent(set.servers[i].server, [&](Limits::ServerLoad& load) {
            if (load.pausedUntil <= now + longestCountedPause)
                sum += effectiveConcurrency(load);
        });
    }
    return sum;
}

} // namespace Entry
