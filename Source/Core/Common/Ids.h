#pragma once

#include "Common/StrongType.h"

#include <cstdint>
#include <string>

namespace Common {

// Names chosen by operators.
using RouteName = StrongId<struct RouteNameTag, std::string>;
using GroupName = StrongId<struct GroupNameTag, std::string>;
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;
using TenantName = StrongId<struct TenantNameTag, std::string>;

// Processes: an InstanceId names one of this system, a BackendServerId one that it sends requests to.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
using BackendServerId = StrongId<struct BackendServerIdTag, std::string>;

// An IP address and port, "10.0.0.1:7000".
using Address = StrongId<struct AddressTag, std::string>;

// Ids chosen by callers and operators. They identify a resend as the same request or change.
using RequestId = StrongId<struct RequestIdTag, std::string>;
using ChangeId = StrongId<struct ChangeIdTag, std::string>;

// A version of the index, and a shard of one version.
using IndexVersion = Quantity<struct IndexVersionTag, uint64_t>;
using ShardId = StrongId<struct ShardIdTag, uint32_t>;

// The version number that operators give to a route table; a later table has a higher one.
using TableNumber = Quantity<struct TableNumberTag, uint64_t>;

// Identifies one run of a process; a later start has a higher incarnation.
using Incarnation = Quantity<struct IncarnationTag, uint64_t>;

// Replicated state: a revision counts accepted changes; the other types belong to the replicated log.
using Revision = Quantity<struct RevisionTag, uint64_t>;
using Term = Quantity<struct TermTag, uint64_t>;
using LogIndex = Quantity<struct LogIndexTag, uint64_t>;
using LogShardId = StrongId<struct LogShardIdTag, uint32_t>;

// Numbers that are unique within one process.
using QueryId = StrongId<struct QueryIdTag, uint64_t>;
using AttemptId = StrongId<struct AttemptIdTag, uint64_t>;
using ConnectionId = StrongId<struct ConnectionIdTag, uint64_t>;

// A hash of a request's content without its id.
using Fingerprint = StrongId<struct FingerprintTag, uint64_t>;

} // namespace Common
