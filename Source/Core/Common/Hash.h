#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// XXH64 of the bytes. The same on every machine, so instances may agree by it.
uint64_t hash64(std::string_view, uint64_t seed = 0);

} // namespace Common
