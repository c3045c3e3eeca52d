#pragma once

#include "Roster/Records.h"

#include <deque>
#include <unordered_map>

namespace Roster {

// What one control instance has heard. Plain data: the caller keeps it under a lock.
struct Registry {
    struct Entry {
        Report report;
        Common::TimePoint receivedAt;
        Common::Revision changedAt;
    };

    std::unordered_map<Common::BackendServerId, Entry> entries;
    Common::Revision revision; // Counts changes that followers have to learn.
};

enum class ReportResult {
    Accepted,
    Stale, // Older than what is known: a late renewal. Nothing was changed.
};

ReportResult renew(Registry&, const Report&, Common::TimePoint now);

// The server says that it ends. An incarnation of 0 means the one that is known; a server that is not known is noted
// all the same, since another control instance may know it.
void leave(Registry&, const Common::BackendServerId&, Common::Incarnation, Common::TimePoint now);

// Marks servers as lost that were silent for `silence`, and forgets those that were for `forgetAfter`.
void expire(Registry&, Common::TimePoint now, Common::Milliseconds silence, Common::Milliseconds forgetAfter);

// Takes in what a follower lacks of another registry, and its revision with it.
void copyChanges(Registry&, const Changes&, Common::TimePoint now);

// Everything if `from` is 0 or unknown here. What was forgotten is not told: it was told to be lost or leaving before.
Changes changesSince(const Registry&, Common::Revision from);

} // namespace Roster
