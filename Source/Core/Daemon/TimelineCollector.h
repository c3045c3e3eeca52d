#pragma once

#include "Observe/Timeline.h"
#include "Peer/Client.h"
#include "Peer/Types.h"

#include <functional>
#include <string>
#include <vector>

namespace Daemon {

// Brings the time lines of all processes together.
class TimelineCollector {
public:
    TimelineCollector(Observe::Timeline& own, Peer::Client&);

    // Bytes of the service Observe: what another process asks of this one.
    void serve(std::string_view bytes, const Peer::Reply&);

    struct Collected {
        std::vector<Observe::TimelineEvent> events; // In causal order.
        std::vector<Common::Address> silent; // Processes that did not answer in time.
    };
    // done is called once, within collectTimeout.
    void collect(const std::string& subject, size_t limit, const std::vector<Common::Address>& others,
        std::function<void(Collected)> done);

private:
    Observe::Timeline& m_own;
    Peer::Client& m_peers;
};

inline constexpr Common::Milliseconds collectTimeout { 1'000 };

} // namespace Daemon
