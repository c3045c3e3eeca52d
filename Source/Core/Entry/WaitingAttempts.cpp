#include "Entry/WaitingAttempts.h"

namespace Entry {

WaitingAttempts::WaitingAttempts(ServerTable& servers)
    : m_servers(servers)
{
}

bool WaitingAttempts::push(const QueueKey& key, Limits::Waiter waiter)
{
    return m_queues.withValue(key, [&](Limits::WaitQueue& queue) {
        bool wasEmpty = !Limits::size(queue);
        Limits::push(queue, std::move(waiter));
        ++m_size;
        return wasEmpty;
    });
}

bool WaitingAttempts::remove(
    const QueueKey& key, Common::QueryId query, Common::AttemptId attempt, const Common::RouteName& route)
{
    bool removed = false;
    m_queues.ifPresent(key, [&](Limits::WaitQueue& queue) { removed = Limits::remove(queue, query, attempt, route); });
    if (removed)
        --m_size;
    return removed;
}

size_t WaitingAttempts::waitersAhead(const QueueKey& key, const Common::RouteName& route)
{
    size_t n = 0;
    m_queues.ifPresent(key, [&](Limits::WaitQueue& queue) { n = Limits::waitersAhead(queue, route); });
    return n;
}

bool WaitingAttempts::isEmpty(const QueueKey& key)
{
    bool empty = true;
    m_queues.ifPresent(key, [&](Limits::WaitQueue& queue) { empty = !Limits::size(queue); });
    return empty;
}

std::vector<WaitingAttempts::Started> WaitingAttempts::drain(
    const QueueKey& key, const CandidateSet& set, Common::TimePoint now)
{
    std::vector<Started> started;
    m_queues.ifPresent(key, [&](Limits::WaitQueue& queue) {
        size_t before = Limits::size(queue);
        for (size_t server : m_servers.withFreeSlot(set, set.forShard(key.shard), now)) {
            while (auto waiter = acquireFor(queue, set.servers[server].server, now))
                started.push_back({ *std::move(waiter), server });
        }
        m_size -= before - Limits::size(queue);
    });
    return started;
}

// Acquires a slot at the server for the next waiter that may use the server.
std::optional<Limits::Waiter> WaitingAttempts::acquireFor(
    Limits::WaitQueue& queue, const Common::BackendServerId& server, Common::TimePoint now)
{
    if (!m_servers.hasFreeSlot(server, now))
        return std::nullopt;
    auto waiter = Limits::pop(queue, now, m_servers.expectedLatency(server, now), server);
    if (!waiter || m_servers.acquireAt(server, now))
        return waiter;
    // Another thread acquired the slot since the check.
    Limits::push(queue, *std::move(waiter));
    return std::nullopt;
}

} // namespace Entry
