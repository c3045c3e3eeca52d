#include "Relay/Gatherers.h"
#include "Relay/Assembly.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using Common::Address;
using Common::FailureDomain;
using Common::GroupName;
using Common::Milliseconds;
using Common::TimePoint;
using namespace Relay;

namespace {

Roster::Peer peer(const char* address, const char* domain) { return { Address(address), FailureDomain(domain) }; }

const std::vector<Roster::Peer> instances { peer("a1", "a"), peer("a2", "a"), peer("b1", "b"), peer("c1", "c") };

std::vector<FailureDomain> domains(std::initializer_list<const char*> names)
{
    std::vector<FailureDomain> list;
    for (const char* name : names)
        list.emplace_back(name);
    return list;
}

Routes::FanOut fanOutOf(size_t groups, double share)
{
    Routes::FanOut fanOut;
    fanOut.minimumCoverage = Common::Ratio(share);
    fanOut.topRecords = 2;
    for (size_t i = 0; i < groups; ++i)
        fanOut.groups.emplace_back("g" + std::to_string(i));
    return fanOut;
}

Merged part(std::vector<std::string> signatures, std::vector<MissingGroup> missing)
{
    return { std::move(signatures), std::move(missing), "" };
}

} // namespace

TEST(Gatherers, AreChosenInDomainsWithServersRegardlessOfInputOrder)
{
    auto chosen = chooseGatherers(instances, { FailureDomain("a"), FailureDomain("b"), FailureDomain("d") }, 2);
    ASSERT_EQ(chosen.owners.size(), 2u);
    EXPECT_EQ(chosen.owners.at(FailureDomain("a")).size(), 2u);
    EXPECT_EQ(chosen.owners.at(FailureDomain("b")), (std::vector<Roster::Peer> { instances[2] }));
    EXPECT_TRUE(isGatherer(chosen, instances[0]));
    EXPECT_FALSE(isGatherer(chosen, instances[3]));
    auto reversed = instances;
    std::reverse(reversed.begin(), reversed.end());
    EXPECT_EQ(chooseGatherers(reversed, { FailureDomain("a"), FailureDomain("b") }, 2), chosen);
}

TEST(Gatherers, EachPartitionHasOneOwnerPerDomain)
{
    auto chosen = chooseGatherers(instances, { FailureDomain("a"), FailureDomain("b") }, 5);
    for (size_t partition = 0; partition < 5; ++partition) {
        EXPECT_NE(ownsPartition(chosen, instances[0], partition), ownsPartition(chosen, instances[1], partition))
            << partition;
        EXPECT_TRUE(ownsPartition(chosen, instances[2], partition)) << "alone in its domain";
        EXPECT_FALSE(ownsPartition(chosen, instances[3], partition)) << "a domain without servers";
    }
}

TEST(Gatherers, AJoinMovesFewPartitions)
{
    constexpr size_t partitions = 7;
    constexpr int instances = 20;
    size_t moved = 0;
    for (int round = 0; round < 50; ++round) {
        std::vector<Roster::Peer> many;
        many.reserve(instances + 1);
        for (int i = 0; i < instances; ++i)
            many.push_back(peer(("a" + std::to_string(round * 100 + i)).c_str(), "a"));
        auto before = chooseGatherers(many, { FailureDomain("a") }, partitions).owners.at(FailureDomain("a"));
        many.push_back(peer("joined", "a"));
        auto after = chooseGatherers(many, { FailureDomain("a") }, partitions).owners.at(FailureDomain("a"));
        for (size_t partition = 0; partition < partitions; ++partition)
            moved += before[partition] == after[partition] ? 0 : 1;
    }
    EXPECT_LT(moved, 50 * 1.0) << "of 350; a join should move about 1 in 21";
}

TEST(Gatherers, APausedGathererIsSkipped)
{
    GathererHealth health;
    const FailureDomain a("a");
    Gatherers two { { { a, { instances[0], instances[1] } } } };
    const Roster::Peer& other = instances[3];
    EXPECT_EQ(pickGatherer(two, a, 0, other, health, TimePoint()), Address("a1"));
    EXPECT_EQ(pickGatherer(two, a, 1, other, health, TimePoint()), Address("a2"));
    EXPECT_EQ(pickGatherer(two, a, 2, other, health, TimePoint()), Address("a1"));
    pause(health, Address("a1"), TimePoint(Milliseconds(100)));
    EXPECT_EQ(pickGatherer(two, a, 0, other, health, TimePoint()), Address("a2"));
    EXPECT_FALSE(pickGatherer(two, a, 0, instances[1], health, TimePoint())) << "gathers the bundle itself";
    pause(health, Address("a2"), TimePoint(Milliseconds(100)));
    EXPECT_FALSE(pickGatherer(two, a, 0, other, health, TimePoint()));
    EXPECT_EQ(pickGatherer(two, a, 0, other, health, TimePoint(Milliseconds(101))), Address("a1"));
    EXPECT_FALSE(pickGatherer(two, a, 0, instances[0], {}, TimePoint())) << "owns the partition";
    EXPECT_FALSE(pickGatherer(two, FailureDomain("b"), 0, other, {}, TimePoint())) << "no owner in the domain";
}

