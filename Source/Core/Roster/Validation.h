#pragma once

#include "Roster/Records.h"

// Whether a report can be that of a backend server. A report reaches every instance, whoever sent it, and one with the
// highest possible incarnation or sequence would outlast all later ones of the server that it names.
namespace Roster {

// The greatest incarnation that a server started now can have, by this machine's clock.
Common::Incarnation latestIncarnation(Common::Milliseconds wallClock);

// Checks all that instances rely on. A report that a server is leaving or lost needs no more than its id.
bool isValid(const Report&);
bool isValid(const Report&, Common::Incarnation latest);

} // namespace Roster
