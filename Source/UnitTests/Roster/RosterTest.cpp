#include "Roster/Merged.h"
#include "Roster/Registry.h"

#include <gtest/gtest.h>

using Common::Address;
using Common::BackendServerId;
using Common::GroupName;
using Common::Incarnation;
using Common::InstanceId;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;
using Roster::Report;
using Roster::Standing;
using Roster::Verdict;

namespace {

Report report(const char* id, uint64_t incarnation, uint64_t sequence, Standing standing = Standing::Serving)
{
    Report r;
    r.server = BackendServerId(id);
    r.group = GroupName("g");
    r.address = Address("10.0.0.1:80");
    r.incarnation = Incarnation(incarnation);
    r.sequence = sequence;
    r.standing = standing;
    return r;
}

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Roster::Changes changes(std::vector<Report> reports, bool whole = false)
{
    return { whole, Revision(1), std::move(reports) };
}

size_t usableCount(const Roster::Merged& merged)
{
    size_t n = 0;
    for (auto& [group, servers] : Roster::usable(merged))
        n += servers.size();
    return n;
}

} // namespace

TEST(Registry, TellsOfARenewalOnlyOnce)
{
    Roster::Registry registry;
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 1), at(0)), Verdict::Taken);
    Revision first = registry.revision;
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 2), at(1)), Verdict::Taken);
    EXPECT_EQ(registry.revision, first);
    EXPECT_EQ(Roster::changesSince(registry, Revision(0)).reports.size(), 1u);
    EXPECT_TRUE(Roster::changesSince(registry, first).reports.empty());
}

TEST(Registry, KeepsALeavingServerLeavingForItsIncarnation)
{
    Roster::Registry registry;
    Roster::renew(registry, report("s", 1, 5, Standing::Leaving), at(0));
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 4), at(1)), Verdict::Outdated);
    Roster::renew(registry, report("s", 1, 6), at(2));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.standing, Standing::Leaving);
    Roster::renew(registry, report("s", 2, 1), at(3));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.standing, Standing::Serving);
    EXPECT_EQ(Roster::renew(registry, report("s", 1, 9), at(4)), Verdict::Outdated);
}

TEST(Registry, LosesASilentServerAndTakesItBack)
{
    Roster::Registry registry;
    Roster::renew(registry, report("s", 1, 1), at(0));
    Roster::expire(registry, at(101), Milliseconds(100), Milliseconds(1'000));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.standing, Standing::Lost);
    Roster::renew(registry, report("s", 1, 2), at(110));
    EXPECT_EQ(registry.entries.at(BackendServerId("s")).report.standing, Standing::Serving);
    Roster::expire(registry, at(2'000), Milliseconds(100), Milliseconds(1'000));
    EXPECT_TRUE(registry.entries.empty());
}

TEST(Registry, NotesTheEndOfAServerThatOthersHeard)
{
    Roster::Registry registry;
    Roster::leave(registry, BackendServerId("s"), Incarnation(0), at(0));
    auto told = Roster::changesSince(registry, Revision(0));
    ASSERT_EQ(told.reports.size(), 1u);
    EXPECT_EQ(told.reports.front().standing, Standing::Leaving);
    Roster::renew(registry, report("t", 7, 1), at(0));
    Roster::leave(registry, BackendServerId("t"), Incarnation(6), at(1));
    EXPECT_EQ(registry.entries.at(BackendServerId("t")).report.standing, Standing::Serving)
        << "an earlier incarnation left";
}

TEST(Merged, OneControlInstanceThatVouchesIsEnough)
{
    Roster::Merged merged;
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(merged, InstanceId("c2"), changes({ report("s", 1, 3) }), at(1));
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 1, 1, Standing::Lost) }), at(2));
    EXPECT_EQ(usableCount(merged), 1u);
    Roster::merge(merged, InstanceId("c2"), changes({ report("s", 1, 3, Standing::Lost) }), at(3));
    EXPECT_EQ(usableCount(merged), 0u);
}

TEST(Merged, LeavingAtOneControlInstanceIsFinal)
{
    Roster::Merged merged;
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(merged, InstanceId("c2"), changes({ report("s", 1, 2, Standing::Leaving) }), at(1));
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 1, 3) }, true), at(2));
    EXPECT_EQ(usableCount(merged), 0u);
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 2, 1) }), at(3));
    EXPECT_EQ(usableCount(merged), 1u) << "a later incarnation serves";
}

TEST(Merged, AnUnnamedEndMeansTheKnownIncarnation)
{
    Roster::Merged merged;
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 4, 1) }), at(0));
    Report end = report("s", 0, 0, Standing::Leaving);
    end.group = GroupName();
    end.address = Address();
    Roster::merge(merged, InstanceId("c2"), changes({ end }), at(1));
    EXPECT_EQ(usableCount(merged), 0u);
}

TEST(Merged, AnAddressBelongsToItsLatestIncarnation)
{
    Roster::Merged merged;
    Roster::merge(merged, InstanceId("c1"), changes({ report("old", 1, 1), report("new", 2, 1) }), at(0));
    auto servers = Roster::usable(merged);
    ASSERT_EQ(servers[GroupName("g")].size(), 1u);
    EXPECT_EQ(servers[GroupName("g")].front().server, BackendServerId("new"));
}

TEST(Merged, AWholeCopyTakesBackWhatWasVouchedFor)
{
    Roster::Merged merged;
    Roster::merge(merged, InstanceId("c1"), changes({ report("s", 1, 1) }), at(0));
    Roster::merge(merged, InstanceId("c1"), changes({}, true), at(1));
    EXPECT_EQ(usableCount(merged), 0u);
}
