#include "Roster/Registry.h"
#include "Roster/ServerView.h"
#include "Roster/Validation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>

using Common::Address;
using Common::BackendServerId;
using Common::GroupName;
using Common::Incarnation;
using Common::InstanceId;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;
using Roster::Report;
using Roster::ReportResult;
using Roster::ServerStatus;

namespace {

Report report(const char* id, uint64_t incarnation, uint64_t sequence, ServerStatus status = ServerStatus::Serving)
{
    Report r;
    r.server = BackendServerId(id);
    r.group = GroupName("g");
    r.address = Address("10.0.0.1:80");
    r.incarnation = Incarnation(incarnation);
    r.sequence = sequence;
    r.status = status;
    return r;
}

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Roster::Changes changes(std::vector<Report> reports, bool whole = false)
{
    return { whole, Revision(1), std::move(reports) };
}

size_t eligibleCount(const Roster::ServerView& view)
{
    size_t n = 0;
    for (auto& [group, servers] : Roster::eligibleServers(view))
        n += servers.size();
    return n;
}

} // namespace

TEST(Registry, ReportsAHeartbeatOnlyOnce)
{
    Roster::Registry registry;
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 1), at(0)), ReportResult::Accepted);
    Revision first = registry.revision;
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 2), at(1)), ReportResult::Accepted);
    EXPECT_EQ(registry.revision, first);
    EXPECT_EQ(Roster::changesSince(registry, Revision(0)).reports.size(), 1u);
    EXPECT_TRUE(Roster::changesSince(registry, first).reports.empty());
}

// The relays would send a server that became cold again its full load.
TEST(Registry, ReportsThatAServerIsColdAgain)
{
    Roster::Registry registry;
    auto renewed = [&](uint64_t sequence, double warmupLeft, double now) {
        Revision before = registry.revision;
        Report next = report("s", 1, sequence);
        next.warmupLeft = Milliseconds(warmupLeft);
        Roster::renew(registry, next, at(now));
        return registry.revision != before;
    };
    EXPECT_TRUE(renewed(1, 3'000, 0));
    EXPECT_FALSE(renewed(2, 2'000, 1'000)) << "as expected";
    EXPECT_FALSE(renewed(3, 840, 2'150)) << "delayed by a pause of the server";
    EXPECT_FALSE(renewed(4, 0, 3'200));
    EXPECT_TRUE(renewed(5, 3'000, 4'200)) << "cold again";
    EXPECT_TRUE(renewed(6, 0, 5'200)) << "warm earlier";
    EXPECT_FALSE(renewed(7, 0, 6'200));
}

TEST(ServerView, AHeartbeatThatSaysColdAgainIsInForceAtOnce)
{
    Roster::ServerView view;
    Report warm = report("s", 1, 1);
    Roster::merge(view, InstanceId("c1"), changes({ warm }), at(0));
    Report cold = report("s", 1, 2);
    cold.warmupLeft = Milliseconds(3'000);
    EXPECT_EQ(Roster::merge(view, InstanceId("c1"), changes({ cold }), at(1'000)).size(), 1u) << "it is published";
    EXPECT_EQ(Roster::eligibleServers(view)[GroupName("g")].front().warmAt, at(4'000));
    Roster::merge(view, InstanceId("c2"), changes({ warm }), at(1'100));
    EXPECT_EQ(Roster::eligibleServers(view)[GroupName("g")].front().warmAt, at(4'000)) << "an earlier heartbeat";
}

TEST(Registry, KeepsALeavingServerLeavingForItsIncarnation)
{
    Roster::Registry registry;
    Roster::renew(registry, report("s", 1, 5, ServerStatus::Leaving), at(0));
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 4), at(1)), ReportResult::Stale);
    Roster::renew(registry, report("s", 1, 6), at(2));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.status, ServerStatus::Leaving);
    Roster::renew(registry, report("s", 2, 1), at(3));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.status, ServerStatus::Serving);
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 9), at(4)), ReportResult::Stale);
}

TEST(Registry, MarksASilentServerLostUntilItsNextHeartbeat)
{
    Roster::Registry registry;
    Roster::renew(registry, report("s", 1, 1), at(0));
    Roster::expire(registry, at(101), Milliseconds(100), Milliseconds(1'000));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.status, ServerStatus::Lost);
    Roster::renew(registry, report("s", 1, 2), at(110));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.status, ServerStatus::Serving);
    Roster::expire(registry, at(2'000), Milliseconds(100), Milliseconds(1'000));
    EXPECT_TRUE(registry.entries.empty());
}

TEST(Registry, RecordsTheLeaveOfAnUnknownServer)
{
    Roster::Registry registry;
    Roster::leave(registry, BackendServerId("s"), Incarnation(0), at(0));
    auto reported = Roster::changesSince(registry, Revision(0));
    ASSERT_EQ(reported.reports.size(), 1u);
    EXPECT_EQ(reported.reports.front().status, ServerStatus::Leaving);
    Roster::renew(registry, report("t", 7, 1), at(0));
    Roster::leave(registry, BackendServerId("t"), Incarnation(6), at(1));
    EXPECT_EQ(registry.entries.at(BackendServerId("t")).report.status, ServerStatus::Serving)
        << "an earlier incarnation left";
}

TEST(ServerView, OneReportOfServingIsEnough)
{
    Roster::ServerView view;
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(view, InstanceId("c2"), changes({ report("s", 1, 3) }), at(1));
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 1, 1, ServerStatus::Lost) }), at(2));
    EXPECT_EQ(eligibleCount(view), 1u);
    Roster::merge(view, InstanceId("c2"), changes({ report("s", 1, 3, ServerStatus::Lost) }), at(3));
    EXPECT_EQ(eligibleCount(view), 0u);
}

TEST(ServerView, LeavingAtOneControlInstanceIsFinal)
{
    Roster::ServerView view;
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(view, InstanceId("c2"), changes({ report("s", 1, 2, ServerStatus::Leaving) }), at(1));
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 1, 3) }, true), at(2));
    EXPECT_EQ(eligibleCount(view), 0u);
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 2, 1) }), at(3));
    EXPECT_EQ(eligibleCount(view), 1u) << "a later incarnation serves";
}

TEST(ServerView, ALeaveWithoutIncarnationMeansTheKnownOne)
{
    Roster::ServerView view;
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 4, 1) }), at(0));
    Report leave = report("s", 0, 0, ServerStatus::Leaving);
    leave.group = GroupName();
    leave.address = Address();
    Roster::merge(view, InstanceId("c2"), changes({ leave }), at(1));
    EXPECT_EQ(eligibleCount(view), 0u);
}

