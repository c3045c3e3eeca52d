#pragma once

#include <string>
#include <vector>

namespace Relay {

inline constexpr size_t recordSize = 16; // Bytes.

// Returns the `top` greatest records of the bodies in descending byte order. Duplicates are kept. An incomplete record
// at the end of a body is ignored.
std::string greatestRecords(const std::vector<const std::string*>& bodies, size_t top);

} // namespace Relay
