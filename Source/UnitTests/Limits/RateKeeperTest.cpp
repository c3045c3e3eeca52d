#include "Limits/RateKeeper.h"

#include <gtest/gtest.h>

using namespace Limits;
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const std::vector<Address> all { Address("a:1"), Address("b:1"), Address("c:1"), Address("d:1") };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

std::vector<Address> without(const Address& address)
{
    auto rest = all;
    std::erase(rest, address);
    return rest;
}

KeeperView viewOf(const Address& self)
{
    KeeperView view;
    setInstances(view, all, self, at(0));
    renewLease(view, at(0), at(0));
    return view;
}

} // namespace

// Guards against two keepers, and none, for one subject.
TEST(RateKeeper, AllAgreeAndSubjectsAreSpread)
{
    std::map<Address, int> subjects;
    for (int i = 0; i < 400; ++i) {
        std::string subject = "tenant" + std::to_string(i);
        int keepers = 0;
        int substitutes = 0;
        for (const Address& self : all) {
            auto found = keepersOf(viewOf(self), subject, self, at(1'000));
            EXPECT_NE(found.keeper, found.substitute);
            keepers += found.role == RateRole::Keeper ? 1 : 0;
            substitutes += found.role == RateRole::Substitute ? 1 : 0;
            subjects[found.keeper] += 1;
        }
        EXPECT_EQ(keepers, 1);
        EXPECT_EQ(substitutes, 1);
    }
    EXPECT_EQ(subjects.size(), all.size());
}

// Guards against grants of a keeper that the others no longer list, also one that was suspended: the clock goes on.
TEST(RateKeeper, GrantsOnlyWhileItsRequestsAreAnswered)
{
    Address self = keepersOf(viewOf(all[0]), "t", all[0], at(0)).keeper;
    auto view = viewOf(self);
    EXPECT_EQ(keepersOf(view, "t", self, at(999)).role, RateRole::Alone) << "the substitute has a reserve";
    EXPECT_EQ(keepersOf(view, "t", self, at(1'000)).role, RateRole::Keeper);
    renewLease(view, at(500), at(1'400));
    EXPECT_EQ(keepersOf(view, "t", self, at(3'499)).role, RateRole::Keeper);
    EXPECT_EQ(keepersOf(view, "t", self, at(3'500)).role, RateRole::Alone);
    renewLease(view, at(400), at(9'000));
    EXPECT_EQ(keepersOf(view, "t", self, at(9'000)).role, RateRole::Alone) << "the answer to a request before it";
    renewLease(view, at(9'000), at(9'100));
    auto found = keepersOf(view, "t", self, at(9'100));
    EXPECT_EQ(found.role, RateRole::Alone);
    EXPECT_EQ(found.settledAt, at(10'100));
    EXPECT_EQ(keepersOf(view, "t", self, at(10'100)).role, RateRole::Keeper);
    setInstances(view, { self }, self, at(9'200));
    EXPECT_EQ(keepersOf(view, "t", self, at(9'300)).role, RateRole::Settling) << "without a substitute";
    view.isLeaving = true;
    EXPECT_EQ(keepersOf(view, "t", self, at(10'200)).role, RateRole::Alone);
}

// Guards against a full bucket at a new keeper while others still use the old one.
TEST(RateKeeper, ANewKeeperSettles)
{
    auto before = keepersOf(viewOf(all[0]), "t", all[0], at(0));
    const Address& self = before.substitute;
    auto view = viewOf(self);
    renewLease(view, at(9'000), at(2'000));
    EXPECT_EQ(keepersOf(view, "t", self, at(5'000)).role, RateRole::Substitute);
    setInstances(view, without(before.keeper), self, at(5'000));
    EXPECT_EQ(keepersOf(view, "t", self, at(5'999)).role, RateRole::Settling);
    EXPECT_EQ(keepersOf(view, "t", self, at(6'000)).role, RateRole::Keeper);
    EXPECT_EQ(keepersOf(view, "t", self, at(8'000)).settledAt, at(6'000)) << "known for as long as it is the keeper";
    setInstances(view, all, self, at(8'000));
    EXPECT_EQ(keepersOf(view, "t", self, at(8'000)).role, RateRole::Substitute);
    setInstances(view, without(before.keeper), self, at(9'000));
    EXPECT_EQ(keepersOf(view, "t", self, at(9'500)).settledAt, at(10'000));
}

// Guards against pauses of all quotas when an instance that keeps none of them leaves.
TEST(RateKeeper, DoesNotSettleWhenAnotherInstanceLeaves)
{
    Address self = keepersOf(viewOf(all[0]), "t", all[0], at(0)).keeper;
    for (const Address& other : without(self)) {
        auto view = viewOf(self);
        setInstances(view, without(other), self, at(2'000));
        EXPECT_EQ(keepersOf(view, "t", self, at(2'000)).role, RateRole::Keeper);
    }
}

// Guards against unbounded memory, and against a departure that is forgotten too early.
TEST(RateKeeper, AForgottenDepartureCountsForAllSubjects)
{
    Address self = keepersOf(viewOf(all[0]), "t", all[0], at(0)).keeper;
    auto view = viewOf(self);
    renewLease(view, at(90'000), at(2'000));
    for (int i = 0; i < 1'200; ++i) {
        setInstances(view, { self, Address("x" + std::to_string(i) + ":1") }, self, at(3'000 + i));
        setInstances(view, { self }, self, at(3'000.5 + i));
    }
    EXPECT_LE(view.leftAt.size(), 1'001u);
    EXPECT_GE(keepersOf(view, "t", self, at(80'000)).settledAt, at(4'000));
}