TEST(Gatherers, AreTrustedAfterAnAnswerUntilTheyAreSilent)
{
    GathererHealth health;
    EXPECT_FALSE(isTrusted(health, Address("a1"), TimePoint(Milliseconds(1'000))));
    markHeard(health, Address("a1"), TimePoint(Milliseconds(1'000)));
    EXPECT_TRUE(isTrusted(health, Address("a1"), TimePoint(Milliseconds(30'900))));
    EXPECT_FALSE(isTrusted(health, Address("a1"), TimePoint(Milliseconds(31'100))));
    EXPECT_FALSE(isTrusted(health, Address("a2"), TimePoint(Milliseconds(1'000))));
    pause(health, Address("a1"), TimePoint(Milliseconds(3'500)));
    EXPECT_FALSE(isTrusted(health, Address("a1"), TimePoint(Milliseconds(3'600)))) << "probed before its next bundle";
}

// Played as processor time on the busiest instance: the gatherer's sub-requests and the requester's bundles.
TEST(Gatherers, ACallIsSpreadOverAsManyAsItsObjectiveNeeds)
{
    EXPECT_EQ(partitionCount({ 1, Milliseconds(40), 0.12 }), 1u);
    EXPECT_EQ(partitionCount({ 90, Milliseconds(2'000), 0.12 }), 1u) << "time enough for one gatherer";
    EXPECT_EQ(partitionCount({ 90, Milliseconds(40), 1 }), 1u) << "a whole core does it in time";
    EXPECT_EQ(partitionCount({ 90, Milliseconds(40), 0.12 }), 4u) << "never in time: the fastest";
    EXPECT_EQ(partitionCount({ 180, Milliseconds(200), 0.12 }), 3u);
    EXPECT_EQ(partitionCount({ 20, Milliseconds(80), 0.25 }), 1u);
    EXPECT_EQ(partitionCount({ 20, Milliseconds(40), 0.12 }), 2u);
    EXPECT_EQ(partitionCount({ 1'000, Milliseconds(40), 0.12 }), 14u);
    for (size_t groups : { 1, 20, 90, 180, 1'000 }) {
        size_t wider = 0;
        for (double objective : { 1'000, 200, 80, 40, 10 }) {
            size_t width = partitionCount({ groups, Milliseconds(objective), 0.12 });
            EXPECT_GE(width, wider) << "a tighter objective is never gathered by fewer";
            EXPECT_LE(width, groups);
            wider = width;
        }
    }
    std::vector<size_t> sizes(7);
    for (size_t place = 0; place < 90; ++place)
        ++sizes[partitionOf(place, 7)];
    EXPECT_EQ(*std::min_element(sizes.begin(), sizes.end()), 12u);
    EXPECT_EQ(*std::max_element(sizes.begin(), sizes.end()), 13u);
}

TEST(Gatherers, RoutesOverTheSameGroupsHaveTheSameOwners)
{
    Routes::Table table;
    for (double objective : { 200, 80 }) {
        Routes::Route route;
        route.latencyObjective = Milliseconds(objective);
        route.fanOut = fanOutOf(90, 1);
        table.routes.push_back(route);
    }
    table.routes.emplace_back();
    auto counts = partitionCounts(table, 0.12);
    EXPECT_EQ(counts, (std::map<GroupName, size_t> { { GroupName("g0"), 4 } }));
    EXPECT_LT(partitionCount({ 90, Milliseconds(200), 0.12 }), 4u);
}

TEST(Bundles, CoverEachGroupOnceInFewDomains)
{
    // The last group has two servers in one domain, the second to last has none.
    std::vector<std::vector<FailureDomain>> groups { domains({ "a", "b" }), domains({ "b", "c" }),
        domains({ "c", "d" }), domains({ "d", "a" }), {}, domains({ "c", "c" }) };
    for (const char* own : { "a", "b", "c", "d", "e" }) {
        for (uint64_t turn = 0; turn < 4; ++turn) {
            auto bundles = planBundles(groups, FailureDomain(own), turn);
            std::multiset<size_t> seen;
            for (auto& bundle : bundles)
                seen.insert(bundle.groups.begin(), bundle.groups.end());
            EXPECT_EQ(seen, (std::multiset<size_t> { 0, 1, 2, 3, 4, 5 })) << own;
            EXPECT_LE(bundles.size(), 3u) << own;
        }
    }
    EXPECT_EQ(planBundles(groups, FailureDomain("d"), 0).front().domain, FailureDomain("d"));
}

TEST(Assembly, MergesBundlesAndReportsMissingGroups)
{
    auto fanOut = fanOutOf(4, 0.75);
    auto assembly = makeAssembly(fanOut, { { 0, 2 }, { 1, 3 } });
    EXPECT_FALSE(addBundleAnswer(assembly, 0, part({ "a" }, { { 1, true } })).answer);
    auto step = addBundleAnswer(assembly, 1, part({ "b", "c" }, {}));
    ASSERT_TRUE(step.answer);
    auto& merged = std::get<Merged>(*step.answer);
    EXPECT_EQ(merged.signatures.size(), 3u);
    ASSERT_EQ(merged.missing.size(), 1u);
    EXPECT_EQ(merged.missing[0].place, 2u);
}

TEST(Assembly, ResumesBundlesThatTogetherMissTooManyGroups)
{
    auto fanOut = fanOutOf(4, 0.75);
    auto assembly = makeAssembly(fanOut, { { 0, 2 }, { 1, 3 } });
    addBundleAnswer(assembly, 0, part({ "a" }, { { 1, true } }));
    auto step = addBundleAnswer(assembly, 1, part({ "b" }, { { 0, true } }));
    EXPECT_FALSE(step.answer);
    EXPECT_EQ(step.resume, (std::vector<ResumePart> { { 0, 1 }, { 1, 1 } }));
    auto last = addBundleAnswer(assembly, 1, part({ "c" }, {}));
    ASSERT_TRUE(last.answer) << "does not wait for the other bundle";
    EXPECT_EQ(std::get<Merged>(*last.answer).signatures, (std::vector<std::string> { "a", "b", "c" }));
    EXPECT_FALSE(addBundleAnswer(assembly, 0, part({ "d" }, {})).answer) << "answered only once";
}

TEST(Assembly, FailsWhenNoFurtherAnswerCanArrive)
{
    auto fanOut = fanOutOf(2, 1);
    auto assembly = makeAssembly(fanOut, { { 0, 1 } });
    auto step = addBundleAnswer(assembly, 0, part({ "a" }, { { 1, false } }));
    EXPECT_TRUE(step.resume.empty());
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun);
}

TEST(Assembly, ALateBundleDoesNotHoldBackTheOthersOnceTheObjectiveHasPassed)
{
    auto fanOut = fanOutOf(4, 0.75);
    {
        auto assembly = makeAssembly(fanOut, { { 0, 1, 2 }, { 3 } });
        EXPECT_FALSE(addBundleAnswer(assembly, 0, part({ "a", "b", "c" }, {})).answer) << "waits until the objective";
        auto step = objectivePassed(assembly);
        ASSERT_TRUE(step.answer);
        auto& merged = std::get<Merged>(*step.answer);
        EXPECT_EQ(merged.signatures.size(), 3u);
        EXPECT_EQ(merged.missing, (std::vector<MissingGroup> { { 3, false } }));
        EXPECT_FALSE(addBundleAnswer(assembly, 1, part({ "d" }, {})).answer) << "answered only once";
    }
    {
        auto assembly = makeAssembly(fanOut, { { 0, 1 }, { 2 }, { 3 } });
        addBundleAnswer(assembly, 0, part({ "a", "b" }, {}));
        EXPECT_FALSE(objectivePassed(assembly).answer) << "too few groups";
        auto step = addBundleAnswer(assembly, 2, part({ "d" }, {}));
        ASSERT_TRUE(step.answer) << "as soon as enough are in";
        EXPECT_EQ(std::get<Merged>(*step.answer).missing, (std::vector<MissingGroup> { { 2, false } }));
    }
}

TEST(Assembly, CancelsWhatNobodyWaitsFor)
{
    auto fanOut = fanOutOf(4, 0.75);
    auto assembly = makeAssembly(fanOut, { { 0, 2 }, { 1, 3 } });
    addBundleAnswer(assembly, 0, part({ "a" }, { { 1, true } }));
    EXPECT_EQ(bundlesToCancel(assembly, CallerGone {}), std::vector<size_t> { 1 }) << "not delivered yet";
    EXPECT_EQ(bundlesToCancel(assembly, Merged {}), std::vector<size_t> {}) << "delivered at about the same time";
    addBundleAnswer(assembly, 1, part({ "b" }, { { 0, true } }));
    EXPECT_EQ(bundlesToCancel(assembly, CallerGone {}), (std::vector<size_t> { 0, 1 })) << "both resumed";
    auto last = addBundleAnswer(assembly, 1, part({ "c" }, {}));
    ASSERT_TRUE(last.answer);
    EXPECT_EQ(bundlesToCancel(assembly, *last.answer), std::vector<size_t> { 0 }) << "resumed, and no longer needed";
}

TEST(Assembly, ARefusedBundleFailsTheCallIfRequired)
{
    auto fanOut = fanOutOf(4, 0.75);
    auto assembly = makeAssembly(fanOut, { { 0, 1 }, { 2, 3 } });
    Refusal refusal { Common::makeError(Common::Reason::Overloaded, "admit", "full"), true, Milliseconds(50) };
    auto step = addBundleAnswer(assembly, 0, refusal);
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun) << "the other bundle may run";
    EXPECT_FALSE(addBundleAnswer(assembly, 1, part({ "a", "b" }, {})).answer) << "answered only once";
}
