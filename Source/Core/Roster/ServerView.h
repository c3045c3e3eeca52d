#pragma once

#include "Roster/Evacuations.h"
#include "Roster/Records.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Roster {

// The backend servers as an instance knows them, merged from all control instances that it follows. Plain data.
struct ServerView {
    struct Server {
        Report report; // Of the highest incarnation and sequence.
        std::set<Common::InstanceId> reportedBy; // Control instances that report it as serving.
        bool isLeaving { false };
        Common::Incarnation heard; // The latest start that was reported as serving.
        Common::TimePoint changedAt;
        Common::TimePoint warmAt;
        // Set when the evacuation of its domain is cancelled: a report with a later sequence says how long it is cold.
        std::optional<uint64_t> coldSince;
    };

    std::unordered_map<Common::BackendServerId, Server> servers;
    Evacuations evacuations;
};

// Servers that got no requests for a while may be cold. They report it within two heartbeats, and this is longer.
inline constexpr Common::Milliseconds coldAfterEvacuation { 3'000 };

// A backend server that may get new work.
struct EligibleServer {
    Common::BackendServerId server;
    Common::Address address;
    Common::FailureDomain domain;
    Common::Incarnation incarnation;
    Common::Slots slots;
    Common::TimePoint warmAt;
};

// A server's status after a merge that changed it or the end of its cold phase, or a departure that changed nothing.
struct StatusChange {
    Common::BackendServerId server;
    Common::GroupName group;
    Common::Incarnation incarnation;
    ServerStatus status { ServerStatus::Serving };
    // The departure of this incarnation was ignored, because a later one is known.
    bool isIgnored { false };
};

// Merges the changes that a control instance reported. Returns the status changes and the ignored departures.
std::vector<StatusChange> merge(ServerView&, const Common::InstanceId& source, const Changes&, Common::TimePoint now);

// Removes the control instance: its reports no longer count.
void dropSource(ServerView&, const Common::InstanceId& source);

// Moves the reports of a control instance to another id.
void renameSource(ServerView&, const Common::InstanceId& from, const Common::InstanceId& to);

// Replaces the evacuations if these have a higher revision. Returns whether they had. Servers of domains that are no
// longer evacuated count as cold until a later report says how long they are, but for coldAfterEvacuation at most.
bool takeEvacuations(ServerView&, const Evacuations&, Common::TimePoint now);

// The eligible servers of each group, sorted by id. A server is left out if no control instance reports it as serving,
// if its failure domain is evacuated, or if a later incarnation that is in use has its address.
std::map<Common::GroupName, std::vector<EligibleServer>> eligibleServers(const ServerView&);

// Removes servers that left or were lost before this time.
void forgetBefore(ServerView&, Common::TimePoint);

} // namespace Roster
