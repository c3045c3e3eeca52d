#pragma once

#include "CommandLine/Commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace CommandLine {

// Command-line arguments of `load`.
struct LoadArguments {
    std::string route;
    double ratePerSecond { 100 };
    double durationMs { 10'000 };
    uint64_t seed { 1 };
    std::vector<std::string> queries { "household" };
    double deadlineMs { 0 }; // 0: the default of the route.
    std::string mode { "query" }; // "query" or "booking".
    int resends { 0 };
};

// Distributes the requests round robin over all servers and prints the report. Returns Partial if a scheduled request
// was not sent or did not succeed.
ExitCode load(const Remote&, const LoadArguments&, OutputFormat);

} // namespace CommandLine
