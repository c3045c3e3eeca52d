#pragma once

#include "Common/Error.h"
#include "Common/Timers.h"
#include "Entry/ControlClient.h"
#include "Http/Message.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>

namespace Daemon {

struct EvacuationsDependencies {
    const Settings::Daemon& settings;
    Common::Incarnation incarnation;
    Entry::ControlClient& control;
    Common::Timers& timers;
    // Returns the version of a domain's evacuation in this member's copy, which may be stale; 0 if there is none.
    std::function<Common::Revision(const Common::FailureDomain&)> storedVersion;
};

// Stores operators' evacuations of failure domains in the replicated configuration. A command takes effect only if no
// other one for the domain has been committed since it was received, so a command that was held up can't undo one that
// was acknowledged later.
class Evacuations {
public:
    explicit Evacuations(EvacuationsDependencies);
    ~Evacuations();

    // To be called when the command is received. Commits the state of a domain. It is a success if the same state is
    // committed already. NotFound if the domain does not exist, InvalidInput if it can't be a name, Unavailable and not
    // committed if the caller has given up, Conflict and not committed if another command overtook this one; after
    // another error it is unknown whether it is committed.
    void set(const Common::FailureDomain&, bool isEvacuated, const std::shared_ptr<Http::Caller>&,
        std::function<void(Common::Result<void>)> done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Daemon
