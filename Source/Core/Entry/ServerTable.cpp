#include "Entry/ServerTable.h"

#include "Model/Resources.h"

using Common::BackendServerId;
using Common::TimePoint;

namespace Entry {

namespace {

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

    // Each thread draws its own numbers, so that choices need no lock.
    Common::Random& threadRandom()
    {
        thread_local Common::Random random(std::random_device {}());
        return random;
    }

} // namespace

const std::vector<size_t>& CandidateSet::of(std::optional<Common::ShardId> shard) const
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
    // Requests that are still in flight give their slots back to nobody; that is harmless for a server that is gone.
    m_loads.take(server);
}

std::vector<Routing::Candidate> ServerTable::look(
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
    const CandidateSet& set, const std::vector<size_t>& among, const Routing::Avoid& avoid, TimePoint now)
{
    auto candidates = look(set, among, now);
    for (size_t at : Routing::rank(candidates, avoid, threadRandom())) {
        bool taken = false;
        m_loads.ifPresent(
            candidates[at].server, [&](Limits::ServerLoad& load) { taken = Limits::tryAcquire(load, now); });
        if (taken)
            return among[at];
    }
    return std::nullopt;
}

void ServerTable::release(
    const BackendServerId& server, Limits::Completion completion, Common::Milliseconds took, TimePoint now)
{
    m_loads.ifPresent(server, [&](Limits::ServerLoad& load) {
        // A load made anew after forget() knows nothing of older requests.
        if (load.inFlight > 0)
            Limits::release(load, completion, took, now);
    });
}

bool ServerTable::hasRoom(const CandidateSet& set, const std::vector<size_t>& among, TimePoint now)
{
    for (size_t i : among) {
        bool room = false;
        m_loads.ifPresent(set.servers[i].server, [&](Limits::ServerLoad& load) { room = Limits::hasRoom(load, now); });
        if (room)
            return true;
    }
    return false;
}

double ServerTable::slots(const CandidateSet& set, const std::vector<size_t>& among)
{
    double sum = 0;
    for (size_t i : among)
        m_loads.ifPresent(set.servers[i].server, [&](Limits::ServerLoad& load) { sum += load.limit; });
    return sum;
}

} // namespace Entry
