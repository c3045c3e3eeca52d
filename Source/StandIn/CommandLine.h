#pragma once

#include "StandIn/Program.h"

#include <optional>

namespace StandIn {

// Parses the command line. On invalid input or --help, prints a message, sets exitCode and returns nothing.
std::optional<ProgramOptions> parseCommandLine(int argc, char** argv, int& exitCode);

} // namespace StandIn
