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

// One result. Results are equal if key and value are equal; a key may have several values.
struct Item {
    std::string key;
    std::string value;

    friend auto operator<=>(const Item&, const Item&) = default;
};

// A key range that the answer does not cover.
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

// The answer to the caller. Without a refusal, `results` holds all items of the covered part of the key space, from one
// index version, sorted and without duplicates.
struct Answer {
    bool complete { false }; // Whether the whole key space was merged.
    Common::Ratio coverage { 0 }; // Merged share of the key space.
    Common::IndexVersion snapshot;
    std::vector<Item> results;
    std::vector<MissingPart> missing;
    // Set if nothing was merged or coverage is below the minimum; `results` is empty then. Reasons that mean that
    // nothing was sent (Overloaded, Unavailable) are used only if nothing was sent.
    std::optional<Common::Error> refusal;
    SendCounts counts;
};

} // namespace Gather
