#pragma once

#include "StandIn/Program.h"

#include <optional>

namespace StandIn {

// Reads the command line. On bad input or --help prints why or how, sets exitCode and returns nothing.
std::optional<ProgramOptions> parseCommandLine(int argc, char** argv, int& exitCode);

} // namespace StandIn
