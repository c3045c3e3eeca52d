#pragma once

#include "Common/Units.h"

#include <atomic>

namespace Http {

// Bytes of incomplete responses that all connections of the process buffer together. Responses up to `guaranteed` are
// accepted even when the budget is used up, so that large ones do not displace them.
struct ResponseBudget {
    Common::Bytes limit;
    Common::Bytes guaranteed;
    std::atomic<int64_t> used { 0 };
};

// Changes what one response uses from `before` to `now`. Returns false if it must be given up.
bool resize(ResponseBudget&, Common::Bytes before, Common::Bytes now);

} // namespace Http
