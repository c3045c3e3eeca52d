#pragma once

#include "Common/Ids.h"
#include "Common/ShardedMap.h"
#include "Entry/ServerTable.h"
#include "Limits/WaitQueue.h"

#include <atomic>
#include <optional>
#include <vector>

namespace Entry {

// Names the replicas of one shard of one index version.
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

// Attempts that wait here, not at the backend servers, until a slot is free.
class WaitingAttempts {
public:
    struct Started {
        Limits::Waiter waiter;
        size_t server; // Its slot is taken.
    };

    explicit WaitingAttempts(ServerTable&);

    // Returns whether the queue was empty, so that somebody has to look after it from now on.
    bool push(const QueueKey&, Limits::Waiter);
    bool remove(const QueueKey&, Common::QueryId, Common::AttemptId, const Common::RouteName&);
    size_t ahead(const QueueKey&, const Common::RouteName&);
    bool isEmpty(const QueueKey&);
    // Takes slots for those whose turn it is. Waiters that a server could not answer in time are dropped.
    std::vector<Started> drain(const QueueKey&, const CandidateSet&, Common::TimePoint now);
    size_t size() const { return m_size; }

private:
    std::optional<Limits::Waiter> takeFor(Limits::WaitQueue&, const Common::BackendServerId&, Common::TimePoint now);

    ServerTable& m_servers;
    Common::ShardedMap<QueueKey, Limits::WaitQueue> m_queues;
    std::atomic<size_t> m_size { 0 };
};

} // namespace Entry
