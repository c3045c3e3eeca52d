#include "Common/Hash.h"

#include <xxhash.h>

namespace Common {

uint64_t hash64(std::string_view text, uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

} // namespace Common
