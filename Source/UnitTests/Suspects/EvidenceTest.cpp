#include "Suspects/Evidence.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

using namespace Suspects;
using Common::BackendServerId;
using Common::FailureDomain;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

const Rule rule;
const GroupName first { "g1" };
const GroupName second { "g2" };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

// Sent 10 ms before it was lost.
Strike strikeOf(uint64_t server, uint64_t run, double ms, const GroupName& group = first, uint64_t variant = 1)
{
    return { BackendServerId(std::to_string(server)), Incarnation(server), group, FailureDomain("a"), RunId(run),
        VariantId(variant), at(ms - 10), at(ms), false, false, false, std::nullopt };
}

Standing standingAt(const Evidence& evidence, double ms) { return judge(evidence, rule, at(ms)).standing; }

Evidence evidenceOf(Breadth breadth) { return { breadth, {}, {}, Revision(1) }; }

} // namespace

TEST(Evidence, ThreeRunsThatLoseServersQuarantine)
{
    Evidence evidence;
    EXPECT_TRUE(addStrike(evidence, strikeOf(1, 1, 0), rule));
    EXPECT_EQ(standingAt(evidence, 0), Standing::Clear);
    EXPECT_FALSE(addStrike(evidence, strikeOf(1, 1, 0), rule)) << "the same strike, reported twice";
    addStrike(evidence, strikeOf(2, 2, 10), rule);
    EXPECT_EQ(standingAt(evidence, 10), Standing::Suspect);
    addStrike(evidence, strikeOf(3, 3, 20), rule);
    EXPECT_EQ(standingAt(evidence, 20), Standing::Quarantined);
    EXPECT_EQ(judge(evidence, rule, at(120)).remaining, rule.quarantineFor - Milliseconds(100));
}

