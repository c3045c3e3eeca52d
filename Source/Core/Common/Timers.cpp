#include "Common/Timers.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Common {

namespace {

    struct Shard {
        using Key = std::pair<TimePoint, TimerId>;

        std::mutex mutex;
        std::condition_variable changed;
        std::map<Key, std::function<void()>> timers;
        std::unordered_map<TimerId, TimePoint> times;
        bool stopping { false };
        std::thread thread;

        void run();
    };

    void Shard::run()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            if (timers.empty()) {
                changed.wait(lock);
                continue;
            }
            auto it = timers.begin();
            Milliseconds left = it->first.first - Clock::now();
            if (left > Milliseconds(0)) {
                changed.wait_for(lock, Clock::toChrono(left) + std::chrono::microseconds(1));
                continue;
            }
            auto function = std::move(it->second);
            times.erase(it->first.second);
            timers.erase(it);
            lock.unlock();
            function();
            function = nullptr;
            lock.lock();
        }
    }

} // namespace

struct Timers::Private {
    std::vector<std::unique_ptr<Shard>> shards;
    std::atomic<uint64_t> next { 1 };

    Shard& shardOf(TimerId id) { return *shards[id.value() % shards.size()]; }
};

Timers::Timers(int shards)
    : m_private(std::make_unique<Private>())
{
    for (int i = 0; i < shards; ++i) {
        auto shard = std::make_unique<Shard>();
        shard->thread = std::thread([p = shard.get()] { p->run(); });
        m_private->shards.push_back(std::move(shard));
    }
}

Timers::~Timers() { stop(); }

TimerId Timers::at(TimePoint when, std::function<void()> function)
{
    TimerId id(m_private->next++);
    Shard& shard = m_private->shardOf(id);
    std::lock_guard lock(shard.mutex);
    auto it = shard.timers.emplace(Shard::Key(when, id), std::move(function)).first;
    shard.times.emplace(id, when);
    if (it == shard.timers.begin())
        shard.changed.notify_one();
    return id;
}

TimerId Timers::after(Milliseconds delay, std::function<void()> function)
{
    return at(Clock::now() + delay, std::move(function));
}

void Timers::cancel(TimerId id)
{
    // Declared before the lock, so that it is destroyed after the unlock: its destructor may call back into Timers.
    std::function<void()> dropped;
    Shard& shard = m_private->shardOf(id);
    std::lock_guard lock(shard.mutex);
    auto time = shard.times.find(id);
    if (time == shard.times.end())
        return;
    auto it = shard.timers.find(Shard::Key(time->second, id));
    dropped = std::move(it->second);
    shard.timers.erase(it);
    shard.times.erase(time);
}

size_t Timers::size() const
{
    size_t n = 0;
    for (auto& shard : m_private->shards) {
        std::lock_guard lock(shard->mutex);
        n += shard->timers.size();
    }
    return n;
}

void Timers::stop()
{
    for (auto& shard : m_private->shards) {
        {
            std::lock_guard lock(shard->mutex);
            shard->stopping = true;
            shard->changed.notify_one();
        }
        if (shard->thread.joinable())
            shard->thread.join();
    }
}

} // namespace Common
