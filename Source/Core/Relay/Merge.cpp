#include "Relay/Merge.h"

#include <algorithm>
#include <string_view>

namespace Relay {

std::string greatestRecords(const std::vector<const std::string*>& bodies, size_t top)
{
    std::vector<std::string_view> records;
    for (const std::string* body : bodies) {
        for (size_t at = 0; at + recordSize <= body->size(); at += recordSize)
            records.emplace_back(body->data() + at, recordSize);
    }
    size_t count = std::min(top, records.size());
    std::partial_sort(
        records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
    std::string out;
    out.reserve(count * recordSize);
    for (size_t i = 0; i < count; ++i)
        out.append(records[i]);
    return out;
}

} // namespace Relay
