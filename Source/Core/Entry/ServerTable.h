#pragma once

#include "Common/Random.h"
#include "Common/ShardedMap.h"
#include "Limits/ServerLoad.h"
#include "Membership/Directory.h"
#include "Routing/Candidates.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Entry {

// A snapshot of the backend servers of one group that hold one index version, or of a group without an index.
struct CandidateSet {
    std::vector<Membership::Candidate> servers;
    std::unordered_map<Common::ShardId, std::vector<size_t>> byShard; // Indexes into servers.
    std::vector<size_t> all; // Indexes of all servers.

    const std::vector<size_t>& forShard(std::optional<Common::ShardId>) const;
};

// Result of the search for a server with a free slot.
enum class Placement {
    Acquired, // A slot was acquired.
    NoSlot, // All eligible servers are full or paused at present.
    Paused, // As NoSlot, and the best server is paused after failures.
    NoServer, // No server is eligible, or none is available before the deadline.
};

struct PlacementResult {
    Placement placement { Placement::NoServer };
    size_t server { 0 }; // Index into CandidateSet::servers; valid for Acquired only.
};

struct PlacementOptions {
    bool mayAcquire { true }; // False if other attempts are waiting already.
    bool mayUseOtherServers { true }; // Whether to fall back to other servers if the best one is paused.
    Common::TimePoint deadline; // An answer after it is useless.
};

// The backend servers known to this instance: the directory from membership and the load that this instance observes at
// each server. Loads are in a sharded map with a lock per shard.
class ServerTable {
public:
    // Replaces the directory. Candidate sets handed out earlier do not change.
    void publish(std::shared_ptr<const Membership::Directory>);
    std::shared_ptr<const Membership::Directory> directory() const;
    // Version 0 selects the servers of a group without an index.
    std::shared_ptr<const CandidateSet> candidates(const Common::GroupName&, Common::IndexVersion);

    void configure(const Common::BackendServerId&, const Limits::SlotShare&, Common::TimePoint now);
    void forget(const Common::BackendServerId&);

    // Acquires a slot at the best of the given servers that has a free one; nullopt if none has.
    std::optional<size_t> acquire(
        const CandidateSet&, const std::vector<size_t>& among, const Routing::Exclusions&, Common::TimePoint now);
    // As acquire(), but reports why no slot was acquired.
    PlacementResult place(const CandidateSet&, const std::vector<size_t>& among, const Routing::Exclusions&,
        const PlacementOptions&, Common::TimePoint now);
    // Acquires a slot at this server; false if it has no free one.
    bool acquireAt(const Common::BackendServerId&, Common::TimePoint now);
    void release(const Common::BackendServerId&, Limits::Completion, Common::Milliseconds took, Common::TimePoint now);
    bool hasFreeSlot(const Common::BackendServerId&, Common::TimePoint now);
    bool hasFreeSlot(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);
    // The given servers that have a free slot, best first.
    std::vector<size_t> withFreeSlot(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);
    Common::Milliseconds expectedLatency(const Common::BackendServerId&, Common::TimePoint now);
    // Sum of the concurrency limits of the given servers, without those that are paused for more than 100 ms.
    double usableSlots(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);

private:
    Common::TimePoint pausedUntil(const Common::BackendServerId&);
    Common::TimePoint availableAt(const Common::BackendServerId&);
    std::vector<Routing::Candidate> toCandidates(
        const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);

    Common::ShardedMap<Common::BackendServerId, Limits::ServerLoad> m_loads;
    mutable std::mutex m_mutex; // Guards the members below.
    std::shared_ptr<const Membership::Directory> m_directory { std::make_shared<Membership::Directory>() };
    std::unordered_map<std::string, std::shared_ptr<const CandidateSet>> m_sets;
};

} // namespace Entry
