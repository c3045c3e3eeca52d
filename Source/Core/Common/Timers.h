#pragma once

#include "Common/Clock.h"
#include "Common/StrongType.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Common {

using TimerId = StrongId<struct TimerIdTag, uint64_t>;

// Calls functions at given times on its own threads. Timers are distributed over shards, each with a mutex and a thread
// that sleeps until its next timer is due. Functions must be short and must not block.
class Timers {
public:
    explicit Timers(int shards);
    ~Timers();
    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;

    TimerId at(TimePoint, std::function<void()>);
    TimerId after(Milliseconds, std::function<void()>);
    // Has no effect if the function has been called or is running.
    void cancel(TimerId);
    // The number of functions that have not been called yet.
    size_t size() const;
    // Joins the threads and drops pending timers. Must not be called from a timer's function.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Common
