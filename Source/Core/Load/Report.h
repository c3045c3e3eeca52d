#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

// What is known of a request after its last attempt.
enum class Outcome {
    Done,
    NotRun, // Refused, and said to have not run.
    RefusedByBackendServer,
    Unknown,
};

const char* outcomeName(Outcome);

// One request that was sent, with its last answer.
struct Sample {
    Common::RequestId request;
    Common::Milliseconds intendedAt; // Since the start of the run.
    Common::Milliseconds endedAt;
    int status { 0 }; // Of HTTP; 0 if no answer came.
    std::string reason; // Of a refusal or of a transport error.
    Outcome outcome { Outcome::Unknown };
    bool complete { false }; // Of queries that are done.
    Common::Ratio coverage; // Likewise.
    int resends { 0 };
};

struct Latency {
    Common::Milliseconds p50;
    Common::Milliseconds p90;
    Common::Milliseconds p99;
    Common::Milliseconds p999;
    Common::Milliseconds max;
};

struct Report {
    uint64_t scheduled { 0 };
    uint64_t sent { 0 };
    uint64_t notSent { 0 }; // For want of a place in flight.
    uint64_t unfinished { 0 }; // Sent, and no end within the bound.
    uint64_t done { 0 };
    uint64_t resends { 0 };
    Common::Milliseconds duration; // Of the schedule.
    Common::Milliseconds latestSend; // The longest time by which a request was sent after it was due.
    Latency latency; // Of the requests that are done, from the intended send time.
    Common::Ratio coverageMean; // Over the requests that are done.
    Common::Ratio completeShare; // Likewise.
    double goodput { 0 }; // Done a second.
    Common::Milliseconds longestGap; // Between two successes, and before the first.
    std::map<int, uint64_t> byStatus;
    std::map<std::string, uint64_t> byReason;
    std::map<Outcome, uint64_t> byOutcome;
    std::vector<Sample> bookings; // In booking mode: each request, for comparison with what ran.
};

// The value at the nearest rank; 0 if there are none. sorted ascends.
Common::Milliseconds quantile(const std::vector<Common::Milliseconds>& sorted, double q);

Common::Milliseconds longestGap(std::vector<Common::Milliseconds> times);

// Fills in all that follows from the samples.
void addSamples(Report&, const std::vector<Sample>&);

// For people, some lines.
std::string describe(const Report&);
// For scripts.
std::string toJson(const Report&);

} // namespace Load
