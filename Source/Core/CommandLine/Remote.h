#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <vector>

namespace CommandLine {

// The instances that a command may ask, one after the other.
struct Remote {
    std::vector<Common::Address> servers;
    Common::Milliseconds timeout { 10'000 };
};

// Sends the request to the first server that answers with anything but 502, 503 or 504. All requests sent this way may
// be repeated. Returns the last answer or error.
Common::Result<Http::Response> call(const Remote&, const Http::Request&);

} // namespace CommandLine
