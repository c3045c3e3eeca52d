#include "Suspects/Evidence.h"

#include <gtest/gtest.h>

using namespace Suspects;
using Common::BackendServerId;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const Rule rule;
const GroupName first { "g1" };
const GroupName second { "g2" };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Strike strikeOf(uint64_t server, uint64_t run, double ms)
{
    return { BackendServerId(std::to_string(server)), Incarnation(server), RunId(run), at(ms), false, std::nullopt };
}

Standing standingAt(const Evidence& evidence, double ms) { return judge(evidence, rule, at(ms)).standing; }

} // namespace

TEST(Evidence, ThreeRunsThatLoseServersQuarantine)
{
    Evidence evidence;
    EXPECT_TRUE(addStrike(evidence, first, strikeOf(1, 1, 0), rule));
    EXPECT_EQ(standingAt(evidence, 0), Standing::Clear);
    EXPECT_FALSE(addStrike(evidence, first, strikeOf(1, 1, 0), rule)) << "the same strike, reported twice";
    addStrike(evidence, first, strikeOf(2, 2, 10), rule);
    EXPECT_EQ(standingAt(evidence, 10), Standing::Suspect);
    addStrike(evidence, first, strikeOf(3, 3, 20), rule);
    EXPECT_EQ(standingAt(evidence, 20), Standing::Quarantined);
    EXPECT_EQ(judge(evidence, rule, at(120)).remaining, rule.quarantineFor - Milliseconds(100));
}

TEST(Evidence, ServersLostInOneRunCountOnce)
{
    Evidence evidence;
    for (uint64_t server = 0; server < 20; ++server)
        addStrike(evidence, GroupName(std::to_string(server)), strikeOf(server, 1, 0), rule);
    EXPECT_EQ(standingAt(evidence, 0), Standing::Clear);
    EXPECT_LE(evidence.groups.size(), rule.maximumGroups);
}

TEST(Evidence, AServerThatBreaksConnectionsAndLivesOnCountsOnce)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 20; ++run)
        addStrike(evidence, first, strikeOf(1, run, static_cast<double>(run)), rule);
    EXPECT_EQ(standingAt(evidence, 20), Standing::Clear);
    Strike nextStart = strikeOf(1, 21, 21);
    nextStart.incarnation = Incarnation(2);
    addStrike(evidence, first, nextStart, rule);
    EXPECT_EQ(standingAt(evidence, 21), Standing::Suspect);
}

TEST(Evidence, AGroupThatIsLostAloneDoesNotCloseTheOthers)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, first, strikeOf(run, run, 0), rule);
    auto verdict = judge(evidence, rule, at(0));
    EXPECT_FALSE(maySend(verdict, first, true));
    EXPECT_TRUE(maySend(verdict, second, true));
    EXPECT_TRUE(maySend(verdict, second, false));
    addStrike(evidence, second, strikeOf(9, 4, 0), rule);
    EXPECT_FALSE(maySend(judge(evidence, rule, at(0)), second, true)) << "two groups: the request itself is blamed";
}

TEST(Evidence, ASuspectGetsFirstSendsOnly)
{
    Evidence evidence;
    addStrike(evidence, first, strikeOf(1, 1, 0), rule);
    EXPECT_TRUE(maySend(judge(evidence, rule, at(0)), first, false)) << "one loss proves nothing";
    addStrike(evidence, first, strikeOf(2, 2, 0), rule);
    EXPECT_TRUE(maySend(judge(evidence, rule, at(0)), first, true));
    EXPECT_FALSE(maySend(judge(evidence, rule, at(0)), first, false));
}

TEST(Evidence, ACompletionClearsItsGroupAndOlderReportsDoNotRestoreIt)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, first, strikeOf(run, run, 0), rule);
    Evidence late = evidence;
    EXPECT_TRUE(recordCompletion(evidence, first, at(5)));
    EXPECT_EQ(standingAt(evidence, 5), Standing::Clear);
    EXPECT_FALSE(merge(evidence, first, late.groups[first], rule, at(6)));
    EXPECT_EQ(standingAt(evidence, 6), Standing::Clear);
    EXPECT_TRUE(merge(late, first, evidence.groups[first], rule, at(6)));
    EXPECT_EQ(standingAt(late, 6), Standing::Clear);
}

TEST(Evidence, TheSecondHeartbeatOfTheSameStartRefutesAStrike)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, first, strikeOf(run, run, 0), rule);
    EXPECT_FALSE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 7)) << "may be older than the strike";
    EXPECT_FALSE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 7));
    EXPECT_EQ(standingAt(evidence, 1), Standing::Quarantined);
    EXPECT_TRUE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 8));
    EXPECT_EQ(standingAt(evidence, 1), Standing::Suspect);
    recordHeartbeat(evidence, BackendServerId("2"), Incarnation(5), 1);
    recordHeartbeat(evidence, BackendServerId("2"), Incarnation(5), 2);
    EXPECT_EQ(standingAt(evidence, 1), Standing::Suspect) << "a later start says nothing about the one that was lost";
}

TEST(Evidence, AQuarantineEndsAndOneMoreLossRestoresIt)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, first, strikeOf(run, run, 0), rule);
    double end = rule.quarantineFor.value();
    EXPECT_EQ(standingAt(evidence, end - 1), Standing::Quarantined);
    EXPECT_EQ(standingAt(evidence, end), Standing::Suspect);
    addStrike(evidence, first, strikeOf(4, 4, end), rule);
    EXPECT_EQ(standingAt(evidence, end), Standing::Quarantined);
    EXPECT_TRUE(isExpired(evidence, rule, at(end) + rule.quarantineFor + rule.suspectFor));
}

TEST(Evidence, ARequestThatWasCompletedBeforeIsNotLockedOutForLong)
{
    Evidence evidence;
    addStrike(evidence, first, strikeOf(1, 1, 0), rule);
    recordCompletion(evidence, first, at(1));
    for (uint64_t run = 2; run <= 4; ++run)
        addStrike(evidence, first, strikeOf(run, run, 2), rule);
    EXPECT_EQ(standingAt(evidence, 2), Standing::Quarantined);
    double end = 2 + rule.quarantineCompletedFor.value();
    EXPECT_LE(end, 10'002);
    EXPECT_EQ(standingAt(evidence, end), Standing::Suspect) << "a trial can clear it";
    EXPECT_TRUE(maySend(judge(evidence, rule, at(end)), first, true));
}

TEST(Evidence, MergesInAnyOrderGiveTheSameVerdict)
{
    Evidence one;
    Evidence two;
    addStrike(one, first, strikeOf(1, 1, 0), rule);
    addStrike(two, first, strikeOf(2, 2, 5), rule);
    addStrike(two, second, strikeOf(3, 3, 6), rule);
    Evidence both = one;
    for (auto& [name, group] : two.groups)
        merge(both, name, group, rule, at(10));
    for (auto& [name, group] : one.groups)
        merge(two, name, group, rule, at(10));
    EXPECT_EQ(standingAt(both, 10), Standing::Quarantined);
    EXPECT_EQ(standingAt(two, 10), Standing::Quarantined);
}
