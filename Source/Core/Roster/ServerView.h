#pragma once

#include "Roster/Records.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Roster {

// What an entry instance knows of the backend servers, from all control instances that it follows. Plain data.
struct ServerView {
    struct Server {
        Report report; // Of the highest incarnation and sequence.
        std::set<Common::InstanceId> reportedBy; // Control instances that say that it serves.
        bool isLeaving { false };
        Common::TimePoint learnedAt;
        Common::TimePoint warmAt;
    };

    std::unordered_map<Common::BackendServerId, Server> servers;
};

// A backend server that may get work.
struct EligibleServer {
    Common::BackendServerId server;
    Common::Address address;
    Common::FailureDomain domain;
    Common::Incarnation incarnation;
    Common::Slots slots;
    Common::TimePoint warmAt;
};

// One server's status after a merge, for the log.
struct StatusChange {
    Common::BackendServerId server;
    Common::GroupName group;
    Common::Incarnation incarnation;
    ServerStatus status { ServerStatus::Serving };
};

// Takes in what a control instance said; returns what that changed for this instance.
std::vector<StatusChange> merge(ServerView&, const Common::InstanceId& source, const Changes&, Common::TimePoint now);

// The control instance is gone: that it vouched for servers counts no more.
void dropSource(ServerView&, const Common::InstanceId& source);

// What it vouches for counts under another name from now on.
void renameSource(ServerView&, const Common::InstanceId& from, const Common::InstanceId& to);

// By group, in the order of their ids. A server whose address was taken over by a later incarnation is left out, and so
// is one that nobody vouches for.
std::map<Common::GroupName, std::vector<EligibleServer>> eligibleServers(const ServerView&);

// Forgets servers that left or were lost before this time.
void forgetBefore(ServerView&, Common::TimePoint);

} // namespace Roster
