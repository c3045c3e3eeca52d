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
    std::vector<Common::Address> members; // Addresses of the control instances.
    Common::Milliseconds callTimeout { 700 }; // Per attempt, which limits the delay by an unresponsive member.
    Common::Milliseconds retryDelay { 30 };
};

// Sends requests to the control instance that leads a log shard. All requests are idempotent, so an attempt without a
// reply is retried at the next member.
class ControlClient {
public:
    ControlClient(ControlClientOptions, Peer::Client&, Common::Timers&);
    ~ControlClient();

    // Replaces the addresses of the control instances, where their set changes at run time.
    void setMembers(std::vector<Common::Address>);
    // Calls done once, by the deadline: with a reply other than Unavailable or ConnectionLost, or with the last error.
    using Done = std::function<void(Common::Result<Control::Reply>)>;
    // attemptTimeout, if above 0, replaces callTimeout, for long polls that control holds open.
    void call(Common::LogShardId, const Control::Request&, Common::TimePoint deadline, Done done,
        Common::Milliseconds attemptTimeout = Common::Milliseconds(0));

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
