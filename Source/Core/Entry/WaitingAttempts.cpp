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

size_t WaitingAttempts::ahead(const QueueKey& key, const Common::RouteName& route)
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
    const QueueKey& key, const CandidateSet& set, Common::Milliseconds needed, Common::TimePoint now)
{
    std::vector<Started> started;
    const auto& among = set.of(key.shard);
    m_queues.ifPresent(key, [&](Limits::WaitQueue& queue) {
        size_t before = Limits::size(queue);
        while (m_servers.hasRoom(set, among, now)) {
            auto waiter = Limits::pop(queue, now, needed);
            if (!waiter)
                break;
            auto server = m_servers.acquire(set, among, {}, now);
            if (server) {
                started.push_back({ *std::move(waiter), *server });
                continue;
            }
            // Somebody else took the slot between the two calls.
            Limits::push(queue, *std::move(waiter));
            break;
        }
        m_size -= before - Limits::size(queue);
    });
    return started;
}

} // namespace Entry
