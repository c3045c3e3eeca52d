#pragma once

#include <sstream>
#include <string>

namespace Observe {

// The part of the program that writes a line. Each has a fixed prefix, such as "[gather] ".
enum class Part {
    Api,
    CommandLine,
    Consensus,
    Control,
    Daemon,
    Entry,
    Gather,
    Http,
    Limits,
    Load,
    Membership,
    Once,
    Peer,
    Platform,
    Relay,
    Replica,
    Roster,
    Routing,
    Settings,
    StandIn,
    Storage,
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// The name in the brackets of the prefix, such as "gather".
const char* partName(Part);

// Returns false unless the name is "debug", "info", "warning" or "error".
bool parseLogLevel(const std::string&, LogLevel&);

// The path that denotes standard output.
inline constexpr const char* standardOutput = "-";

// Writes lines of the level and above to standard error (no path), to standard output, or appends them to a file. Lines
// to standard output go through a bounded queue and a separate thread; if the queue is full, lines are dropped and
// their number is logged. Must be called once, before other threads start.
void setUpLog(LogLevel, const std::string& path = {});
// The last call of a program: flushes queued lines and returns the exit code. If nobody reads standard output, it ends
// the process with that code at once, since the destructors that run after main() would block.
int finishLog(int exitCode);
// Thread-safe, and may be called at any time.
void setLogLevel(LogLevel);
bool isLogged(LogLevel);
void writeLog(Part, LogLevel, const std::string& message);

} // namespace Observe

// The message is streamed only if its level is logged: LOG_INFO(Part::Gather, "Route " << name << " is unknown.").
// The macro puts no parentheses around it, since it is a chain of << operands and not an expression.
#define CORIANDERLOCK_LOG(part, level, message)                                                                        \
    do {                                                                                                               \
        if (::Observe::isLogged(level)) {                                                                              \
            std::ostringstream corianderlockLogLine;                                                                   \
            corianderlockLogLine << message; /* NOLINT(bugprone-macro-parentheses) */                                  \
            ::Observe::writeLog(part, level, corianderlockLogLine.str());                                              \
        }                                                                                                              \
    } while (false)

#define LOG_DEBUG(part, message) CORIANDERLOCK_LOG(part, ::Observe::LogLevel::Debug, message)
#define LOG_INFO(part, message) CORIANDERLOCK_LOG(part, ::Observe::LogLevel::Info, message)
#define LOG_WARNING(part, message) CORIANDERLOCK_LOG(part, ::Observe::LogLevel::Warning, message)
#define LOG_ERROR(part, message) CORIANDERLOCK_LOG(part, ::Observe::LogLevel::Error, message)