TEST(Evidence, ServersLostInOneRunCountOnce)
{
    Evidence evidence;
    for (uint64_t server = 0; server < 20; ++server)
        addStrike(
            evidence, strikeOf(server, 1, static_cast<double>(server * 200), GroupName(std::to_string(server))), rule);
    EXPECT_EQ(standingAt(evidence, 4'000), Standing::Clear);
    EXPECT_LE(evidence.strikes.size(), rule.maximumStrikesOfRun);
}

TEST(Evidence, StrikesOfARunThatAreRefutedHideNoOtherServerOfIt)
{
    Evidence evidence;
    for (uint64_t server = 1; server <= rule.maximumStrikesOfRun; ++server) {
        addStrike(evidence, strikeOf(server, 1, 0), rule);
        for (uint64_t sequence = 1; sequence <= 2; ++sequence)
            recordHeartbeat(evidence, BackendServerId(std::to_string(server)), Incarnation(server), sequence);
    }
    EXPECT_EQ(countLosses(evidence, rule, at(1)), 0u);
    EXPECT_TRUE(addStrike(evidence, strikeOf(9, 1, 1), rule));
    EXPECT_EQ(countLosses(evidence, rule, at(1)), 1u);
}

// The first run of a gather loses servers of more groups than are kept.
TEST(Evidence, LaterRunsInOtherGroupsCountAfterARunThatLostManyGroups)
{
    for (uint64_t groups : { 8u, 20u, 1'000u }) {
        Evidence evidence;
        uint64_t server = 0;
        for (uint64_t group = 0; group < groups; ++group)
            addStrike(evidence, strikeOf(server++, 1, 0, GroupName(std::to_string(group))), rule);
        for (uint64_t run = 2; run <= 3; ++run) {
            EXPECT_NE(standingAt(evidence, 0), Standing::Quarantined);
            EXPECT_TRUE(addStrike(evidence,
                strikeOf(server++, run, static_cast<double>(run) * 1'000, GroupName("new" + std::to_string(run))),
                rule));
        }
        auto verdict = judge(evidence, rule, at(3'000));
        EXPECT_EQ(verdict.standing, Standing::Quarantined) << groups << " groups";
        EXPECT_FALSE(verdict.group) << "closed for all groups";
    }
}

TEST(Evidence, ServersOfTwoFailureDomainsThatOneCallLosesMakeItASuspect)
{
    Evidence evidence;
    for (uint64_t purpose : { 0, 1 }) {
        EXPECT_EQ(standingAt(evidence, 0), Standing::Clear);
        for (uint64_t server = 0; server < 20; ++server) {
            Strike strike = strikeOf(20 * purpose + server, 0, 0, GroupName(std::to_string(server)));
            strike.run = runOf(Common::RequestId("r"), purpose);
            strike.domain = FailureDomain(std::to_string(purpose));
            addStrike(evidence, strike, rule);
        }
    }
    EXPECT_EQ(standingAt(evidence, 0), Standing::Suspect);
}

TEST(Evidence, ManyStrikesOfManyRunsStayBoundedAndQuarantined)
{
    Evidence evidence;
    for (uint64_t n = 0; n < 500; ++n) {
        addStrike(evidence, strikeOf(n, n / 10, static_cast<double>(n), GroupName(std::to_string(n % 20))), rule);
        EXPECT_LE(evidence.strikes.size(), rule.maximumStrikes);
    }
    EXPECT_EQ(standingAt(evidence, 500), Standing::Quarantined);
}

TEST(Evidence, LossesAtTheSameTimeCountOnceUnlessOneSendFollowedTheOther)
{
    for (uint64_t domains : { 1u, 2u }) {
        Evidence lost;
        for (uint64_t run = 1; run <= 8; ++run) {
            Strike strike = strikeOf(run, run, static_cast<double>(run));
            strike.domain = FailureDomain(std::to_string(run % domains));
            addStrike(lost, strike, rule);
        }
        EXPECT_EQ(countLosses(lost, rule, at(9)), domains);
    }
    Evidence slow;
    for (uint64_t run = 1; run <= 3; ++run) {
        // Each send takes longer than the pause between two.
        Strike strike = strikeOf(run, run, static_cast<double>(3'000 + 400 * run));
        strike.sentAt = at(static_cast<double>(400 * run));
        addStrike(slow, strike, rule);
    }
    EXPECT_EQ(standingAt(slow, 4'200), Standing::Quarantined);
}

TEST(Evidence, AServerThatBreaksConnectionsAndLivesOnCountsOnce)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 20; ++run)
        addStrike(evidence, strikeOf(1, run, static_cast<double>(1'000 * run)), rule);
    EXPECT_EQ(standingAt(evidence, 20'000), Standing::Clear);
    Strike nextStart = strikeOf(1, 21, 21'000);
    nextStart.incarnation = Incarnation(2);
    addStrike(evidence, nextStart, rule);
    EXPECT_EQ(standingAt(evidence, 21'000), Standing::Suspect);
}

TEST(Evidence, AGroupThatIsLostAloneDoesNotCloseTheOthers)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run)), rule);
    Verdicts verdicts { judge(evidence, rule, at(3'000)) };
    EXPECT_FALSE(maySend(verdicts, first, true));
    EXPECT_TRUE(maySend(verdicts, second, true));
    EXPECT_TRUE(maySend(verdicts, second, false));
    EXPECT_EQ(standingInAllGroups(verdicts), Standing::Clear);
    EXPECT_EQ(worstStanding(verdicts), Standing::Quarantined);
    addStrike(evidence, strikeOf(9, 4, 4'000, second), rule);
    verdicts = { judge(evidence, rule, at(4'000)) };
    EXPECT_FALSE(maySend(verdicts, second, true)) << "two groups: the request itself is blamed";
}

TEST(Evidence, ASuspectGetsFirstSendsOnly)
{
    Evidence evidence;
    addStrike(evidence, strikeOf(1, 1, 0), rule);
    EXPECT_TRUE(maySend({ judge(evidence, rule, at(0)) }, first, false)) << "one loss proves nothing";
    addStrike(evidence, strikeOf(2, 2, 1'000), rule);
    EXPECT_TRUE(maySend({ judge(evidence, rule, at(1'000)) }, first, true));
    EXPECT_FALSE(maySend({ judge(evidence, rule, at(1'000)) }, first, false));
}

TEST(Evidence, AnAnswerStandsAgainstOneEarlierStrikeOfItsGroup)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 7; ++run)
        addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run)), rule);
    const Evidence before = evidence;
    EXPECT_FALSE(recordAnswer(evidence, first, VariantId(1), at(500), at(7'100))) << "sent before the strikes";
    EXPECT_FALSE(recordAnswer(evidence, second, VariantId(1), at(7'050), at(7'100)))
        << "another group holds other data";
    for (size_t losses = 6; losses > 0; --losses) {
        EXPECT_TRUE(recordAnswer(evidence, first, VariantId(1), at(7'050), at(7'100)));
        EXPECT_EQ(countLosses(evidence, rule, at(7'100)), losses);
        EXPECT_EQ(standingAt(evidence, 7'100),
            losses >= 6       ? Standing::Quarantined
                : losses >= 4 ? Standing::Suspect
                              : Standing::Clear);
    }
    EXPECT_TRUE(recordAnswer(evidence, first, VariantId(1), at(7'050), at(7'100)));
    EXPECT_FALSE(recordAnswer(evidence, first, VariantId(1), at(7'050), at(7'100)));
    for (const Strike& strike : before.strikes)
        EXPECT_FALSE(addStrike(evidence, strike, rule)) << "reports from before do not restore it";
    EXPECT_EQ(countLosses(evidence, rule, at(7'100)), 0u);
    Evidence late = before;
    for (const Strike& strike : evidence.strikes)
        EXPECT_TRUE(addStrike(late, strike, rule));
    EXPECT_EQ(countLosses(late, rule, at(7'100)), 0u);
}

TEST(Evidence, ARequestThatWasAnsweredShortlyBeforeNeedsMoreLosses)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 6; ++run) {
        EXPECT_NE(standingAt(evidence, 6'000), Standing::Quarantined);
        Strike strike = strikeOf(run, run, static_cast<double>(1'000 * run));
        strike.wasAnswered = run == 1;
        addStrike(evidence, strike, rule);
    }
    EXPECT_EQ(standingAt(evidence, 6'000), Standing::Quarantined);
    EXPECT_LE(judge(evidence, rule, at(6'000)).remaining, rule.quarantineAnsweredFor);
}

TEST(Evidence, OneQueryMakesAPatternASuspectAndAnotherOneClosesIt)
{
    Evidence evidence = evidenceOf(Breadth::Pattern);
    for (uint64_t run = 1; run <= 9; ++run)
        addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run), first, 1), rule);
    EXPECT_EQ(standingAt(evidence, 9'000), Standing::Suspect) << "the request key is closed for this query";
    addStrike(evidence, strikeOf(1, 11, 10'500, first, 2), rule);
    EXPECT_EQ(standingAt(evidence, 10'500), Standing::Suspect) << "the same server, lost once";
    addStrike(evidence, strikeOf(11, 12, 11'000, first, 2), rule);
    EXPECT_EQ(standingAt(evidence, 11'000), Standing::Quarantined);
}

TEST(Evidence, AContentIsClosedAfterLossesUnderThreeAddresses)
{
    Evidence evidence = evidenceOf(Breadth::Content);
    for (uint64_t address = 1; address <= 3; ++address) {
        EXPECT_NE(standingAt(evidence, 36'000), Standing::Quarantined);
        for (uint64_t n = 0; n < 9; ++n) {
            uint64_t run = 9 * address + n;
            addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run), first, address), rule);
        }
    }
    EXPECT_EQ(standingAt(evidence, 36'000), Standing::Quarantined);
}

TEST(Evidence, TheSecondHeartbeatOfTheSameStartRefutesAStrike)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run)), rule);
    EXPECT_FALSE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 7)) << "may be older than the strike";
    EXPECT_FALSE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 7));
    EXPECT_EQ(standingAt(evidence, 3'000), Standing::Quarantined);
    EXPECT_TRUE(recordHeartbeat(evidence, BackendServerId("1"), Incarnation(1), 8));
    EXPECT_EQ(standingAt(evidence, 3'000), Standing::Suspect);
    recordHeartbeat(evidence, BackendServerId("2"), Incarnation(5), 1);
    recordHeartbeat(evidence, BackendServerId("2"), Incarnation(5), 2);
    EXPECT_EQ(standingAt(evidence, 3'000), Standing::Suspect)
        << "a later start says nothing about the one that was lost";
}

TEST(Evidence, AQuarantineEndsAndOneMoreLossRestoresIt)
{
    Evidence evidence;
    for (uint64_t run = 1; run <= 3; ++run)
        addStrike(evidence, strikeOf(run, run, static_cast<double>(1'000 * run)), rule);
    double end = 3'000 + rule.quarantineFor.value();
    EXPECT_EQ(standingAt(evidence, end - 1), Standing::Quarantined);
    EXPECT_EQ(standingAt(evidence, end), Standing::Suspect);
    addStrike(evidence, strikeOf(4, 4, end), rule);
    EXPECT_EQ(standingAt(evidence, end), Standing::Quarantined);
    EXPECT_TRUE(isExpired(evidence, rule, at(end) + rule.quarantineFor + rule.suspectFor));
}

TEST(Evidence, ARequestThatWasAnsweredBeforeIsClosedForAShortTimeThatGrowsWithFurtherLosses)
{
    Evidence evidence;
    addStrike(evidence, strikeOf(1, 1, 0), rule);
    recordAnswer(evidence, first, VariantId(1), at(1), at(1));
    double now = 0;
    for (uint64_t run = 2; run <= 7; ++run) {
        EXPECT_NE(standingAt(evidence, now), Standing::Quarantined);
        addStrike(evidence, strikeOf(run, run, now = static_cast<double>(1'000 * run)), rule);
    }
    double expected = rule.quarantineAnsweredFor.value();
    EXPECT_LE(expected, 10'000);
    for (uint64_t run = 8; expected < rule.quarantineFor.value(); ++run) {
        EXPECT_EQ(standingAt(evidence, now), Standing::Quarantined);
        EXPECT_EQ(judge(evidence, rule, at(now)).remaining.value(), expected);
        now += expected;
        EXPECT_EQ(standingAt(evidence, now), Standing::Suspect) << "a trial can clear it";
        EXPECT_TRUE(maySend({ judge(evidence, rule, at(now)) }, first, true));
        addStrike(evidence, strikeOf(run, run, now), rule);
        expected *= rule.quarantineGrowth;
    }
    EXPECT_EQ(judge(evidence, rule, at(now)).remaining, rule.quarantineFor);
}

TEST(Evidence, ReportsInAnyOrderGiveTheSameVerdict)
{
    for (uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<Strike> strikes;
        for (uint64_t n = 0; n < 12; ++n) {
            Strike strike = strikeOf(random() % 8, random() % 5, static_cast<double>(random() % 20) * 150,
                random() % 2 ? first : second, random() % 4);
            strike.isAnswered = random() % 5 == 0;
            strike.isRefuted = random() % 5 == 0;
            strikes.push_back(strike);
        }
        for (Breadth breadth : allBreadths) {
            std::optional<size_t> expected;
            for (int order = 0; order < 5; ++order) {
                std::shuffle(strikes.begin(), strikes.end(), random);
                // A server is lost at one time, whoever reports it.
                Evidence evidence = evidenceOf(breadth);
                for (const Strike& strike : strikes) {
                    Strike same = strike;
                    same.at = at(static_cast<double>(std::stoull(same.server.value()) * 150));
                    same.sentAt = same.at - Milliseconds(10);
                    same.run = RunId(std::stoull(same.server.value()) % 5);
                    same.group = std::stoull(same.server.value()) % 2 ? first : second;
                    addStrike(evidence, same, rule);
                }
                size_t losses = countLosses(evidence, rule, at(4'000));
                EXPECT_EQ(losses, expected.value_or(losses)) << "seed " << seed << ", " << breadthName(breadth);
                expected = losses;
            }
        }
    }
}
