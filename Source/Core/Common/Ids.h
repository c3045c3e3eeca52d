#pragma once

#include "Common/StrongType.h"

#include <cstdint>
#include <string>

namespace Common {

// Names that operators give.
using RouteName = StrongId<struct RouteNameTag, std::string>;
using GroupName = StrongId<struct GroupNameTag, std::string>;
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;

// Processes. An InstanceId is one of ours; a BackendServerId is one that we send work to.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
using BackendServerId = StrongId<struct BackendServerIdTag, std::string>;

// An IP address and port, "10.0.0.1:7000".
using Address = StrongId<struct AddressTag, std::string>;

// Ids that callers and operators make up, so that a resend can be recognised.
using RequestId = StrongId<struct RequestIdTag, std::string>;
using ChangeId = StrongId<struct ChangeIdTag, std::string>;

// The index: a version of its contents, and the shards of one version.
using IndexVersion = Quantity<struct IndexVersionTag, uint64_t>;
using ShardId = StrongId<struct ShardIdTag, uint32_t>;

// The number that operators give to one declaration of all routes; a later one has a higher number.
using TableNumber = Quantity<struct TableNumberTag, uint64_t>;

// Counts one start of a process after another; a later start has a higher one.
using Incarnation = Quantity<struct IncarnationTag, uint64_t>;

// Shared state: a revision counts accepted changes; the rest belongs to the replicated log.
using Revision = Quantity<struct RevisionTag, uint64_t>;
using Term = Quantity<struct TermTag, uint64_t>;
using LogIndex = Quantity<struct LogIndexTag, uint64_t>;
using LogShardId = StrongId<struct LogShardIdTag, uint32_t>;

// Numbers that one process hands out for its own use.
using QueryId = StrongId<struct QueryIdTag, uint64_t>;
using AttemptId = StrongId<struct AttemptIdTag, uint64_t>;
using ConnectionId = StrongId<struct ConnectionIdTag, uint64_t>;

// A hash of what a request asks for, without its id.
using Fingerprint = StrongId<struct FingerprintTag, uint64_t>;

} // namespace Common
