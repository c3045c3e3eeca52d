#pragma once

#include "Control/Command.h"
#include "Control/Configuration.h"
#include "Control/Leases.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// What entry and control instances say to each other.
namespace Control {

// The control instance that the answering one believes to lead; nothing if it knows none.
using LeaderHint = std::optional<Common::Address>;

// Puts a command in a log.
struct ProposeRequest {
    Common::LogShardId shard;
    Command command;
};

struct ProposeReply {
    std::variant<CommandOutcome, Common::Error> result;
    LeaderHint leader;
};

// Renews the lease and asks for what changed.
struct RenewRequest {
    LiveInstance instance;
    Common::Revision applied;
    LiveListNumber live;
};

// Parts of a renewal's answer, sent only if granted.
struct RenewGrant {
    Common::Milliseconds lease; // Counted from when the request was sent.
    Changes changes;
    LiveChanges live;
};

struct RenewReply {
    std::variant<RenewGrant, Common::Error> result;
    LeaderHint leader;
};

// Reads confirmed by a quorum. An empty name lists the kind.
struct ReadRequest {
    Model::Kind kind { Model::Kind::QueryRoute };
    std::string name;
    Common::Revision knownVersion; // Of the named resource, if the asking instance has a copy; else 0.
};

struct ReadFound {
    Common::Revision revision;
    std::vector<StoredResource> resources;
    bool isUnchanged { false }; // The known version is the newest one; it is not sent again.
};

struct ReadReply {
    std::variant<ReadFound, Common::Error> result;
    LeaderHint leader;
};

// Asks for what changed since a revision without holding a lease (watchers).
struct WatchRequest {
    Common::Revision from;
};

struct WatchReply {
    std::variant<Changes, Common::Error> result;
    LeaderHint leader;
};

// Asks whether a revision is in force.
struct StatusRequest {
    Common::Revision revision;
};

struct StatusFound {
    Common::Revision revision; // The latest accepted one.
    RevisionStatus status; // Of the one asked about.
};

struct StatusReply {
    std::variant<StatusFound, Common::Error> result;
    LeaderHint leader;
};

// A planned stop of an instance.
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
