#pragma once

#include <cstddef>

namespace HttpTest {

// The memory of this process that is in RAM, in bytes.
size_t residentBytes();

} // namespace HttpTest
