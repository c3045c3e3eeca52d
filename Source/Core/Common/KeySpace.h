#pragma once

#include "Common/Units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Common {

// The key space is [0, keySpaceSize); keys are hashed into it.
inline constexpr uint64_t keySpaceSize = uint64_t { 1 } << 32;

// Half-open range [begin, end) of the key space.
struct KeyRange {
    uint64_t begin { 0 };
    uint64_t end { 0 };

    uint64_t size() const { return end > begin ? end - begin : 0; }
    friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

// The place of a key in the key space.
uint64_t keyPoint(std::string_view key);

// A set of points of the key space, kept as sorted ranges that do not touch.
class KeyRangeSet {
public:
    void add(KeyRange);
    // Number of points covered.
    uint64_t size() const;
    bool contains(KeyRange) const;
    bool overlaps(KeyRange) const;
    bool isWhole() const { return size() == keySpaceSize; }
    // size() / keySpaceSize; exactly 1 only if isWhole().
    Ratio coverage() const;
    // What is missing to the whole key space, in order.
    std::vector<KeyRange> gaps() const;
    const std::vector<KeyRange>& ranges() const { return m_ranges; }

private:
    std::vector<KeyRange> m_ranges;
};

} // namespace Common
