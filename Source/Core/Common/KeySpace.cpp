#include "Common/KeySpace.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Common {

uint64_t keyPoint(std::string_view key) { return hash64(key) >> 32; }

void KeyRangeSet::add(KeyRange range)
{
    if (!range.size())
        return;
    auto first = std::lower_bound(
        m_ranges.begin(), m_ranges.end(), range.begin, [](const KeyRange& r, uint64_t point) { return r.end < point; });
    auto last = first;
    for (; last != m_ranges.end() && last->begin <= range.end; ++last) {
        range.begin = std::min(range.begin, last->begin);
        range.end = std::max(range.end, last->end);
    }
    auto it = m_ranges.erase(first, last);
    m_ranges.insert(it, range);
}

uint64_t KeyRangeSet::size() const
{
    uint64_t n = 0;
    for (const KeyRange& range : m_ranges)
        n += range.size();
    return n;
}

bool KeyRangeSet::contains(KeyRange range) const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(),
        [&](const KeyRange& r) { return r.begin <= range.begin && range.end <= r.end; });
}

bool KeyRangeSet::overlaps(KeyRange range) const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(),
        [&](const KeyRange& r) { return r.begin < range.end && range.begin < r.end; });
}

Ratio KeyRangeSet::coverage() const { return Ratio(static_cast<double>(size()) / static_cast<double>(keySpaceSize)); }

std::vector<KeyRange> KeyRangeSet::gaps() const
{
    std::vector<KeyRange> gaps;
    uint64_t at = 0;
    for (const KeyRange& range : m_ranges) {
        if (range.begin > at)
            gaps.push_back({ at, range.begin });
        at = range.end;
    }
    if (at < keySpaceSize)
        gaps.push_back({ at, keySpaceSize });
    return gaps;
}

} // namespace Common
