#pragma once

#include "Common/KeySpace.h"
#include "StandIn/Messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace StandIn {

// Records in the order of their points. The same count and seed give the same records.
struct DataSet {
    std::vector<Record> records;
};

DataSet makeDataSet(size_t count, uint64_t seed);

// The range of one shard of a version with shardCount equal shards.
Common::KeyRange shardRange(Common::ShardId, uint32_t shardCount);

// The overlap of two ranges; empty (size 0) if there is none.
Common::KeyRange overlap(Common::KeyRange, Common::KeyRange);

// The records in range that contain one of the alternatives of text. Values end in the version, ", v7".
SearchAnswer findRecords(
    const DataSet&, Common::IndexVersion, Common::ShardId, Common::KeyRange, std::string_view text, size_t limit);

} // namespace StandIn
