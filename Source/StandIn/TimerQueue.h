#pragma once

#include "Common/Clock.h"

#include <functional>
#include <memory>

namespace StandIn {

// Runs functions later, on a few threads of its own that sleep in between. Functions of different shards may run at
// the same time.
class TimerQueue {
public:
    explicit TimerQueue(int shards);
    // Functions that are not yet due are dropped.
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    void after(Common::Milliseconds, std::function<void()>);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
