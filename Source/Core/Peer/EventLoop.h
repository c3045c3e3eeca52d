#pragma once

#include "Common/Clock.h"

#include <functional>
#include <memory>

#include <kj/async-io.h>

namespace Peer {

// One thread with a kj event loop. Other threads post work to a queue with its own lock, which wakes the loop.
// Internal to this library.
class EventLoop {
public:
    // Runs on the loop's thread before any posted work. The returned object is destroyed there in stop().
    using Setup = std::function<std::shared_ptr<void>(kj::AsyncIoContext&)>;

    explicit EventLoop(Setup);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Thread-safe. Returns whether the function will run; returns false after stop().
    bool post(std::function<void()>);
    // Runs the posted work, destroys the object from Setup and joins the thread. Must not be called on the loop's
    // thread.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Peer
