#include "Observe/Timeline.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <tuple>
#include <utility>

namespace Observe {

namespace {

    constexpr size_t shardCount = 16;

    // Events about requests are far more frequent, so they have a queue of their own: they must not evict the rare
    // events about state.
    struct Shard {
        std::mutex mutex;
        std::deque<TimelineEvent> requestEvents;
        std::deque<TimelineEvent> stateEvents;
    };

    bool isAboutRequest(EventKind kind)
    {
        return EventKind::QueryAdmitted <= kind && kind <= EventKind::RequestReplayed;
    }

    void appendMatching(
        std::vector<TimelineEvent>& to, const std::deque<TimelineEvent>& from, const std::string& subject)
    {
        std::copy_if(from.begin(), from.end(), std::back_inserter(to),
            [&](const TimelineEvent& event) { return subject.empty() || event.subject == subject; });
    }

    auto orderingKey(const TimelineEvent& event)
    {
        return std::tie(event.time, event.instance, event.incarnation, event.sequence);
    }

    bool isBefore(const TimelineEvent& a, const TimelineEvent& b) { return orderingKey(a) < orderingKey(b); }

} // namespace

struct Timeline::Private {
    Common::InstanceId instance;
    Common::Incarnation incarnation;
    size_t queueCapacity { 0 };
    std::atomic<uint64_t> time { 0 };
    std::atomic<uint64_t> sequence { 0 };
    std::array<Shard, shardCount> shards;

    Shard& shardOf(const std::string& subject) { return shards[std::hash<std::string> {}(subject) % shardCount]; }
};

Timeline::Timeline(Common::InstanceId instance, Common::Incarnation incarnation, size_t capacity)
    : m_private(std::make_unique<Private>())
{
    m_private->instance = std::move(instance);
    m_private->incarnation = incarnation;
    m_private->queueCapacity = std::max<size_t>(1, capacity / shardCount / 2);
}

Timeline::~Timeline() = default;

void Timeline::record(EventKind kind, std::string subject, std::string detail)
{
    TimelineEvent event;
    event.instance = m_private->instance;
    event.incarnation = m_private->incarnation;
    event.wallClock = Common::Clock::wallClock();
    event.kind = kind;
    event.subject = std::move(subject);
    event.detail = std::move(detail);

    Shard& shard = m_private->shardOf(event.subject);
    std::lock_guard lock(shard.mutex);
    // Stamped under the lock, so that the events of a shard are stored in order.
    event.time = stamp();
    event.sequence = m_private->sequence.fetch_add(1, std::memory_order_relaxed) + 1;
    auto& events = isAboutRequest(kind) ? shard.requestEvents : shard.stateEvents;
    events.push_back(std::move(event));
    if (events.size() > m_private->queueCapacity)
        events.pop_front();
}

LogicalTime Timeline::stamp() { return LogicalTime(m_private->time.fetch_add(1) + 1); }

void Timeline::observe(LogicalTime other)
{
    uint64_t own = m_private->time.load();
    while (own < other.value() && !m_private->time.compare_exchange_weak(own, other.value())) { }
}

std::vector<TimelineEvent> Timeline::recent(const std::string& subject, size_t limit) const
{
    std::vector<TimelineEvent> events;
    for (Shard& shard : m_private->shards) {
        if (!subject.empty() && &shard != &m_private->shardOf(subject))
            continue;
        std::lock_guard lock(shard.mutex);
        appendMatching(events, shard.requestEvents, subject);
        appendMatching(events, shard.stateEvents, subject);
    }
    std::sort(events.begin(), events.end(), isBefore);
    if (events.size() > limit)
        events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(limit));
    return events;
}

std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>> timelines)
{
    std::vector<TimelineEvent> events;
    for (auto& timeline : timelines)
        std::move(timeline.begin(), timeline.end(), std::back_inserter(events));
    std::sort(events.begin(), events.end(), isBefore);
    auto isSame = [](const TimelineEvent& a, const TimelineEvent& b) { return orderingKey(a) == orderingKey(b); };
    events.erase(std::unique(events.begin(), events.end(), isSame), events.end());
    return events;
}

} // namespace Observe
