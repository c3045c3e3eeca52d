#pragma once

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Reads the lines that processes wrote with logEvent(), and finds those that tell what became of one request.
namespace Observe {

struct LogLine {
    std::string process;
    std::string time; // "2026-10-15 19:30:04.031", by the process's own clock.
    std::string part;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    // The field's value or "".
    const std::string& field(std::string_view name) const;
};

enum class LineKind {
    Event,
    Other, // Tells no event.
    Malformed, // Tells an event that can't be read.
};

// Text before the time names the process, as collectors put it there; `process` does if there is none.
LineKind readLine(std::string_view text, const std::string& process, LogLine&);

// The lines of a request that were read so far, and what the processes believed meanwhile.
struct RequestReport {
    std::string request;
    std::vector<LogLine> lines; // Of the request.
    std::vector<LogLine> stateChanges; // Of servers, control instances and route tables.
    size_t malformed { 0 };
};

void readLog(RequestReport&, std::istream&, const std::string& process);

// In the order of their times: the request's lines, with the state changes that bear on them: the last word on each
// server and on the route table before each line of its process, and the next word on each server that failed. Lines of
// one process stay in its order.
std::vector<LogLine> relevantLines(const RequestReport&);

// What ended the request, in a sentence; "" if no line says.
std::string summarizeOutcome(const std::vector<LogLine>&);

} // namespace Observe
