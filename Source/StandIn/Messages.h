#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Common/Units.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

// Query id assigned by the caller. All sub-requests of the query share it.
using CallerQueryId = Common::StrongId<struct CallerQueryIdTag, std::string>;

// A record of the data set.
struct Record {
    std::string key;
    std::string value;
    uint64_t point { 0 }; // Position of the key in the key space.
};

// The shards of an index version that a server holds, out of shardCount equal shards.
struct ReplicaSet {
    Common::IndexVersion indexVersion;
    uint32_t shardCount { 1 };
    std::vector<Common::ShardId> shards;
};

struct SearchRequest {
    CallerQueryId query;
    Common::IndexVersion indexVersion;
    Common::ShardId shard;
    std::optional<Common::KeyRange> range;
    std::string text; // Alternatives separated by '|'.
    std::optional<Common::Milliseconds> deadline;
    size_t limit { 1000 };
};

struct SearchAnswer {
    Common::IndexVersion indexVersion;
    Common::ShardId shard;
    Common::KeyRange range;
    std::vector<Record> results;
    bool truncated { false };
};

struct RunRequest {
    Common::RequestId request;
    std::string body;
    std::optional<Common::Milliseconds> deadline;
};

// Result status of a search or booking.
enum class WorkStatus {
    Done,
    Shedding,
    Draining,
    NoSlots,
    WrongVersion,
    WrongShard,
    Cancelled,
    DeadlinePassed,
    ResponseDropped, // The request may have been executed, but gets no answer.
};

struct SearchResult {
    WorkStatus status { WorkStatus::Done };
    SearchAnswer answer; // Valid only for WorkStatus::Done.
};

// The state that a server announces periodically.
struct Announcement {
    Common::BackendServerId server;
    Common::Address address;
    Common::FailureDomain failureDomain;
    Common::GroupName group;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 };
    std::string state; // "starting", "ready" or "leaving".
    Common::Slots slots;
    Common::Connections connections;
    std::vector<ReplicaSet> replicas;
};

struct LoadSample {
    bool healthy { true };
    Common::Slots running;
    Common::Slots slots;
};

} // namespace StandIn
