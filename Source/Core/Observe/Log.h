#pragma once

#include <sstream>
#include <string>

namespace Observe {

// The part of the program that writes a line; each has one fixed prefix, "[gather] ".
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

// The name between the brackets of the prefix, "gather".
const char* partName(Part);

// Returns false if no level has this name: "debug", "info", "warning", "error".
bool parseLogLevel(const std::string&, LogLevel&);

// The path that stands for standard output.
inline constexpr const char* standardOutput = "-";

// Sends lines of the level and above to standard error, to standard output, or to the end of a file. Lines to standard
// output wait in a bounded queue for a thread of their own: when it is full they are dropped, and their number is
// logged. Called once, before other threads start.
void setUpLog(LogLevel, const std::string& path = {});
// The last call of a program: writes the lines that wait and returns the exit code. Ends the process with it instead if
// nobody reads standard output, which would hold up what runs after main().
int finishLog(int exitCode);
// May be called at any time, from any thread.
void setLogLevel(LogLevel);
bool isLogged(LogLevel);
void writeLog(Part, LogLevel, const std::string& message);

} // namespace Observe

// The message is streamed only if its level is logged: LOG_INFO(Part::Gather, "Route " << name << " is unknown.").
// It has no parentheses of its own, since it is a chain of << and not a value.
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
