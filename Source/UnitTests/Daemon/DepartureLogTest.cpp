#include "Daemon/DepartureLog.h"
#include "Storage/FakeFiles.h"

#include <gtest/gtest.h>

#include <future>
#include <map>

using Common::BackendServerId;
using Common::Incarnation;
using Common::Milliseconds;
using Daemon::DepartureLog;
using Roster::Departure;

namespace {

std::unique_ptr<DepartureLog> openLog(FakeFiles& files)
{
    return std::make_unique<DepartureLog>(files.functions(), "/data", Milliseconds(60'000));
}

bool recordAndWait(DepartureLog& log, const char* server, uint64_t incarnation, bool isNamed = true)
{
    auto done = std::make_shared<std::promise<bool>>();
    log.record({ BackendServerId(server), Incarnation(incarnation), isNamed, {} },
        [done](bool isDurable) { done->set_value(isDurable); });
    return done->get_future().get();
}

std::map<std::string, uint64_t> recovered(FakeFiles& files)
{
    std::map<std::string, uint64_t> found;
    auto log = openLog(files);
    for (const Departure& departure : log->recovered())
        found[departure.server.value()] = departure.incarnation.value();
    return found;
}

} // namespace

// Guards against an acknowledged departure that is lost with all control processes.
TEST(DepartureLog, KeepsWhatItReportedAsDurable)
{
    FakeFiles files;
    Common::Random random(1);
    {
        auto log = openLog(files);
        EXPECT_TRUE(recordAndWait(*log, "a", 5));
        EXPECT_TRUE(recordAndWait(*log, "b", 7, false));
        EXPECT_TRUE(recordAndWait(*log, "a", 4)) << "a later start has ended already";
        for (uint64_t i = 8; i <= 2'000; ++i)
            EXPECT_TRUE(recordAndWait(*log, "b", i));
        EXPECT_LT(files.bytes("/data/departures").size(), 80U << 10) << "bounded by the servers";
    }
    files.crash(random);
    std::map<std::string, uint64_t> expected { { "a", 5 }, { "b", 2'000 } };
    EXPECT_EQ(recovered(files), expected);
    EXPECT_TRUE(recordAndWait(*openLog(files), "c", 1));
    expected["c"] = 1;
    EXPECT_EQ(recovered(files), expected) << "the next process keeps those of the earlier one";
}

// Guards against a departure that counts as stored although the disk refused it, and is not written later either.
TEST(DepartureLog, StoresAfterAFailureWhatItCouldNotStore)
{
    FakeFiles files;
    Common::Random random(1);
    auto log = openLog(files);
    EXPECT_TRUE(recordAndWait(*log, "a", 5));
    files.failAfter(0);
    EXPECT_FALSE(recordAndWait(*log, "b", 6));
    EXPECT_FALSE(recordAndWait(*log, "b", 6));
    files.failAfter(1'000);
    EXPECT_TRUE(recordAndWait(*log, "c", 7));
    EXPECT_TRUE(recordAndWait(*log, "b", 6));
    log.reset();
    files.crash(random);
    EXPECT_EQ(recovered(files), (std::map<std::string, uint64_t> { { "a", 5 }, { "b", 6 }, { "c", 7 } }));
}
