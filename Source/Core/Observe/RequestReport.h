#pragma once

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Reads log lines written by logEvent() and selects those that explain the outcome of one request.
namespace Observe {

struct LogLine {
    std::string process;
    std::string time; // Such as "2026-10-15 19:30:04.031", by the process's own clock.
    std::string part;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    // The value of the field, or "" if there is none.
    const std::string& field(std::string_view name) const;
};

enum class LineKind {
    Event,
    Other, // Holds no event.
    Malformed, // Holds an event that can't be parsed.
};

// Parses a line. Log collectors may put the name of the process before the time; `process` is used if there is none.
LineKind readLine(std::string_view text, const std::string& process, LogLine&);

// The log lines of a request and all state changes found in the same logs, in the order in which they were read.
struct RequestReport {
    std::string request;
    std::vector<LogLine> lines; // Of the request.
    std::vector<LogLine> stateChanges; // Of servers, control instances and route tables.
    size_t malformed { 0 }; // Lines that were skipped.
};

// Adds the lines of one log. `process` is the default name of its process.
void readLog(RequestReport&, std::istream&, const std::string& process);

// Returns, ordered by time, the lines of the request and the state changes that explain them: for each line the last
// change of the server that it names and of the route table in the same process, and after a failure also the next
// change of that server. Lines of one process keep their order.
std::vector<LogLine> relevantLines(const RequestReport&);

// Describes how the request ended and which failures came before; "" if no line holds its end.
std::string summarizeOutcome(const std::vector<LogLine>&);

} // namespace Observe
