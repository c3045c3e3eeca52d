#pragma once

#include "Common/Ids.h"
#include "Common/ShardedMap.h"
#include "Limits/TokenRetryBudget.h"
#include "Routing/LatencyStats.h"

namespace Entry {

// What this instance observes of one backend group.
struct GroupStatistics {
    Limits::TokenRetryBudget budget;
    Routing::LatencyStats latency;
};

using GroupStatisticsMap = Common::ShardedMap<Common::GroupName, GroupStatistics>;

} // namespace Entry
