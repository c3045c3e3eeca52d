#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <vector>

// Backend servers that renew themselves at any control instance. Control instances keep what they hear; entry
// instances follow all of them and merge it.
namespace Roster {

enum class ServerStatus {
    Serving,
    Leaving, // Gets no new work; final for its incarnation.
    Lost, // Not renewed for a while.
};

// "serving", "leaving", "lost".
const char* statusName(ServerStatus);

// What a backend server says of itself at each renewal.
struct Report {
    Common::BackendServerId server;
    Common::GroupName group;
    Common::Address address;
    Common::FailureDomain domain;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 }; // Higher at each renewal of one incarnation.
    Common::Slots slots { 1 };
    Common::Milliseconds warmupLeft; // How long it will still be slow.
    ServerStatus status { ServerStatus::Serving };

    friend bool operator==(const Report&, const Report&) = default;
};

// What a follower lacks. A whole copy replaces all that it has from this control instance.
struct Changes {
    bool whole { false };
    Common::Revision revision;
    std::vector<Report> reports;
};

} // namespace Roster
