#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Common/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gather {

// One result. Two are the same if key and value are; a key may have several values.
struct Item {
    std::string key;
    std::string value;

    friend auto operator<=>(const Item&, const Item&) = default;
};

// A part of the key space that the answer does not cover.
struct MissingPart {
    Common::ShardId shard;
    Common::KeyRange range;
    Common::Reason reason { Common::Reason::Internal };
    std::string detail;
};

struct SendCounts {
    int64_t firstSends { 0 };
    int64_t retries { 0 };
    int64_t hedges { 0 };
};

// What the caller gets. Without a refusal, `results` are all items of the part of the key space that `coverage`
// counts, in one index version, sorted and without duplicates.
struct Answer {
    bool complete { false }; // Only if the whole key space was merged.
    Common::Ratio coverage { 0 }; // Of the key space, from what was merged.
    Common::IndexVersion snapshot;
    std::vector<Item> results;
    std::vector<MissingPart> missing;
    // Set when there is nothing to answer from, or coverage is under the minimum; results are empty then. Its reason
    // says that nothing was sent (Overloaded, Unavailable) only if that is so.
    std::optional<Common::Error> refusal;
    SendCounts counts;
};

} // namespace Gather
