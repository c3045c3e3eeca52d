#include "Peer/EventLoop.h"

#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace Peer {

struct EventLoop::Private {
    using Wakeup = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run(const Setup&, std::promise<void>& ready);
    kj::Promise<void> armWakeup(kj::Timer&);
    bool runPosted();

    std::mutex mutex; // Guards posted, wakeup and isStopped.
    std::vector<std::function<void()>> posted;
    Wakeup wakeup; // Wakes the sleeping loop; null while it is awake.
    bool isStopped { false };

    std::thread thread;
};

// A fulfiller can be used only once, so the loop creates a new one each time before it sleeps. With work pending, it
// still polls the event port; otherwise continuously posted work would starve the sockets.
kj::Promise<void> EventLoop::Private::armWakeup(kj::Timer& timer)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    std::lock_guard lock(mutex);
    if (!posted.empty() || isStopped)
        return timer.afterDelay(0 * kj::NANOSECONDS);
    wakeup = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

// Returns whether the loop continues.
bool EventLoop::Private::runPosted()
{
    std::vector<std::function<void()>> batch;
    bool shouldContinue = true;
    {
        std::lock_guard lock(mutex);
        batch.swap(posted);
        shouldContinue = !isStopped;
    }
    for (auto& fn : batch)
        fn();
    return shouldContinue;
}

void EventLoop::Private::run(const Setup& setup, std::promise<void>& ready)
{
    auto io = kj::setupAsyncIo();
    auto state = setup(io);
    ready.set_value();
    while (runPosted())
        armWakeup(io.provider->getTimer()).wait(io.waitScope);
    // Work posted before the stop still runs, since it holds callbacks that must be called.
    runPosted();
    state.reset();
    io.waitScope.cancelAllDetached();
}

EventLoop::EventLoop(Setup setup)
    : m_private(std::make_unique<Private>())
{
    std::promise<void> ready;
    m_private->thread = std::thread([this, &setup, &ready] { m_private->run(setup, ready); });
    ready.get_future().wait();
}

EventLoop::~EventLoop() { stop(); }

bool EventLoop::post(std::function<void()> fn)
{
    Private::Wakeup wakeup;
    {
        std::lock_guard lock(m_private->mutex);
        if (m_private->isStopped)
            return false;
        m_private->posted.push_back(std::move(fn));
        wakeup = kj::mv(m_private->wakeup);
    }
    if (wakeup.get())
        wakeup->fulfill();
    return true;
}

void EventLoop::stop()
{
    Private::Wakeup wakeup;
    {
        std::lock_guard lock(m_private->mutex);
        m_private->isStopped = true;
        wakeup = kj::mv(m_private->wakeup);
    }
    if (wakeup.get())
        wakeup->fulfill();
    if (m_private->thread.joinable())
        m_private->thread.join();
}

} // namespace Peer
