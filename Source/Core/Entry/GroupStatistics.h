#pragma once

#include "Common/Ids.h"
#include "Common/ShardedMap.h"
#include "Limits/TokenRetryBudget.h"
#include "Routing/LatencyStats.h"

namespace Entry {

// Retry budget and latency of one backend group, as this instance observes them.
struct GroupStatistics {
    Limits::TokenRetryBudget budget;
    Routing::LatencyStats latency;
};

using GroupStatisticsMap = Common::ShardedMap<Common::GroupName, GroupStatistics>;

} // namespace Entry
