#include "Roster/Departures.h"

#include "Roster/Registry.h"
#include "Roster/ServerView.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using Common::Address;
using Common::BackendServerId;
using Common::Incarnation;
using Common::InstanceId;
using Common::Milliseconds;
using Common::TimePoint;
using Roster::Report;
using Roster::RoundStep;
using Roster::ServerStatus;

namespace {

const BackendServerId server("s");
constexpr Milliseconds drainTime { 3'000 };
const Incarnation now(100'000);
const Address b("b");
const Address c("c");
const Address d("d");

Roster::DepartureRound roundFor(uint64_t incarnation, size_t needed)
{
    return { { server, Incarnation(incarnation), false, Incarnation(1'000) }, needed, {}, false };
}

Roster::KnownStart heard(uint64_t start) { return { Incarnation(start), Incarnation(start), false }; }

Report reportOf(uint64_t incarnation, uint64_t sequence, ServerStatus status)
{
    Report report;
    report.server = server;
    report.group = Common::GroupName("g");
    report.address = Address("10.0.0.1:80");
    report.incarnation = Incarnation(incarnation);
    report.sequence = sequence;
    report.status = status;
    return report;
}

} // namespace

// Guards against departures that are lost with the instance that acknowledged them.
TEST(DepartureRound, IsAcknowledgedWhenEnoughOthersHoldIt)
{
    auto round = roundFor(7, 2);
    EXPECT_EQ(Roster::begin(round), RoundStep::AskAll);
    EXPECT_EQ(Roster::recordReply(round, b, Incarnation(7), Incarnation(7)), RoundStep::Wait);
    EXPECT_EQ(Roster::recordReply(round, b, Incarnation(7), Incarnation(7)), RoundStep::Wait) << "the same one again";
    EXPECT_EQ(Roster::recordReply(round, c, Incarnation(7), Incarnation(0)), RoundStep::AskAgain) << "no reply";
    EXPECT_EQ(Roster::recordReply(round, c, Incarnation(7), Incarnation(7)), RoundStep::Acknowledge);
    EXPECT_EQ(Roster::recordReply(round, d, Incarnation(7), Incarnation(7)), RoundStep::Wait) << "answered once";
    EXPECT_FALSE(Roster::giveUp(round));
    auto alone = roundFor(7, 0);
    EXPECT_EQ(Roster::begin(alone), RoundStep::Acknowledge);
}

TEST(DepartureRound, IsNotAcknowledgedWhenTheTimeIsUp)
{
    auto round = roundFor(7, 1);
    EXPECT_TRUE(Roster::giveUp(round));
    EXPECT_EQ(Roster::recordReply(round, b, Incarnation(7), Incarnation(7)), RoundStep::Wait);
    EXPECT_FALSE(Roster::giveUp(round));
}

// Guards against a departure that is held for an earlier start than the one that left.
TEST(DepartureRound, TakesOverALaterStartThatAnotherInstanceKnows)
{
    auto round = roundFor(7, 2);
    Roster::recordReply(round, b, Incarnation(7), Incarnation(7));
    EXPECT_EQ(Roster::recordReply(round, c, Incarnation(7), Incarnation(9)), RoundStep::AskAll);
    EXPECT_EQ(Roster::recordReply(round, d, Incarnation(7), Incarnation(7)), RoundStep::Wait) << "asked before";
    EXPECT_EQ(Roster::recordReply(round, b, Incarnation(9), Incarnation(9)), RoundStep::Acknowledge);
}

// Guards against an instance that acknowledges alone because it has just started and knows no other one.
TEST(DepartureRound, NeedsAsManyCopiesAsInstancesMayBeLost)
{
    EXPECT_EQ(Roster::copiesNeeded(2, true, 4), 2u);
    EXPECT_EQ(Roster::copiesNeeded(2, true, 0), 0u) << "the only control instance";
    EXPECT_EQ(Roster::copiesNeeded(2, false, 0), 2u);
}

// Guards against a server that is used after its departure was acknowledged, because it had started again and nobody
// had heard of that start yet.
TEST(Departure, WithoutAStartEndsAllThatBeganBeforeIt)
{
    const Incarnation end(101'500); // Half of the drain time later.
    const Incarnation late(101'501);
    auto departure = Roster::departureFrom(server, Incarnation(0), heard(7), { now }, drainTime).value();
    EXPECT_EQ(departure.incarnation, end);
    EXPECT_EQ(Roster::endedIncarnation(departure, Incarnation(3), now, drainTime), end);
    EXPECT_EQ(Roster::endedIncarnation(departure, Incarnation(99'900), now, drainTime), end);
    EXPECT_EQ(Roster::endedIncarnation(departure, Incarnation(104'000), now, drainTime), Incarnation(104'000))
        << "the clock of the receiver is behind";
    EXPECT_EQ(Roster::endedIncarnation(departure, Incarnation(104'000), late, drainTime), end)
        << "read late, after the server has returned";
    auto unknown = Roster::departureFrom(server, Incarnation(0), {}, { now }, drainTime).value();
    EXPECT_EQ(unknown.incarnation, end);
    auto behind = Roster::departureFrom(server, Incarnation(0), heard(104'000), { now }, drainTime).value();
    EXPECT_EQ(behind.incarnation, Incarnation(104'000));
    auto named = Roster::departureFrom(server, Incarnation(8), heard(7), { now }, drainTime).value();
    EXPECT_EQ(named.incarnation, Incarnation(8));
    EXPECT_EQ(Roster::endedIncarnation(named, Incarnation(9), now, drainTime), Incarnation(8));
}

// Guards against a server that is kept out because it starts again as soon as it has drained.
TEST(Departure, AfterDrainingEndsNoStartThatBeginsLater)
{
    Roster::Registry registry;
    Roster::renew(registry, reportOf(7, 5, ServerStatus::Leaving), TimePoint());
    auto drained = Roster::knownStart(registry, server);
    auto departure = Roster::departureFrom(server, Incarnation(0), drained, { now }, drainTime).value();
    EXPECT_EQ(departure.incarnation, now);
    EXPECT_EQ(Roster::endedIncarnation(departure, Incarnation(100'300), now, drainTime), now);
    Roster::leave(registry, server, Incarnation(9), TimePoint());
    EXPECT_FALSE(Roster::knownStart(registry, server).isLeaving) << "a departure that named no start";
}

// Guards against a departure that ends the next start of its server, because a suspended process reads it late.
TEST(Departure, WithoutAStartIsIgnoredWhenNobodyWaitsForTheReply)
{
    Roster::Receipt late { Incarnation(100'000), false };
    EXPECT_FALSE(Roster::departureFrom(server, Incarnation(0), heard(7), late, drainTime).has_value());
    auto named = Roster::departureFrom(server, Incarnation(8), heard(9), late, drainTime);
    EXPECT_EQ(named.value().incarnation, Incarnation(8));
}

// Guards against a late heartbeat that undoes a departure, and against a departure that outlasts its server because
// clocks differ.
TEST(Departure, IsUndoneOnlyByAStartThatGoesOnSendingHeartbeats)
{
    const TimePoint left(Milliseconds(50'000));
    const TimePoint later = left + Roster::longestHeartbeatDelay + Milliseconds(1);
    const InstanceId source("c1");
    auto reportAt = [&source](Roster::Registry& registry, Roster::ServerView& view, uint64_t start, TimePoint now) {
        bool isAccepted
            = Roster::renew(registry, reportOf(start, 1, ServerStatus::Serving), now) == Roster::ReportResult::Accepted;
        Roster::merge(view, source, Roster::changesSince(registry, Common::Revision(0)), now);
        return isAccepted;
    };
    Roster::Registry registry;
    Roster::ServerView view;
    reportAt(registry, view, 7, TimePoint());
    auto departure = Roster::departureFrom(server, Incarnation(0), heard(7), { Incarnation(100) }, drainTime).value();
    Roster::leave(registry, server, departure.incarnation, left);
    EXPECT_FALSE(reportAt(registry, view, 9, left)) << "a start that nobody had heard of";
    EXPECT_FALSE(reportAt(registry, view, 9, left + Milliseconds(4'000)));
    EXPECT_TRUE(Roster::eligibleServers(view).empty());
    EXPECT_FALSE(reportAt(registry, view, 7, later)) << "it was known when it left";
    EXPECT_TRUE(Roster::eligibleServers(view).empty());
    EXPECT_TRUE(reportAt(registry, view, 9, later));
    EXPECT_EQ(Roster::eligibleServers(view).size(), 1u);
}

// Guards against relays and control instances that disagree on a departure because they read it before, between or
// after heartbeats of this start and of others.
TEST(Departure, HasTheSameEffectInAnyOrder)
{
    for (uint32_t seed = 1; seed <= 500; ++seed) {
        std::mt19937 random(seed);
        std::vector<Report> reports;
        for (uint32_t n = 2 + random() % 8; n > 0; --n) {
            bool isLeaving = random() % 3 == 0;
            reports.push_back(
                reportOf(1 + random() % 3, 1 + n, isLeaving ? ServerStatus::Leaving : ServerStatus::Serving));
        }
        Incarnation latest;
        Incarnation ended;
        for (const Report& report : reports) {
            latest = std::max(latest, report.incarnation);
            if (report.status == ServerStatus::Leaving)
                ended = std::max(ended, report.incarnation);
        }
        for (int order = 0; order < 5; ++order) {
            std::shuffle(reports.begin(), reports.end(), random);
            Roster::Registry registry;
            Roster::ServerView view;
            std::vector<Report> repeated = reports;
            repeated.insert(repeated.end(), reports.begin(), reports.begin() + static_cast<long>(reports.size() / 2));
            for (const Report& report : repeated) {
                if (report.status == ServerStatus::Leaving)
                    Roster::leave(registry, server, report.incarnation, TimePoint());
                else
                    Roster::renew(registry, report, TimePoint());
                InstanceId source(std::to_string(random() % 3));
                Roster::merge(view, source, { false, Common::Revision(1), { report } }, TimePoint());
            }
            EXPECT_EQ(Roster::knownStart(registry, server).latest, latest) << "seed " << seed;
            EXPECT_EQ(registry.entries.at(server).report.status == ServerStatus::Leaving, ended == latest)
                << "seed " << seed;
            EXPECT_EQ(Roster::eligibleServers(view).empty(), ended == latest) << "seed " << seed;
        }
    }
}
