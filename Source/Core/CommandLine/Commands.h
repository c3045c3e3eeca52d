#pragma once

#include "CommandLine/Remote.h"
#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>
#include <vector>

namespace CommandLine {

// Exit codes of the commands, as listed in docs/OPERATIONS.md.
enum class ExitCode : int {
    Success = 0,
    Failed = 1, // No instance answered, or the answer is malformed.
    InvalidInput = 2,
    Conflict = 3,
    NotFound = 4,
    Partial = 5, // The answer has incomplete coverage, or a wait timed out.
};

enum class OutputFormat {
    Text,
    Json,
};

struct ApplyOptions {
    std::string file;
    std::string changeId; // Generated if empty. The second and later resources of a file append "-1", "-2", ...
    bool wait { false };
    Common::Milliseconds waitTimeout { 15'000 };
};

struct QueryOptions {
    std::string route;
    std::string text;
    Common::Milliseconds deadline { 0 }; // 0: the default of the route.
};

ExitCode runDaemon(const std::string& settingsFile);
ExitCode check(const std::string& file);
ExitCode apply(const Remote&, const ApplyOptions&, OutputFormat);
ExitCode get(const Remote&, const std::string& kind, const std::string& name, OutputFormat);
ExitCode remove(
    const Remote&, const std::string& kind, const std::string& name, const std::string& changeId, OutputFormat);
ExitCode status(const Remote&, Common::Revision, OutputFormat);
ExitCode query(const Remote&, const QueryOptions&, OutputFormat);
ExitCode drain(const Remote&, const std::string& instance, bool undo, OutputFormat);
// Prints the log lines of one request and its outcome. Reads standard input if there are no files. Returns NotFound if
// no line mentions the request.
ExitCode explain(const std::string& request, const std::vector<std::string>& files);
ExitCode timeline(const Remote&, const std::string& subject, size_t limit, OutputFormat);

} // namespace CommandLine
