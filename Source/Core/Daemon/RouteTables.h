#pragma once

#include "Common/Error.h"
#include "Control/Change.h"
#include "Entry/ControlClient.h"
#include "Model/Resources.h"

#include <functional>
#include <optional>

namespace Daemon {

// Operators' declarations of all routes, in the replicated configuration.
class RouteTables {
public:
    // `stored` gives this member's copy, which may be behind.
    using Stored = std::function<std::optional<Control::StoredResource>()>;
    RouteTables(Entry::ControlClient&, Stored);

    // Puts a table in force, unless one with the same or a higher number is. Success in both cases. Any error leaves
    // it open whether it is in force.
    void raise(const Model::RouteTable&, std::function<void(Common::Result<void>)> done);
    // The newest one, confirmed by a quorum; NotFound if there is none. A copy that is the newest is not sent again.
    void read(std::function<void(Common::Result<Model::RouteTable>)> done);

private:
    Entry::ControlClient& m_control;
    Stored m_stored;
};

} // namespace Daemon
