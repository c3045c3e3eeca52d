#pragma once

#include "Control/Command.h"
#include "Control/Configuration.h"
#include "Control/Leases.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// Messages between entry and control instances.
namespace Control {

// The address of the leader as far as the replying control instance knows; absent if it knows none.
using LeaderHint = std::optional<Common::Address>;

// Appends a command to a log shard.
struct ProposeRequest {
    Common::LogShardId shard;
    Command command;
};

struct ProposeReply {
    std::variant<CommandOutcome, Common::Error> result;
    LeaderHint leader;
};

// Renews the lease and requests the changes since the applied revision.
struct RenewRequest {
    LiveInstance instance;
    Common::Revision applied;
    LiveListNumber live;
};

// The reply to a granted renewal.
struct RenewGrant {
    Common::Milliseconds lease; // Counted from when the request was sent.
    Changes changes;
    LiveChanges live;
};

struct RenewReply {
    std::variant<RenewGrant, Common::Error> result;
    LeaderHint leader;
};

// A read confirmed by a quorum. An empty name lists all resources of the kind.
struct ReadRequest {
    Model::Kind kind { Model::Kind::QueryRoute };
    std::string name;
    Common::Revision knownVersion; // Of the named resource if the sender has a copy, otherwise 0.
};

struct ReadFound {
    Common::Revision revision;
    std::vector<StoredResource> resources;
    bool isUnchanged { false }; // The known version is current, so the resource is omitted.
};

struct ReadReply {
    std::variant<ReadFound, Common::Error> result;
    LeaderHint leader;
};

// Requests the changes since a revision without a lease, for watchers.
struct WatchRequest {
    Common::Revision from;
};

struct WatchReply {
    std::variant<Changes, Common::Error> result;
    LeaderHint leader;
};

// Queries whether a revision is in force.
struct StatusRequest {
    Common::Revision revision;
};

struct StatusFound {
    Common::Revision revision; // The latest accepted one.
    RevisionStatus status; // Of the requested revision.
    std::vector<Common::FailureDomain> evacuated; // The evacuated failure domains.
};

struct StatusReply {
    std::variant<StatusFound, Common::Error> result;
    LeaderHint leader;
};

// Releases the lease of an instance that stops as planned.
struct ReleaseRequest {
    Common::InstanceId id;
    Common::Incarnation incarnation;
};

struct ReleaseReply {
    std::optional<Common::Error> error;
    LeaderHint leader;
};

using Request = std::variant<ProposeRequest, RenewRequest, ReadRequest, WatchRequest, StatusRequest, ReleaseRequest>;
using Reply = std::variant<ProposeReply, RenewReply, ReadReply, WatchReply, StatusReply, ReleaseReply>;

} // namespace Control
