#include "StandIn/TimerQueue.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace StandIn {

namespace {

    using Instant = std::chrono::steady_clock::time_point;

    class TimerShard {
    public:
        TimerShard()
            : m_thread([this] { work(); })
        {
        }

        ~TimerShard()
        {
            {
                std::lock_guard lock(m_mutex);
                m_stopped = true;
            }
            m_wake.notify_one();
            m_thread.join();
        }

        TimerShard(const TimerShard&) = delete;
        TimerShard& operator=(const TimerShard&) = delete;

        void add(Instant due, std::function<void()> fn)
        {
            bool isFirst = false;
            {
                std::lock_guard lock(m_mutex);
                isFirst = m_timers.empty() || due < m_timers.begin()->first;
                m_timers.emplace(due, std::move(fn));
            }
            if (isFirst)
                m_wake.notify_one();
        }

    private:
        void work()
        {
            std::unique_lock lock(m_mutex);
            while (!m_stopped) {
                if (m_timers.empty()) {
                    m_wake.wait(lock);
                    continue;
                }
                auto it = m_timers.begin();
                const Instant due = it->first;
                if (std::chrono::steady_clock::now() < due) {
                    m_wake.wait_until(lock, due);
                    continue;
                }
                auto fn = std::move(it->second);
                m_timers.erase(it);
                lock.unlock();
                fn();
                fn = nullptr;
                lock.lock();
            }
        }

        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::multimap<Instant, std::function<void()>> m_timers;
        bool m_stopped { false };
        std::thread m_thread;
    };

} // namespace

struct TimerQueue::Private {
    std::vector<std::unique_ptr<TimerShard>> shards;
    std::atomic<size_t> next { 0 };
};

TimerQueue::TimerQueue(int shards)
    : m_private(std::make_unique<Private>())
{
    for (int i = 0; i < shards; ++i)
        m_private->shards.push_back(std::make_unique<TimerShard>());
}

TimerQueue::~TimerQueue() = default;

void TimerQueue::after(Common::Milliseconds delay, std::function<void()> fn)
{
    auto& shards = m_private->shards;
    const size_t n = m_private->next.fetch_add(1, std::memory_order_relaxed);
    shards[n % shards.size()]->add(std::chrono::steady_clock::now() + Common::Clock::toChrono(delay), std::move(fn));
}

} // namespace StandIn
