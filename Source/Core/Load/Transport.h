#pragma once

#include "Common/Ids.h"
#include "Load/Report.h"
#include "Load/Schedule.h"

#include <functional>
#include <string>

namespace Load {

// One attempt of one request.
struct Attempt {
    Common::Address entry;
    Common::RequestId request;
    std::string query;
};

// What came of an attempt.
struct AttemptResult {
    int status { 0 }; // 0 if none came.
    std::string reason;
    Outcome outcome { Outcome::Unknown };
    bool complete { false };
    Common::Ratio coverage;
};

// How attempts are sent. done is called once, from any thread.
struct Transport {
    std::function<void(const Attempt&, std::function<void(AttemptResult)> done)> send;
};

// Over HTTP, as entry instances speak it. The options' route, mode, deadline and timeout are used.
Transport httpTransport(const Options&);

} // namespace Load
