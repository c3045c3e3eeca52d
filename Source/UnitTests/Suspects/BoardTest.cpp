#include "Suspects/Board.h"

#include <gtest/gtest.h>

using namespace Suspects;
using Common::BackendServerId;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

const GroupName group { "g" };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

// Requests that have nothing in common.
Keys keysOf(uint64_t n) { return { { n, n * 3 + 1 }, { n, n * 3 + 2 }, { n, n * 3 + 3 } }; }

Strike strikeOf(uint64_t run, double ms)
{
    return { BackendServerId("s" + std::to_string(run)), Incarnation(1), group, Common::FailureDomain(), RunId(run),
        VariantId(), at(ms), at(ms), false, false, false, std::nullopt };
}

void strike(Board& board, const Keys& keys, uint64_t runs, uint64_t firstRun = 1)
{
    for (uint64_t run = firstRun; run < firstRun + runs; ++run)
        board.addStrike(keys, strikeOf(run, static_cast<double>(run)));
}

Standing standingOf(const Board& board, const Keys& keys) { return worstStanding(board.verdictsOn(keys, at(9))); }

size_t strikesIn(const Changes& changes, Breadth breadth)
{
    size_t n = 0;
    for (const Record& record : changes.records)
        n += record.breadth == breadth ? record.strikes.size() : 0;
    return n;
}

} // namespace

TEST(Board, TellsFollowersOfSuspectsOnlyAndOtherControlInstancesAll)
{
    Board board;
    strike(board, keysOf(1), 1);
    strike(board, keysOf(2), 2);
    auto suspected = board.changesSince({}, Scope::Suspected, at(9));
    ASSERT_EQ(suspected.records.size(), 1u);
    EXPECT_EQ(suspected.records[0].keys, keysOf(2));
    EXPECT_EQ(board.changesSince({}, Scope::All, at(9)).records.size(), 2u);
    EXPECT_TRUE(board.changesSince(suspected.revisions, Scope::All, at(9)).records.empty());
    for (double ms : { 9, 9 })
        board.recordAnswer(keysOf(2), group, at(ms), at(ms));
    EXPECT_EQ(standingOf(board, keysOf(2)), Standing::Clear);
    auto cleared = board.changesSince(suspected.revisions, Scope::Suspected, at(9));
    ASSERT_EQ(cleared.records.size(), 1u) << "who was told of a suspect is told that it is cleared";
    for (const ReportedStrike& report : cleared.records[0].strikes)
        EXPECT_TRUE(report.isAnswered);
}

TEST(Board, ReportsWhatHasChangedOnly)
{
    Board board;
    strike(board, keysOf(1), 1);
    auto before = board.changesSince({}, Scope::All, at(9));
    EXPECT_EQ(strikesIn(before, Breadth::Request), 1u);
    EXPECT_EQ(strikesIn(before, Breadth::Content) + strikesIn(before, Breadth::Pattern), 0u) << "derived by the reader";
    strike(board, keysOf(1), 1, 2);
    auto after = board.changesSince(before.revisions, Scope::All, at(9));
    EXPECT_EQ(strikesIn(after, Breadth::Request), 1u);
}

TEST(Board, ANewSuspectIsReportedWithItsEarlierStrikes)
{
    Board board;
    Board follower;
    strike(board, keysOf(1), 1);
    auto before = board.changesSince({}, Scope::Suspected, at(9));
    EXPECT_TRUE(before.records.empty());
    strike(board, keysOf(1), 2, 2);
    follower.merge(board.changesSince(before.revisions, Scope::Suspected, at(9)).records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(follower, keysOf(1)), Standing::Quarantined);
}

TEST(Board, AStrikeThatIsAnsweredBeforeItsFirstReportIsNotReported)
{
    Board board;
    strike(board, keysOf(1), 1);
    board.recordAnswer(keysOf(1), group, at(9), at(9));
    EXPECT_TRUE(board.changesSince({}, Scope::All, at(9)).records.empty());
    strike(board, keysOf(2), 1);
    auto before = board.changesSince({}, Scope::All, at(9));
    board.recordAnswer(keysOf(2), group, at(9), at(9));
    auto after = board.changesSince(before.revisions, Scope::All, at(9));
    ASSERT_EQ(strikesIn(after, Breadth::Request), 1u) << "who knows the strike is told of the answer";
    EXPECT_TRUE(after.records[0].strikes[0].isAnswered);
}

