#include "Observe/Log.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iterator>

using Observe::LogLevel;
using Observe::Part;

// A message below the level is neither written nor evaluated.
TEST(Log, WritesThePrefixOfThePartAndAppliesTheLevel)
{
    std::string path = testing::TempDir() + "corianderlock-log-test.log";
    std::remove(path.c_str());
    Observe::setUpLog(LogLevel::Info, path);
    int evaluated = 0;
    LOG_DEBUG(Part::Gather, "Hidden " << ++evaluated);
    LOG_INFO(Part::Gather,
        "Route "
            << "free-slots"
            << " is unknown.");
    Observe::setLogLevel(LogLevel::Error);
    LOG_WARNING(Part::Peer, "Hidden too.");
    LOG_ERROR(Part::Peer, "The connection is lost.");

    std::ifstream file(path);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    EXPECT_NE(text.find("[gather] Route free-slots is unknown.\n"), std::string::npos) << text;
    EXPECT_NE(text.find("[peer] The connection is lost.\n"), std::string::npos) << text;
    EXPECT_EQ(text.find("Hidden"), std::string::npos) << text;
    EXPECT_EQ(evaluated, 0);
    std::remove(path.c_str());
}

TEST(Log, ParsesLevelNames)
{
    LogLevel level = LogLevel::Debug;
    EXPECT_TRUE(Observe::parseLogLevel("warning", level));
    EXPECT_EQ(level, LogLevel::Warning);
    EXPECT_FALSE(Observe::parseLogLevel("loud", level));
}
