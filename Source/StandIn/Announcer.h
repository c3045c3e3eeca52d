#pragma once

#include "Common/Ids.h"
#include "StandIn/Messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace StandIn {

struct AnnouncerOptions {
    std::vector<Common::Address> entries; // Taken in turns, as a balancer would.
    Common::Milliseconds period { 1000 };
};

// Announces the servers of this process each period, on a thread of its own.
class Announcer {
public:
    // Gives what each server announces now; the announcer fills in the sequence.
    using Source = std::function<std::vector<Announcement>()>;

    Announcer(AnnouncerOptions, Source);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    // Announces at once instead of at the end of the period.
    void announceNow();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