TEST(Board, AControlInstanceForwardsStrikesOfOthersOnlyIfTheyMakeASuspect)
{
    Board relay;
    Board one;
    Board two;
    strike(two, keysOf(5), 1); // In the same shard, so that its readers have had a report.
    auto known = two.changesSince({}, Scope::All, at(9)).revisions;
    strike(relay, keysOf(9), 1);
    one.merge(relay.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
    two.merge(one.changesSince({}, Scope::All, at(9)).records, Reporter::Control, at(9));
    EXPECT_TRUE(two.changesSince(known, Scope::All, at(9)).records.empty());
    strike(relay, keysOf(9), 2, 2);
    one.merge(relay.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
    two.merge(one.changesSince({}, Scope::All, at(9)).records, Reporter::Control, at(9));
    EXPECT_EQ(strikesIn(two.changesSince(known, Scope::All, at(9)), Breadth::Request), 3u);
    EXPECT_EQ(strikesIn(two.changesSince({}, Scope::All, at(9)), Breadth::Request), 4u)
        << "an instance that has restarted is told of all";
}

TEST(Board, StrikesThatTwoInstancesReportAddUp)
{
    Board control;
    Board one;
    Board two;
    strike(one, keysOf(1), 1);
    strike(two, keysOf(1), 2, 2);
    control.merge(one.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
    control.merge(two.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(control, keysOf(1)), Standing::Quarantined);
    one.merge(control.changesSince({}, Scope::Suspected, at(9)).records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(one, keysOf(1)), Standing::Quarantined);
}

// Each send of the request has another query, or comes from another address.
TEST(Board, VariantsOfARequestAddUpAtAllInstances)
{
    for (Breadth breadth : { Breadth::Content, Breadth::Pattern }) {
        auto variant = [&](uint64_t n) {
            Keys keys = keysOf(n);
            (breadth == Breadth::Content ? keys.content : keys.pattern) = { 7, 7 };
            return keys;
        };
        Board control;
        Board follower;
        for (uint64_t n = 1; n <= 3; ++n) {
            EXPECT_NE(standingOf(control, variant(9)), Standing::Quarantined);
            Board relay;
            strike(relay, variant(n), 1, n);
            control.merge(relay.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
        }
        EXPECT_EQ(standingOf(control, variant(9)), Standing::Quarantined) << breadthName(breadth);
        EXPECT_EQ(standingOf(control, keysOf(1)), Standing::Clear) << "an unrelated request";
        follower.merge(control.changesSince({}, Scope::Suspected, at(9)).records, Reporter::Relay, at(9));
        EXPECT_EQ(standingOf(follower, variant(9)), Standing::Quarantined) << breadthName(breadth);
    }
}

TEST(Board, AControlInstanceForwardsVariantsThatMakeASuspectTogether)
{
    Board one;
    Board two;
    Board three;
    auto known = two.changesSince({}, Scope::All, at(9)).revisions;
    for (uint64_t n = 1; n <= 3; ++n) {
        Keys keys = keysOf(4 * n);
        keys.pattern = { 4, 4 };
        strike(two, keysOf(n), 1); // So that the readers of each shard have had a report.
        strike(one, keys, 1, n);
    }
    strike(two, keysOf(100), 1);
    known = two.changesSince(known, Scope::All, at(9)).revisions;
    two.merge(one.changesSince({}, Scope::All, at(9)).records, Reporter::Control, at(9));
    three.merge(two.changesSince(known, Scope::All, at(9)).records, Reporter::Control, at(9));
    Keys next = keysOf(28);
    next.pattern = { 4, 4 };
    EXPECT_EQ(standingOf(three, next), Standing::Quarantined);
}

TEST(Board, AnswersToOthersWithTheSameContentDoNotClearTheRequest)
{
    Board board;
    Keys crashing = keysOf(1);
    Keys innocent = keysOf(2);
    innocent.content = crashing.content;
    strike(board, crashing, 3);
    for (int n = 0; n < 20; ++n)
        board.recordAnswer(innocent, group, at(9), at(9));
    EXPECT_EQ(standingOf(board, crashing), Standing::Quarantined);
    EXPECT_EQ(standingOf(board, innocent), Standing::Clear);
}

TEST(Board, AnAnswerGivenBeforeAStrikeIsKnownStandsAgainstIt)
{
    Board elsewhere;
    strike(elsewhere, keysOf(1), 4);
    strike(elsewhere, keysOf(2), 7);
    auto records = elsewhere.changesSince({}, Scope::All, at(9)).records;
    Board answeredBefore;
    answeredBefore.recordAnswer(keysOf(1), group, at(0), at(0));
    answeredBefore.recordAnswer(keysOf(2), group, at(0), at(0));
    answeredBefore.merge(records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(answeredBefore, keysOf(1)), Standing::Suspect) << "more losses are needed";
    EXPECT_EQ(standingOf(answeredBefore, keysOf(2)), Standing::Quarantined);
    Board answeredSince;
    int changes = 0;
    answeredSince.onChange([&] { ++changes; });
    answeredSince.recordAnswer(keysOf(1), group, at(5), at(6));
    answeredSince.merge(records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(answeredSince, keysOf(1)), Standing::Clear);
    EXPECT_EQ(changes, 1) << "so that the others learn of it";
    elsewhere.merge(answeredSince.changesSince({}, Scope::All, at(9)).records, Reporter::Relay, at(9));
    EXPECT_EQ(standingOf(elsewhere, keysOf(1)), Standing::Clear);
}

TEST(Board, IsBoundedAndKeepsTheQuarantined)
{
    Board board;
    strike(board, keysOf(0), 3);
    for (uint64_t n = 1; n <= 5'000; ++n)
        strike(board, keysOf(n), 1);
    EXPECT_LE(board.size(), 3'072u);
    EXPECT_EQ(standingOf(board, keysOf(0)), Standing::Quarantined);
    board.expire(at(9) + Rule {}.quarantineFor + Rule {}.suspectFor);
    EXPECT_EQ(board.size(), 0u);
}

TEST(Board, HeartbeatsOfServersThatAreAliveRefuteStrikes)
{
    Board board;
    strike(board, keysOf(1), 3);
    for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
        for (uint64_t run = 1; run <= 2; ++run)
            board.recordHeartbeat(BackendServerId("s" + std::to_string(run)), Incarnation(1), sequence);
    }
    EXPECT_EQ(standingOf(board, keysOf(1)), Standing::Clear);
}
