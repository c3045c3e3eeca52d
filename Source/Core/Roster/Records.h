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

// No heartbeat is this late. A start that sends heartbeats this long after its end was reported has not ended: clocks
// differed when a departure that named no start was dated.
inline constexpr Common::Milliseconds longestHeartbeatDelay { 12'000 };

// What an instance knows of the starts of a server.
struct KnownStart {
    // The latest start, or the time up to which starts have ended if that is later; 0 if there is none.
    Common::Incarnation latest;
    Common::Incarnation heard; // The latest start that has sent a heartbeat; 0 if there is none.
    bool isLeaving { false }; // The latest start is known to leave, by its own name.
};

// Merges what two instances know.
KnownStart later(const KnownStart&, const KnownStart&);

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

// Whether its incarnation is that of a start, and not the time up to which starts have ended.
bool isOfStart(const Report&);

// Reports that a follower lacks. A whole copy replaces everything that it has from this control instance.
struct Changes {
    bool whole { false };
    Common::Revision revision;
    std::vector<Report> reports;
};

} // namespace Roster
