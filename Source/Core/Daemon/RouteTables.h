#pragma once

#include "Common/Error.h"
#include "Control/Change.h"
#include "Entry/ControlClient.h"
#include "Model/Resources.h"

#include <functional>
#include <optional>

namespace Daemon {

// Stores the route tables that operators declare in the replicated configuration.
class RouteTables {
public:
    // Returns this member's copy, which may be stale.
    using Stored = std::function<std::optional<Control::StoredResource>()>;
    RouteTables(Entry::ControlClient&, Stored);

    // Commits a table, unless one with the same or a higher number is committed. Both cases are a success. After an
    // error it is unknown whether the table is committed.
    void raise(const Model::RouteTable&, std::function<void(Common::Result<void>)> done);
    // Reads the newest table, confirmed by a quorum; NotFound if there is none. If this member's copy is the newest,
    // the table is not sent again.
    void read(std::function<void(Common::Result<Model::RouteTable>)> done);

private:
    Entry::ControlClient& m_control;
    Stored m_stored;
};

} // namespace Daemon
