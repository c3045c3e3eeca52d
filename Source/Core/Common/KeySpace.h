#pragma once

#include "Common/Units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Common {

// Keys are hashed into the key space [0, keySpaceSize).
inline constexpr uint64_t keySpaceSize = uint64_t { 1 } << 32;

// Half-open range [begin, end) of the key space.
struct KeyRange {
    uint64_t begin { 0 };
    uint64_t end { 0 };

    uint64_t size() const { return end > begin ? end - begin : 0; }
    friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

// The point of the key space to which a key is hashed.
uint64_t keyPoint(std::string_view key);

// A set of points of the key space, stored as sorted, disjoint, non-adjacent ranges.
class KeyRangeSet {
public:
    void add(KeyRange);
    // The number of points in the set.
    uint64_t size() const;
    bool contains(KeyRange) const;
    bool overlaps(KeyRange) const;
    bool isWhole() const { return size() == keySpaceSize; }
    // size() / keySpaceSize. Exactly 1 only if isWhole().
    Ratio coverage() const;
    // The ranges of the key space that are not in the set, in ascending order.
    std::vector<KeyRange> gaps() const;
    const std::vector<KeyRange>& ranges() const { return m_ranges; }

private:
    std::vector<KeyRange> m_ranges;
};

} // namespace Common
