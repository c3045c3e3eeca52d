#pragma once

#include <string>
#include <vector>

namespace Relay {

inline constexpr size_t recordSize = 16; // Bytes.

// The `top` greatest records of the bodies, greatest first, compared byte by byte. Equal records all count; a remainder
// shorter than a record is none.
std::string greatestRecords(const std::vector<const std::string*>& bodies, size_t top);

} // namespace Relay
