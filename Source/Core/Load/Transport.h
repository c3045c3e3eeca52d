#pragma once

#include "Common/Ids.h"
#include "Load/Report.h"
#include "Load/Schedule.h"

#include <functional>
#include <string>

namespace Load {

// One attempt to send a request.
struct Attempt {
    Common::Address entry;
    Common::RequestId request;
    std::string query;
};

// Result of an attempt.
struct AttemptResult {
    int status { 0 }; // HTTP status; 0 if there was no answer.
    std::string reason;
    Outcome outcome { Outcome::Unknown };
    bool complete { false };
    Common::Ratio coverage;
};

// Sends attempts. Calls done exactly once, from any thread.
struct Transport {
    std::function<void(const Attempt&, std::function<void(AttemptResult)> done)> send;
};

// Sends attempts over the HTTP API of entry instances. Uses the route, mode, deadline and timeout of the options.
Transport httpTransport(const Options&);

} // namespace Load
