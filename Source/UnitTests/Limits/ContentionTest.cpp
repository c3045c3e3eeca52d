#include "PlayedLoad.h"

#include <gtest/gtest.h>

#include <algorithm>

using PlayedLoad::Counts;
using PlayedLoad::Kind;
using PlayedLoad::Order;
using PlayedLoad::Outcome;
using PlayedLoad::play;
using PlayedLoad::Source;

// The kinds and their mix are those of docs/design/demands.md. The rates load two slots to 0.6 in usual times. Each
// test also plays the load in the former order, which must miss the goal: otherwise the load would not be scarce
// enough.
namespace {

constexpr uint64_t seeds = 5;
constexpr double urgentRate = 38.7;
constexpr double patientRate = 67.2;
constexpr double burstEnd = 15'000;

const Kind urgent { "urgent", 0, 5, 50, 300 };
const Kind patient { "patient", 1, 15, 150, 800 };
const Kind single { "single", 2, 5, 1'000, 3'000 };

struct Play {
    Outcome former;
    Outcome now;
};

std::vector<Play> playAll(
    const std::vector<Kind>& kinds, const std::vector<Source>& sources, const PlayedLoad::Stall& stall = {})
{
    std::vector<Play> plays;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        plays.push_back(
            { play(kinds, sources, Order::Former, seed, stall), play(kinds, sources, Order::ByPriority, seed, stall) });
    }
    return plays;
}

std::vector<Source> burstOfPatient()
{
    return { { 0, "", urgentRate }, { 1, "", patientRate }, { 1, "", patientRate * 1.5, 5'000, burstEnd } };
}

// The least share of calls in time among the tenants beside the flooding one.
double worstOfOthers(const Outcome& outcome)
{
    double worst = 1;
    for (const auto& [tenant, counts] : outcome.byTenant)
        worst = tenant == "flood" ? worst : std::min(worst, counts.servedInTime());
    return worst;
}

} // namespace

// Guards against urgent calls that are refused or late because 2.5 times the usual number of patient calls arrive.
TEST(Contention, ABurstOfPatientCallsLeavesUrgentOnesInTime)
{
    for (Play& p : playAll({ urgent, patient }, burstOfPatient())) {
        EXPECT_GE(p.now.byRoute["urgent"].servedInTime(), 0.99) << p.now.byRoute["urgent"];
        EXPECT_LT(p.former.byRoute["urgent"].servedInTime(), 0.99) << p.former.byRoute["urgent"];
        EXPECT_GE(p.now.byRoute["patient"].servedInTime(), p.former.byRoute["patient"].servedInTime())
            << "admitted too many that were late: " << p.now.byRoute["patient"];
        EXPECT_GE(p.now.byRoute["patient"].served(), p.former.byRoute["patient"].served() - 0.05)
            << "refused more often: " << p.now.byRoute["patient"];
    }
}

// Guards against tenants that pay for one that sends 7.5 times its usual rate without a quota.
TEST(Contention, AFloodOfOneTenantLeavesTheOthersInTime)
{
    std::vector<Source> sources { { 0, "flood", 40 * 7.5 } };
    for (int i = 0; i < 83; ++i)
        sources.push_back({ 0, "tenant-" + std::to_string(i), 2 });
    for (Play& p : playAll({ urgent }, sources)) {
        EXPECT_GE(worstOfOthers(p.now), 0.95);
        EXPECT_LT(worstOfOthers(p.former), 0.95);
        Counts flood = p.now.byTenant["flood"];
        EXPECT_GE(flood.served(), p.now.all.served() / 4) << flood;
        EXPECT_LE(flood.late, flood.calls / 5) << "admitted too many: " << flood;
    }
}

// Guards against a kind that starves: without its turns in the queue and its minimum in the shedder it would.
TEST(Contention, NoKindIsServedLessThanAQuarterAsOftenAsAll)
{
    for (Play& p :
        playAll({ urgent, patient, single }, { { 0, "", urgentRate * 15 }, { 1, "", patientRate }, { 2, "", 25 } })) {
        for (const auto& [route, counts] : p.now.byRoute)
            EXPECT_GE(counts.served(), p.now.all.served() / 4) << route << ": " << counts;
    }
}

// Guards against the penalty for a kind that is served less often than a less urgent one, by more than 5 in 100.
TEST(Contention, NoLessUrgentKindIsServedMoreOften)
{
    for (double factor : { 1.0, 2.0, 15.0 }) {
        for (Play& p : playAll({ urgent, patient },
                 { { 0, "", urgentRate * factor }, { 1, "", patientRate * std::min(factor, 2.0) } }))
            EXPECT_GE(p.now.byRoute["urgent"].served(), p.now.byRoute["patient"].served() - 0.05) << factor << " times";
    }
    for (Play& p : playAll({ urgent, patient }, { { 0, "", urgentRate * 15 }, { 1, "", patientRate } }))
        EXPECT_LT(p.former.byRoute["urgent"].served(), p.former.byRoute["patient"].served() - 0.05);
}

// Guards against queues that outlast their cause, so that calls long after it are late. After the burst, 150 ms of work
// at most are admitted, of which 0.4 of the capacity is left for draining; by the deadline of its last caller, the
// retries have ended too.
TEST(Contention, NoQueueStandsAfterABurst)
{
    for (Play& p : playAll({ urgent, patient }, burstOfPatient())) {
        auto burst = p.now.queueLengths.begin() + static_cast<std::ptrdiff_t>(burstEnd / 10);
        auto drained = std::find(burst, p.now.queueLengths.end(), 0u);
        EXPECT_LE((drained - burst) * 10, patient.deadline);
    }
}

// Guards against waiters that hear nothing until their deadline because no server takes their requests.
TEST(Contention, WaitersAreRefusedWhenTheyCanNoLongerBeInTime)
{
    for (Play& p : playAll({ urgent, patient }, { { 0, "", urgentRate }, { 1, "", patientRate } }, { 5'000, 7'000 })) {
        EXPECT_EQ(p.now.all.unanswered, 0) << p.now.all;
        EXPECT_GT(p.now.all.refusedLate, 0) << p.now.all;
        EXPECT_GT(p.former.all.unanswered, 0) << p.former.all;
    }
}
