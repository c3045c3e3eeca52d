#include "Relay/Delegation.h"

#include <gtest/gtest.h>

#include <unordered_set>

using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;
using namespace Relay;

namespace {

TimePoint at(double time) { return TimePoint(Milliseconds(time)); }

const Times times { at(1'000), at(1'100), at(2'000) };

} // namespace

// A requester that restarts numbers its bundles from the start, while a gatherer may still hold those of its earlier
// incarnation.
TEST(Delegation, ABundleIsNamedOverTheIncarnationsOfItsRequester)
{
    Common::Address requester("10.0.0.1:7000");
    std::unordered_set<BundleKey> open;
    EXPECT_TRUE(open.insert({ requester, { Incarnation(1), 7 } }).second);
    EXPECT_TRUE(open.insert({ requester, { Incarnation(2), 7 } }).second);
    EXPECT_FALSE(open.insert({ requester, { Incarnation(2), 7 } }).second);
    EXPECT_TRUE(open.insert({ Common::Address("10.0.0.2:7000"), { Incarnation(2), 7 } }).second);
}

TEST(Delegation, ASilentGathererIsProbedInTimeAndOnceMoreAfterTheObjective)
{
    using State = BundleProgress::State;
    std::vector<BundleProgress> bundles { { State::Sent, at(1'000), 0 }, { State::Answered, at(1'000), 0 },
        { State::Local, {}, 0 } };
    auto check = checkBundles(bundles, times, at(1'010));
    EXPECT_TRUE(check.probe.empty());
    EXPECT_EQ(check.next, at(1'040));
    check = checkBundles(bundles, times, at(1'040));
    EXPECT_EQ(check.probe, std::vector<size_t> { 0 });
    EXPECT_EQ(check.next, at(1'110));
    EXPECT_TRUE(checkBundles(bundles, times, at(1'050)).probe.empty());
    check = checkBundles(bundles, times, at(1'111));
    EXPECT_EQ(check.probe, std::vector<size_t> { 0 });
    EXPECT_FALSE(check.next);
    EXPECT_TRUE(checkBundles(bundles, times, at(1'500)).probe.empty());
}

TEST(Delegation, WaitsForThePreliminaryProbe)
{
    std::vector<BundleProgress> bundles { { BundleProgress::State::Probing, {}, 0 } };
    auto check = checkBundles(bundles, times, at(1'500));
    EXPECT_TRUE(check.probe.empty());
    EXPECT_TRUE(check.next);
}
