#include "Suspects/Board.h"

#include <gtest/gtest.h>

using namespace Suspects;
using Common::BackendServerId;
using Common::ContentDigest;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const GroupName group { "g" };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

ContentDigest contentOf(uint64_t n) { return { n, n * 977 + 1 }; }

Strike strikeOf(uint64_t run, double ms)
{
    return { BackendServerId("s" + std::to_string(run)), Incarnation(1), RunId(run), at(ms), false, std::nullopt };
}

void strike(Board& board, const ContentDigest& content, uint64_t runs)
{
    for (uint64_t run = 1; run <= runs; ++run)
        board.addStrike(content, group, strikeOf(run, static_cast<double>(run)));
}

} // namespace

TEST(Board, TellsFollowersOfSuspectsOnlyAndOtherControlInstancesAll)
{
    Board board;
    strike(board, contentOf(1), 1);
    strike(board, contentOf(2), 2);
    auto suspected = board.changesSince({}, Scope::Suspected, at(9));
    ASSERT_EQ(suspected.records.size(), 1u);
    EXPECT_EQ(suspected.records[0].content, contentOf(2));
    EXPECT_EQ(board.changesSince({}, Scope::All, at(9)).records.size(), 2u);
    EXPECT_TRUE(board.changesSince(suspected.revisions, Scope::All, at(9)).records.empty());
    board.recordCompletion(contentOf(2), group, at(9), at(9));
    auto cleared = board.changesSince(suspected.revisions, Scope::Suspected, at(9));
    ASSERT_EQ(cleared.records.size(), 1u) << "who was told of a suspect is told that it is cleared";
    EXPECT_TRUE(cleared.records[0].strikes.empty());
}

TEST(Board, StrikesThatTwoInstancesReportAddUp)
{
    Board control;
    Board one;
    Board two;
    one.addStrike(contentOf(1), group, strikeOf(1, 0));
    two.addStrike(contentOf(1), group, strikeOf(2, 0));
    two.addStrike(contentOf(1), group, strikeOf(3, 0));
    control.merge(one.changesSince({}, Scope::All, at(1)).records, at(1));
    control.merge(two.changesSince({}, Scope::All, at(1)).records, at(1));
    EXPECT_EQ(control.verdictOn(contentOf(1), at(1)).standing, Standing::Quarantined);
    one.merge(control.changesSince({}, Scope::Suspected, at(1)).records, at(1));
    EXPECT_EQ(one.verdictOn(contentOf(1), at(1)).standing, Standing::Quarantined);
}

TEST(Board, AnAnswerAfterTheFirstStrikeRefutesAReportThatComesLater)
{
    Board elsewhere;
    strike(elsewhere, contentOf(1), 3);
    auto records = elsewhere.changesSince({}, Scope::All, at(10)).records;
    Board answeredBefore;
    answeredBefore.recordCompletion(contentOf(1), group, at(0), at(0));
    answeredBefore.merge(records, at(10));
    EXPECT_EQ(answeredBefore.verdictOn(contentOf(1), at(10)).standing, Standing::Quarantined);
    Board answeredSince;
    int changes = 0;
    answeredSince.onChange([&] { ++changes; });
    answeredSince.recordCompletion(contentOf(1), group, at(5), at(6));
    answeredSince.merge(records, at(10));
    EXPECT_EQ(answeredSince.verdictOn(contentOf(1), at(10)).standing, Standing::Clear);
    EXPECT_EQ(changes, 1) << "so that the others learn of it";
    elsewhere.merge(answeredSince.changesSince({}, Scope::All, at(11)).records, at(11));
    EXPECT_EQ(elsewhere.verdictOn(contentOf(1), at(11)).standing, Standing::Clear);
}

TEST(Board, IsBoundedAndKeepsTheQuarantined)
{
    Board board;
    strike(board, contentOf(0), 3);
    for (uint64_t n = 1; n <= 5'000; ++n)
        strike(board, contentOf(n), 1);
    EXPECT_LE(board.size(), 1'024u);
    EXPECT_EQ(board.verdictOn(contentOf(0), at(9)).standing, Standing::Quarantined);
    board.expire(at(9) + Rule {}.quarantineFor + Rule {}.suspectFor);
    EXPECT_EQ(board.size(), 0u);
}

TEST(Board, HeartbeatsOfServersThatAreAliveRefuteStrikes)
{
    Board board;
    strike(board, contentOf(1), 3);
    for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
        for (uint64_t run = 1; run <= 2; ++run)
            board.recordHeartbeat(BackendServerId("s" + std::to_string(run)), Incarnation(1), sequence);
    }
    EXPECT_EQ(board.verdictOn(contentOf(1), at(9)).standing, Standing::Clear);
}
