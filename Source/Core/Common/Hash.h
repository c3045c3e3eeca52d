#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// XXH64 of the bytes. It gives the same value on every machine, so instances can compare hashes.
uint64_t hash64(std::string_view, uint64_t seed = 0);

} // namespace Common
