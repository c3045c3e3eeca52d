#include "Observe/Log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <future>
#include <memory>
#include <thread>

namespace Observe {

namespace {

    constexpr size_t partCount = static_cast<size_t>(Part::Storage) + 1;
    constexpr const char* linePattern = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n";

    std::atomic<LogLevel> currentLevel { LogLevel::Info };

    log4cxx::LogString toLogString(const std::string& text)
    {
        log4cxx::LogString decoded;
        log4cxx::helpers::Transcoder::decode(text, decoded);
        return decoded;
    }

    log4cxx::LevelPtr toLibraryLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getError();
    }

    const log4cxx::LoggerPtr& loggerOf(Part part)
    {
        static const auto loggers = [] {
            std::array<log4cxx::LoggerPtr, partCount> all;
            for (size_t i = 0; i < partCount; ++i)
                all[i] = log4cxx::Logger::getLogger(std::string(partName(static_cast<Part>(i))));
            return all;
        }();
        return loggers[static_cast<size_t>(part)];
    }

    // Lines that are buffered while the reader of standard output is slow or has stopped.
    constexpr int maximumQueuedLines = 2'048;

    // Time to write the buffered lines at exit, so that a slow reader still receives them.
    constexpr std::chrono::milliseconds flushTimeout { 500 };

    std::shared_ptr<log4cxx::AsyncAppender>& lineQueue()
    {
        static std::shared_ptr<log4cxx::AsyncAppender> queue;
        return queue;
    }

    log4cxx::AppenderPtr makeAsyncAppender(const log4cxx::AppenderPtr& appender)
    {
        auto queue = std::make_shared<log4cxx::AsyncAppender>();
        lineQueue() = queue;
        queue->setBufferSize(maximumQueuedLines);
        queue->setBlocking(false);
        queue->addAppender(appender);
        return queue;
    }

    log4cxx::AppenderPtr makeAppender(const std::string& path)
    {
        auto layout = std::make_shared<log4cxx::PatternLayout>(toLogString(linePattern));
        if (path == standardOutput)
            return makeAsyncAppender(
                std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut()));
        if (!path.empty())
            return std::make_shared<log4cxx::FileAppender>(layout, toLogString(path), true);
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }

} // namespace

const char* partName(Part part)
{
    switch (part) {
    case Part::Api:
        return "api";
    case Part::CommandLine:
        return "command-line";
    case Part::Consensus:
        return "consensus";
    case Part::Control:
        return "control";
    case Part::Daemon:
        return "daemon";
    case Part::Entry:
        return "entry";
    case Part::Gather:
        return "gather";
    case Part::Http:
        return "http";
    case Part::Limits:
        return "limits";
    case Part::Load:
        return "load";
    case Part::Membership:
        return "membership";
    case Part::Once:
        return "once";
    case Part::Peer:
        return "peer";
    case Part::Platform:
        return "platform";
    case Part::Relay:
        return "relay";
    case Part::Replica:
        return "replica";
    case Part::Roster:
        return "roster";
    case Part::Routing:
        return "routing";
    case Part::Settings:
        return "settings";
    case Part::StandIn:
        return "stand-in";
    case Part::Storage:
        return "storage";
    }
    return "unknown";
}

bool parseLogLevel(const std::string& name, LogLevel& level)
{
    constexpr std::pair<const char*, LogLevel> levels[] = {
        { "debug", LogLevel::Debug },
        { "info", LogLevel::Info },
        { "warning", LogLevel::Warning },
        { "error", LogLevel::Error },
    };
    for (const auto& [candidate, value] : levels) {
        if (name == candidate) {
            level = value;
            return true;
        }
    }
    return false;
}

void setUpLog(LogLevel level, const std::string& path)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(path));
    setLogLevel(level);
}

int finishLog(int exitCode)
{
    auto queue = lineQueue();
    if (!queue)
        return exitCode;
    auto flushed = std::make_shared<std::promise<void>>();
    auto future = flushed->get_future();
    std::thread([queue, flushed] {
        queue->close();
        flushed->set_value();
    }).detach();
    if (future.wait_for(flushTimeout) != std::future_status::ready)
        std::_Exit(exitCode);
    return exitCode;
}

void setLogLevel(LogLevel level)
{
    currentLevel.store(level, std::memory_order_relaxed);
    log4cxx::Logger::getRootLogger()->setLevel(toLibraryLevel(level));
}

bool isLogged(LogLevel level) { return level >= currentLevel.load(std::memory_order_relaxed); }

void writeLog(Part part, LogLevel level, const std::string& message)
{
    loggerOf(part)->forcedLogLS(toLibraryLevel(level), toLogString(message), log4cxx::spi::LocationInfo());
}

} // namespace Observe
