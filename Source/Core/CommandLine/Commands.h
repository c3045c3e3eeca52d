#pragma once

#include "CommandLine/Remote.h"
#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>
#include <vector>

namespace CommandLine {

// What a command's process returns; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
    Success = 0,
    Failed = 1, // Nobody answered, or an answer makes no sense.
    InvalidInput = 2,
    Conflict = 3,
    NotFound = 4,
    Partial = 5, // An answer that does not cover all, or a wait that ended too early.
};

enum class OutputFormat {
    Text,
    Json,
};

struct ApplyOptions {
    std::string file;
    std::string changeId; // Made up if empty. Later resources of a file get "-1", "-2" at its end.
    bool wait { false };
    Common::Milliseconds waitTimeout { 15'000 };
};

struct QueryOptions {
    std::string route;
    std::string text;
    Common::Milliseconds deadline { 0 }; // The route's own if 0.
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
// Prints what the logs say of one request; standard input is read if no file is named. NotFound if no line names it.
ExitCode explain(const std::string& request, const std::vector<std::string>& files);
ExitCode timeline(const Remote&, const std::string& subject, size_t limit, OutputFormat);

} // namespace CommandLine
