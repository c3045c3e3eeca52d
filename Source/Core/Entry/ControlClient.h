#pragma once

#include "Common/Error.h"
#include "Common/Timers.h"
#include "Control/Messages.h"
#include "Observe/Timeline.h"
#include "Peer/Client.h"

#include <functional>
#include <memory>
#include <vector>

namespace Entry {

struct ControlClientOptions {
    std::vector<Common::Address> members; // The control instances.
    Common::Milliseconds callTimeout { 700 }; // Of one try; a silent member costs no more.
    Common::Milliseconds retryPause { 30 };
};

// Finds the control instance that leads a log shard, and asks it. All requests may be repeated, so a try without an
// answer goes on to the next member.
class ControlClient {
public:
    ControlClient(ControlClientOptions, Peer::Client&, Common::Timers&);
    ~ControlClient();

    // The control instances, where they come and go.
    void setMembers(std::vector<Common::Address>);
    // done is called once, by the deadline: with a reply that is not an Unavailable error, or the last error seen.
    using Done = std::function<void(Common::Result<Control::Reply>)>;
    // tryTimeout, if above 0, takes the place of the option: for questions that control holds back on purpose.
    void call(Common::LogShardId, const Control::Request&, Common::TimePoint deadline, Done done,
        Common::Milliseconds tryTimeout = Common::Milliseconds(0));

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
