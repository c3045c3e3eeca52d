#pragma once

#include "Roster/Records.h"

#include <deque>
#include <unordered_map>

namespace Roster {

// The reports that one control instance has received. Plain data: the caller keeps it under a lock.
struct Registry {
    struct Entry {
        Report report;
        Common::TimePoint receivedAt;
        Common::Revision changedAt;
        Common::TimePoint warmAt {}; // As followers know it.
        // The latest start that has sent a heartbeat. A departure may end later ones as well.
        Common::Incarnation heard {};
    };

    std::unordered_map<Common::BackendServerId, Entry> entries;
    Common::Revision revision; // Increases with each change that followers need.
};

enum class ReportResult {
    Accepted,
    Stale, // Older than the known report, as a delayed heartbeat is. Nothing was changed.
};

ReportResult renew(Registry&, const Report&, Common::TimePoint now);

// Marks a server as leaving. An incarnation of 0 means the known one. An unknown server is recorded too, because
// another control instance may know it. `heard` is the latest start that is known to have sent a heartbeat. Returns
// whether this changed anything.
bool leave(Registry&, const Common::BackendServerId&, Common::Incarnation, Common::TimePoint now,
    Common::Incarnation heard = {});

KnownStart knownStart(const Registry&, const Common::BackendServerId&);

// Marks servers as lost after `silence` without a heartbeat, and removes them after `forgetAfter`.
void expire(Registry&, Common::TimePoint now, Common::Milliseconds silence, Common::Milliseconds forgetAfter);

// Applies changes from another registry and takes over its revision.
void copyChanges(Registry&, const Changes&, Common::TimePoint now);

// The changes after `from`, or a whole copy if `from` is 0 or not a revision of this registry. Removed servers are not
// listed: they were reported as lost or leaving before.
Changes changesSince(const Registry&, Common::Revision from);

} // namespace Roster
