#pragma once

#include "Common/Error.h"
#include "Entry/ControlClient.h"
#include "Model/Resources.h"

#include <functional>

namespace Daemon {

// Operators' declarations of all routes, in the replicated configuration.
class RouteTables {
public:
    explicit RouteTables(Entry::ControlClient&);

    // Puts a table in force, unless one with the same or a higher number is. Success in both cases. Any error leaves
    // it open whether it is in force.
    void raise(const Model::RouteTable&, std::function<void(Common::Result<void>)> done);
    // The newest one, confirmed by a quorum; NotFound if there is none.
    void read(std::function<void(Common::Result<Model::RouteTable>)> done);

private:
    Entry::ControlClient& m_control;
};

} // namespace Daemon