TEST(ServerView, AnAddressBelongsToItsLatestIncarnation)
{
    Roster::ServerView view;
    Roster::merge(view, InstanceId("c1"), changes({ report("old", 1, 1), report("new", 2, 1) }), at(0));
    auto servers = Roster::eligibleServers(view);
    ASSERT_EQ(servers[GroupName("g")].size(), 1u);
    EXPECT_EQ(servers[GroupName("g")].front().server, BackendServerId("new"));
}

TEST(ServerView, AWholeCopyReplacesEarlierReports)
{
    Roster::ServerView view;
    Roster::merge(view, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(view, InstanceId("c1"), changes({}, true), at(1));
    EXPECT_EQ(eligibleCount(view), 0u);
}

TEST(Report, IsValidOnlyIfAServerCanHaveSentIt)
{
    const auto latest = Roster::latestIncarnation(Milliseconds(1'785'269'657'120.0));
    const Report valid = report("s", 1'785'269'657'120, 1);
    EXPECT_TRUE(Roster::isValid(valid, latest));
    auto isValidWith = [&](const std::function<void(Report&)>& change) {
        Report changed = valid;
        change(changed);
        return Roster::isValid(changed, latest);
    };
    EXPECT_TRUE(isValidWith([](Report& r) { r.address = Address("[::1]:65535"); }));
    for (const char* address : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", ":80",
             "10.0.0.1:99999999999999999999", "10.0.0.1:80x", "a host:80" })
        EXPECT_FALSE(isValidWith([&](Report& r) { r.address = Address(address); })) << address;
    EXPECT_FALSE(isValidWith([](Report& r) { r.incarnation = Incarnation(UINT64_MAX); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.sequence = UINT64_MAX; }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.warmupLeft = Milliseconds(-1); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.warmupLeft = Milliseconds(INFINITY); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.warmupLeft = Milliseconds(NAN); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.slots = Common::Slots(0); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.domain = Common::FailureDomain(std::string(200'000, 'z')); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.group = GroupName(std::string("a\0b", 3)); }));
    EXPECT_FALSE(isValidWith([](Report& r) { r.server = BackendServerId(std::string(256, 's')); }));
}

TEST(Report, OfALeavingServerNeedsNoMoreThanItsId)
{
    Report leaving;
    leaving.server = BackendServerId("s");
    leaving.status = ServerStatus::Leaving;
    EXPECT_TRUE(Roster::isValid(leaving));
    leaving.incarnation = Incarnation(UINT64_MAX);
    EXPECT_FALSE(Roster::isValid(leaving, Roster::latestIncarnation(Milliseconds(1e12))));
}

TEST(ServerView, AnInvalidReportIsNotMerged)
{
    Roster::ServerView view;
    Report odd = report("s", 1, 1);
    odd.address = Address("10.0.0.1:99999");
    EXPECT_TRUE(Roster::merge(view, InstanceId("control"), changes({ odd }), at(0)).empty());
    EXPECT_EQ(eligibleCount(view), 0u);
    EXPECT_TRUE(view.servers.empty());
}

TEST(ServerView, ALostServerWithALaterClockDoesNotKeepItsAddressFromTheNext)
{
    Roster::ServerView view;
    const InstanceId control("control");
    Roster::merge(view, control, changes({ report("early", 900, 1) }), at(0));
    Roster::merge(view, control, changes({ report("next", 500, 1) }), at(1));
    EXPECT_EQ(Roster::eligibleServers(view).at(GroupName("g")).front().server, BackendServerId("early"));
    Roster::merge(view, control, changes({ report("early", 900, 2, ServerStatus::Lost) }), at(2));
    ASSERT_EQ(eligibleCount(view), 1u);
    EXPECT_EQ(Roster::eligibleServers(view).at(GroupName("g")).front().server, BackendServerId("next"));
}
