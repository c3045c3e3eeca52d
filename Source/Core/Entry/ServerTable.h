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

// The backend servers of one group that hold one index version (or of a group without an index), at one moment.
struct CandidateSet {
    std::vector<Membership::Candidate> servers;
    std::unordered_map<Common::ShardId, std::vector<size_t>> byShard; // Indexes into servers.
    std::vector<size_t> all;

    const std::vector<size_t>& of(std::optional<Common::ShardId>) const;
};

// Where an attempt may go now.
enum class Placement {
    Taken, // A slot was taken.
    NoSlot, // All that may be used are full or paused for now.
    Paused, // Likewise, and the best of them is paused after a trouble.
    NoServer, // None may be used, or none before the time given.
};

struct Placed {
    Placement placement { Placement::NoServer };
    size_t server { 0 }; // Index into the set's servers, if taken.
};

// How an attempt is placed.
struct PlaceOptions {
    bool mayTake { true }; // False if others wait already.
    bool mayUseOthers { true }; // Than the best server, if that one is paused.
    Common::TimePoint before; // The answer is worth nothing after it.
};

// What this instance knows of backend servers: who is there, from membership, and the load of each as observed here.
// Loads are in shards with a lock each.
class ServerTable {
public:
    // The newest directory; candidate sets made before stay as they are.
    void publish(std::shared_ptr<const Membership::Directory>);
    std::shared_ptr<const Membership::Directory> directory() const;
    // version 0: the servers of a group without an index.
    std::shared_ptr<const CandidateSet> candidates(const Common::GroupName&, Common::IndexVersion);

    void configure(const Common::BackendServerId&, const Limits::SlotShare&, Common::TimePoint now);
    void forget(const Common::BackendServerId&);

    // Takes a slot at the best of the servers given; nothing if none has room.
    std::optional<size_t> acquire(
        const CandidateSet&, const std::vector<size_t>& among, const Routing::Exclusions&, Common::TimePoint now);
    // The same with the reason why none was taken.
    Placed place(const CandidateSet&, const std::vector<size_t>& among, const Routing::Exclusions&, const PlaceOptions&,
        Common::TimePoint now);
    // Takes a slot at this server, if it has one.
    bool acquireAt(const Common::BackendServerId&, Common::TimePoint now);
    void release(const Common::BackendServerId&, Limits::Completion, Common::Milliseconds took, Common::TimePoint now);
    bool hasRoom(const Common::BackendServerId&, Common::TimePoint now);
    bool hasRoom(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);
    // The servers given that have room, best first.
    std::vector<size_t> withRoom(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);
    Common::Milliseconds expectedLatency(const Common::BackendServerId&, Common::TimePoint now);
    // Sum of the limits of the servers given, less those that are paused for longer than a moment.
    double slots(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);

private:
    Common::TimePoint pausedUntil(const Common::BackendServerId&);
    Common::TimePoint availableAt(const Common::BackendServerId&);
    std::vector<Routing::Candidate> look(const CandidateSet&, const std::vector<size_t>& among, Common::TimePoint now);

    Common::ShardedMap<Common::BackendServerId, Limits::ServerLoad> m_loads;
    mutable std::mutex m_mutex; // Guards what follows.
    std::shared_ptr<const Membership::Directory> m_directory { std::make_shared<Membership::Directory>() };
    std::unordered_map<std::string, std::shared_ptr<const CandidateSet>> m_sets;
};

} // namespace Entry
