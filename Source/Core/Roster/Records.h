#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <vector>

// The registry of backend servers. A server sends heartbeats to any control instance; each control instance keeps the
// reports that it receives, and other instances follow the control instances and merge their reports.
namespace Roster {

enum class ServerStatus {
    Serving,
    Leaving, // Gets no new work; final for its incarnation.
    Lost, // Its heartbeats have timed out.
};

// "serving", "leaving", "lost".
const char* statusName(ServerStatus);

// Whether followers need to know that a cold phase ends at another time than the known one. A heartbeat that a pause of
// the server delayed moves the time by less than `maximumDelay` in Records.cpp.
bool isWarmAtChanged(Common::TimePoint known, Common::TimePoint reported, Common::TimePoint now);

// What a backend server reports of itself with each heartbeat.
struct Report {
    Common::BackendServerId server;
    Common::GroupName group;
    Common::Address address;
    Common::FailureDomain domain;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 }; // Increases with each heartbeat of an incarnation.
    Common::Slots slots { 1 };
    Common::Milliseconds warmupLeft; // For how long the server will still be slow.
    ServerStatus status { ServerStatus::Serving };

    friend bool operator==(const Report&, const Report&) = default;
};

// Reports that a follower lacks. A whole copy replaces everything that it has from this control instance.
struct Changes {
    bool whole { false };
    Common::Revision revision;
    std::vector<Report> reports;
};

} // namespace Roster
