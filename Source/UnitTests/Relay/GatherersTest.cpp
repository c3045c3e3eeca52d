#include "Relay/Assembly.h"
#include "Relay/Gatherers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using Common::Address;
using Common::FailureDomain;
using Common::GroupName;
using Common::Milliseconds;
using Common::Random;
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

Routes::Fan fanOf(size_t groups, double share)
{
    Routes::Fan fan;
    fan.minimumShare = Common::Ratio(share);
    fan.topRecords = 2;
    for (size_t i = 0; i < groups; ++i)
        fan.groups.emplace_back("g" + std::to_string(i));
    return fan;
}

Merged part(std::vector<std::string> signatures, std::vector<MissingGroup> missing)
{
    return { std::move(signatures), std::move(missing), "" };
}

} // namespace

TEST(Gatherers, StandWhereTheServersAreAndAreFew)
{
    auto chosen = chooseGatherers(instances, { { FailureDomain("a"), 10 }, { FailureDomain("b"), 10 } }, 2);
    ASSERT_EQ(chosen.size(), 2u);
    EXPECT_NE(chosen[0].domain, chosen[1].domain);
    EXPECT_FALSE(isGatherer(chosen, Address("c1")));
    auto reversed = instances;
    std::reverse(reversed.begin(), reversed.end());
    EXPECT_EQ(chooseGatherers(reversed, { { FailureDomain("a"), 10 }, { FailureDomain("b"), 10 } }, 2), chosen);
}

TEST(Gatherers, ASilentOneIsPassedBy)
{
    Random random(1);
    GathererPauses pauses;
    Gatherers two { instances[0], instances[1] };
    pause(pauses, Address("a1"), TimePoint(Milliseconds(100)));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(pickGatherer(two, FailureDomain("a"), instances[3], pauses, random, TimePoint()), Address("a2"));
    pause(pauses, Address("a2"), TimePoint(Milliseconds(100)));
    EXPECT_FALSE(pickGatherer(two, FailureDomain("a"), instances[3], pauses, random, TimePoint()));
    EXPECT_TRUE(
        pickGatherer(two, FailureDomain("a"), instances[3], pauses, random, TimePoint(Milliseconds(101))));
    EXPECT_FALSE(pickGatherer(two, FailureDomain("a"), instances[0], {}, random, TimePoint())) << "is one itself";
}

TEST(Bundles, CoverEachGroupOnceInFewDomains)
{
    // The last group has two servers in one domain, the one before it has none.
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

TEST(Assembly, MergesBundlesAndSaysWhatIsMissing)
{
    auto fan = fanOf(4, 0.75);
    auto assembly = makeAssembly(fan, 2, 2);
    EXPECT_FALSE(takeBundle(assembly, { 0, 2 }, part({ "a" }, { { 1, 1 } })).answer);
    auto step = takeBundle(assembly, { 1, 3 }, part({ "b", "c" }, {}));
    ASSERT_TRUE(step.answer);
    auto& merged = std::get<Merged>(*step.answer);
    EXPECT_EQ(merged.signatures.size(), 3u);
    EXPECT_EQ(merged.missing, (std::vector<MissingGroup> { { 2, 1 } }));
}

TEST(Assembly, AsksOnceMoreForWhatIsMissingTooMuch)
{
    auto fan = fanOf(4, 0.75);
    auto assembly = makeAssembly(fan, 2, 2);
    takeBundle(assembly, { 0, 2 }, part({ "a" }, { { 1, 1 } }));
    auto step = takeBundle(assembly, { 1, 3 }, part({ "b" }, { { 0, 1 } }));
    EXPECT_FALSE(step.answer);
    EXPECT_EQ(step.askAgain, (std::vector<MissingGroup> { { 2, 1 }, { 1, 1 } }));
    EXPECT_EQ(step.needed, 1u);
    auto last = takeBundle(assembly, { 2, 1 }, part({ "c" }, { { 1, 2 } }));
    ASSERT_TRUE(last.answer);
    EXPECT_EQ(std::get<Merged>(*last.answer).missing, (std::vector<MissingGroup> { { 1, 2 } }));
}

TEST(Assembly, DoesNotAskAgainWhatRanOftenEnough)
{
    auto fan = fanOf(2, 1);
    auto assembly = makeAssembly(fan, 2, 1);
    auto step = takeBundle(assembly, { 0, 1 }, part({ "a" }, { { 1, 2 } }));
    EXPECT_TRUE(step.askAgain.empty());
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun);
}

TEST(Assembly, ARefusedBundleEndsTheCallIfItIsNeeded)
{
    auto fan = fanOf(4, 0.75);
    auto assembly = makeAssembly(fan, 2, 2);
    Refusal refusal { Common::makeError(Common::Reason::Overloaded, "admit", "full"), true, Milliseconds(50) };
    auto step = takeBundle(assembly, { 0, 1 }, refusal);
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun) << "the other bundle may run";
    EXPECT_TRUE(step.askAgain.empty());
    EXPECT_FALSE(takeBundle(assembly, { 2, 3 }, part({ "a", "b" }, {})).answer) << "once";
}
