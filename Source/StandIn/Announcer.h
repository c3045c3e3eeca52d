#pragma once

#include "Common/Ids.h"
#include "StandIn/Messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace StandIn {

struct AnnouncerOptions {
    std::vector<Common::Address> entries; // Used round robin, like a load balancer.
    Common::Milliseconds period { 1000 };
};

// Periodically announces the servers of this process from its own thread.
class Announcer {
public:
    // Returns the current announcement of each server. The announcer sets the sequence number.
    using Source = std::function<std::vector<Announcement>()>;

    Announcer(AnnouncerOptions, Source);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    // Sends the next announcements immediately, without waiting for the end of the period.
    void announceNow();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
