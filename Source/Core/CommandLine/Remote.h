#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <vector>

namespace CommandLine {

// The instances that a command tries in order.
struct Remote {
    std::vector<Common::Address> servers;
    Common::Milliseconds timeout { 10'000 };
};

// Tries the servers in order until one answers with a status other than 502, 503 or 504. Returns the last answer or
// error. The request must be idempotent.
Common::Result<Http::Response> call(const Remote&, const Http::Request&);

} // namespace CommandLine
