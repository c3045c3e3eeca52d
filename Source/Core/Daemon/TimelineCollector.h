#pragma once

#include "Observe/Timeline.h"
#include "Peer/Client.h"
#include "Peer/Types.h"

#include <functional>
#include <string>
#include <vector>

namespace Daemon {

// Merges the timelines of all processes.
class TimelineCollector {
public:
    TimelineCollector(Observe::Timeline& own, Peer::Client&);

    // Handles a message of the service Observe: another process's request for this one's timeline.
    void serve(std::string_view bytes, const Peer::Reply&);

    struct Collected {
        std::vector<Observe::TimelineEvent> events; // In causal order.
        std::vector<Common::Address> silent; // Processes that did not answer in time.
    };
    // Calls done once, within collectTimeout.
    void collect(const std::string& subject, size_t limit, const std::vector<Common::Address>& others,
        std::function<void(Collected)> done);

private:
    Observe::Timeline& m_own;
    Peer::Client& m_peers;
};

inline constexpr Common::Milliseconds collectTimeout { 1'000 };

} // namespace Daemon
