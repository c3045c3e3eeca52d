#pragma once

#include "Common/KeySpace.h"
#include "StandIn/Messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace StandIn {

// Records in the order of their key space points.
struct DataSet {
    std::vector<Record> records;
};

// The same count and seed give the same records.
DataSet makeDataSet(size_t count, uint64_t seed);

// Returns the key range of a shard when the key space is divided into shardCount equal shards.
Common::KeyRange shardRange(Common::ShardId, uint32_t shardCount);

// Returns the intersection of two ranges; its size is 0 if they are disjoint.
Common::KeyRange overlap(Common::KeyRange, Common::KeyRange);

// Returns up to `limit` records in the range whose key or value contains one of the alternatives in `text`. The version
// is appended to each value, for example ", v7".
SearchAnswer findRecords(
    const DataSet&, Common::IndexVersion, Common::ShardId, Common::KeyRange, std::string_view text, size_t limit);

} // namespace StandIn
