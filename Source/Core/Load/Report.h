#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

// Outcome of a request after its last attempt.
enum class Outcome {
    Done,
    NotRun, // Refused with the statement that it was not executed.
    RefusedByBackendServer,
    Unknown,
};

const char* outcomeName(Outcome);

// A sent request and the result of its last attempt.
struct Sample {
    Common::RequestId request;
    Common::Milliseconds intendedAt; // Since the start of the run.
    Common::Milliseconds endedAt;
    int status { 0 }; // HTTP status; 0 if there was no answer.
    std::string reason; // Of a refusal or transport error.
    Outcome outcome { Outcome::Unknown };
    bool complete { false }; // Set for successful queries only.
    Common::Ratio coverage; // Set for successful queries only.
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
    uint64_t notSent { 0 }; // Skipped because maximumInFlight was reached.
    uint64_t unfinished { 0 }; // Sent, but not finished before the timeout.
    uint64_t done { 0 };
    uint64_t resends { 0 };
    Common::Milliseconds duration; // Length of the schedule.
    Common::Milliseconds latestSend; // The longest delay of a send after its scheduled time.
    Latency latency; // Of successful requests, from the scheduled send time.
    Common::Ratio coverageMean; // Over successful requests.
    Common::Ratio completeShare; // Over successful requests.
    double goodput { 0 }; // Successful requests per second.
    Common::Milliseconds longestGap; // Between two successes, or before the first one.
    std::map<int, uint64_t> byStatus;
    std::map<std::string, uint64_t> byReason;
    std::map<Outcome, uint64_t> byOutcome;
    std::vector<Sample> bookings; // In booking mode: all requests, for comparison with the executed ones.
};

// Nearest-rank quantile of ascending values; 0 if there are none.
Common::Milliseconds quantile(const std::vector<Common::Milliseconds>& sorted, double q);

Common::Milliseconds longestGap(std::vector<Common::Milliseconds> times);

// Sets the fields of the report that are computed from the samples.
void addSamples(Report&, const std::vector<Sample>&);

// Returns the report as text.
std::string describe(const Report&);
// Returns the report as JSON.
std::string toJson(const Report&);

} // namespace Load
