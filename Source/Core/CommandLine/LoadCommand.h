#pragma once

#include "CommandLine/Commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace CommandLine {

// What the command line says of a run of load.
struct LoadArguments {
    std::string route;
    double ratePerSecond { 100 };
    double durationMs { 10'000 };
    uint64_t seed { 1 };
    std::vector<std::string> queries { "household" };
    double deadlineMs { 0 }; // The route's own if 0.
    std::string mode { "query" }; // Or "booking".
    int resends { 0 };
};

// Sends the load to all instances in turns and prints the report. Partial if a request was not sent, or not done.
ExitCode load(const Remote&, const LoadArguments&, OutputFormat);

} // namespace CommandLine
