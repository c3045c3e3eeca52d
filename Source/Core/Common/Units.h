#pragma once

#include "Common/StrongType.h"

#include <cstdint>

namespace Common {

using Slots = Quantity<struct SlotsTag, int64_t>;
using Connections = Quantity<struct ConnectionsTag, int64_t>;
using Bytes = Quantity<struct BytesTag, int64_t>;

// Requests per second.
using RequestRate = Quantity<struct RequestRateTag, double>;

// A fraction between 0 and 1.
using Ratio = Quantity<struct RatioTag, double>;

} // namespace Common
