#pragma once

#include "Common/Clock.h"

#include <functional>
#include <memory>

#include <kj/async-io.h>

namespace Peer {

// One thread with a kj event loop. Work reaches it through a queue under its own lock and one wake-up.
// Part of the private side of this library.
class EventLoop {
public:
    // fn runs on the loop's thread before any posted work; what it returns lives there until stop().
    using Setup = std::function<std::shared_ptr<void>(kj::AsyncIoContext&)>;

    explicit EventLoop(Setup);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // From any thread. Returns whether it will run; after stop() it will not.
    bool post(std::function<void()>);
    // Runs what was posted, destroys what the setup made, and joins the thread. Not from the loop's thread.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Peer
