#pragma once

#include "Common/Ids.h"
#include "Common/ShardedMap.h"
#include "Entry/ServerTable.h"
#include "Limits/WaitQueue.h"

#include <atomic>
#include <optional>
#include <vector>

namespace Entry {

// Identifies the wait queue of one shard of one index version, which all replicas of the shard serve.
struct QueueKey {
    Common::GroupName group;
    Common::IndexVersion version;
    Common::ShardId shard;

    friend bool operator==(const QueueKey&, const QueueKey&) = default;
};

} // namespace Entry

template <> struct std::hash<Entry::QueueKey> {
    size_t operator()(const Entry::QueueKey& key) const noexcept
    {
        size_t h = std::hash<Common::GroupName> {}(key.group);
        h = h * 31 + std::hash<Common::IndexVersion> {}(key.version);
        return h * 31 + std::hash<Common::ShardId> {}(key.shard);
    }
};

namespace Entry {

// Attempts that wait for a free slot, queued in this process and not at the backend servers.
class WaitingAttempts {
public:
    struct Started {
        Limits::Waiter waiter;
        size_t server; // Index into the candidate set; a slot is acquired there.
    };

    explicit WaitingAttempts(ServerTable&);

    // Returns whether the queue was empty, in which case the caller must start polling it.
    bool push(const QueueKey&, Limits::Waiter);
    bool remove(const QueueKey&, Common::QueryId, Common::AttemptId, const Common::RouteName&);
    size_t waitersAhead(const QueueKey&, const Common::RouteName&);
    bool isEmpty(const QueueKey&);
    // Acquires slots for the next waiters. Drops waiters that the server with the free slot could not answer in time.
    std::vector<Started> drain(const QueueKey&, const CandidateSet&, Common::TimePoint now);
    size_t size() const { return m_size; }

private:
    std::optional<Limits::Waiter> acquireFor(Limits::WaitQueue&, const Common::BackendServerId&, Common::TimePoint now);

    ServerTable& m_servers;
    Common::ShardedMap<QueueKey, Limits::WaitQueue> m_queues;
    std::atomic<size_t> m_size { 0 };
};

} // namespace Entry
