#include "Relay/Gatherers.h"
#include "Relay/Assembly.h"

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
    EXPECT_TRUE(pickGatherer(two, FailureDomain("a"), instances[3], pauses, random, TimePoint(Milliseconds(101))));
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
    auto assembly = makeAssembly(fan, { { 0, 2 }, { 1, 3 } });
    EXPECT_FALSE(takeBundle(assembly, 0, part({ "a" }, { { 1, true } })).answer);
    auto step = takeBundle(assembly, 1, part({ "b", "c" }, {}));
    ASSERT_TRUE(step.answer);
    auto& merged = std::get<Merged>(*step.answer);
    EXPECT_EQ(merged.signatures.size(), 3u);
    ASSERT_EQ(merged.missing.size(), 1u);
    EXPECT_EQ(merged.missing[0].place, 2u);
}

TEST(Assembly, ResumesBundlesThatLackTooMuchTogether)
{
    auto fan = fanOf(4, 0.75);
    auto assembly = makeAssembly(fan, { { 0, 2 }, { 1, 3 } });
    takeBundle(assembly, 0, part({ "a" }, { { 1, true } }));
    auto step = takeBundle(assembly, 1, part({ "b" }, { { 0, true } }));
    EXPECT_FALSE(step.answer);
    EXPECT_EQ(step.resume, (std::vector<ResumePart> { { 0, 1 }, { 1, 1 } }));
    auto last = takeBundle(assembly, 1, part({ "c" }, {}));
    ASSERT_TRUE(last.answer) << "the other one is not waited for";
    EXPECT_EQ(std::get<Merged>(*last.answer).signatures, (std::vector<std::string> { "a", "b", "c" }));
    EXPECT_FALSE(takeBundle(assembly, 0, part({ "d" }, {})).answer) << "once";
}

TEST(Assembly, EndsWhenNothingMoreCanCome)
{
    auto fan = fanOf(2, 1);
    auto assembly = makeAssembly(fan, { { 0, 1 } });
    auto step = takeBundle(assembly, 0, part({ "a" }, { { 1, false } }));
    EXPECT_TRUE(step.resume.empty());
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun);
}

TEST(Assembly, ARefusedBundleEndsTheCallIfItIsNeeded)
{
    auto fan = fanOf(4, 0.75);
    auto assembly = makeAssembly(fan, { { 0, 1 }, { 2, 3 } });
    Refusal refusal { Common::makeError(Common::Reason::Overloaded, "admit", "full"), true, Milliseconds(50) };
    auto step = takeBundle(assembly, 0, refusal);
    ASSERT_TRUE(step.answer);
    EXPECT_FALSE(std::get<Refusal>(*step.answer).hasNotRun) << "the other bundle may run";
    EXPECT_FALSE(takeBundle(assembly, 1, part({ "a", "b" }, {})).answer) << "once";
}
