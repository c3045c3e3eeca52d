#include "Control/Leases.h"

#include "Common/Random.h"
#include "Control/HeldLease.h"

#include <gtest/gtest.h>

#include <map>
#include <utility>

using namespace Control;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Renewal renewalOf(const char* id, uint64_t applied, uint64_t incarnation = 1)
{
    return { { Common::InstanceId(id), Common::Incarnation(incarnation), Common::Address("10.0.0.1:1"),
                 Common::FailureDomain("patan") },
        Revision(applied) };
}

const Common::InstanceId a("a");
const Common::InstanceId b("b");

// The table of a leader that was elected long ago, when no instance held a lease.
LeaseTable oldTable()
{
    LeaseTable table(Common::Term(3), at(-10'000));
    importHolders(table, {});
    return table;
}

LeaseHolders holdersOf(std::initializer_list<LiveInstance> instances)
{
    LeaseHolders holders;
    applyChange(holders, HolderChange { instances, {} });
    return holders;
}

} // namespace

TEST(Leases, InForceOnceEachHolderAppliedIt)
{
    LeaseTable table = oldTable();
    ASSERT_TRUE(renew(table, renewalOf("a", 7), at(0)));
    ASSERT_TRUE(renew(table, renewalOf("b", 6), at(500)));
    RevisionStatus status = revisionStatus(table, Revision(7), at(600));
    EXPECT_EQ(status.state, RevisionState::Applying);
    EXPECT_EQ(status.missing, std::vector { b });
    ASSERT_TRUE(renew(table, renewalOf("b", 7), at(1'000)));
    ASSERT_TRUE(renew(table, renewalOf("b", 6), at(1'001))) << "a renewal that arrives out of order";
    EXPECT_EQ(revisionStatus(table, Revision(7), at(1'100)).state, RevisionState::InForce);
    EXPECT_EQ(revisionStatus(table, Revision(8), at(4'100)).missing, std::vector { b });
}

TEST(Leases, AJoiningInstanceTakesNothingOutOfForce)
{
    LeaseTable table = oldTable();
    ASSERT_TRUE(renew(table, renewalOf("a", 7), at(0), Revision(7)));
    ASSERT_TRUE(renew(table, renewalOf("b", 0), at(0), Revision(7)));
    EXPECT_EQ(revisionStatus(table, Revision(7), at(1)).state, RevisionState::InForce);
    EXPECT_EQ(revisionStatus(table, Revision(8), at(1)).missing, (std::vector { a, b }));
    ASSERT_TRUE(renew(table, renewalOf("b", 7), at(1'000), Revision(8)));
    EXPECT_EQ(revisionStatus(table, Revision(8), at(1'001)).missing, (std::vector { a, b }));
}

TEST(Leases, NothingIsInForceBeforeTheHoldersAreImported)
{
    LeaseTable table(Common::Term(3), at(0));
    ASSERT_TRUE(renew(table, renewalOf("a", 7), at(0)));
    RevisionStatus status = revisionStatus(table, Revision(7), at(1));
    EXPECT_EQ(status.state, RevisionState::Applying);
    EXPECT_TRUE(status.missing.empty());
    EXPECT_TRUE(status.newLeader);
    EXPECT_EQ(revisionStatus(table, Revision(7), at(10'000)).state, RevisionState::Applying);
    importHolders(table, {});
    EXPECT_EQ(revisionStatus(table, Revision(7), at(10'000)).state, RevisionState::InForce);
}

TEST(Leases, ANewLeaderWaitsForEachHolderOfItsPredecessor)
{
    LeaseHolders holders = holdersOf({ renewalOf("a", 0).instance, renewalOf("b", 0).instance });
    LeaseTable table(Common::Term(3), at(0));
    importHolders(table, holders);
    ASSERT_TRUE(renew(table, renewalOf("a", 7), at(100), Revision(7)));
    RevisionStatus status = revisionStatus(table, Revision(7), at(200));
    EXPECT_EQ(status.state, RevisionState::Applying);
    EXPECT_EQ(status.missing, std::vector { b });
    EXPECT_FALSE(status.newLeader);
    LeaseTable other = table;

    ASSERT_TRUE(renew(table, renewalOf("b", 6), at(300), Revision(7)));
    EXPECT_EQ(revisionStatus(table, Revision(7), at(400)).missing, std::vector { b }) << "b has not applied it";
    ASSERT_TRUE(renew(table, renewalOf("b", 7), at(500), Revision(7)));
    EXPECT_EQ(revisionStatus(table, Revision(7), at(600)).state, RevisionState::InForce) << "long before 4 s";

    // b is down: its lease from the earlier leader ends one lease duration after the election at the latest.
    ASSERT_TRUE(renew(other, renewalOf("a", 7), at(3'000), Revision(7)));
    EXPECT_EQ(revisionStatus(other, Revision(7), at(3'999)).missing, std::vector { b });
    EXPECT_FALSE(hasNoLease(other, b, Common::Incarnation(1), at(3'999)));
    EXPECT_TRUE(endedHolders(other, holders, at(3'999)).empty());
    EXPECT_EQ(revisionStatus(other, Revision(7), at(4'000)).state, RevisionState::InForce);
    EXPECT_TRUE(hasNoLease(other, b, Common::Incarnation(1), at(4'000)));
    EXPECT_FALSE(hasNoLease(other, a, Common::Incarnation(1), at(4'000)));
    EXPECT_EQ(endedHolders(other, holders, at(4'000)), std::vector<EndedLease>({ { b, Common::Incarnation(1) } }));
    EXPECT_EQ(expireLeases(other, at(4'000)), std::vector<EndedLease>({ { b, Common::Incarnation(1) } }));
}

TEST(Leases, HoldersAreImportedOnceAndNeverReplaceARenewedLease)
{
    LeaseTable table(Common::Term(3), at(0));
    ASSERT_TRUE(renew(table, renewalOf("a", 7, 2), at(100)));
    importHolders(table, holdersOf({ renewalOf("a", 0, 1).instance }));
    EXPECT_EQ(table.leases.at(a).instance.incarnation, Common::Incarnation(2));
    EXPECT_EQ(table.leases.at(a).expiresAt, at(4'100));
    importHolders(table, holdersOf({ renewalOf("b", 0).instance }));
    EXPECT_EQ(table.leases.size(), 1u);
    EXPECT_FALSE(renew(table, renewalOf("a", 7, 1), at(200))) << "an older incarnation";
}

TEST(Holders, OlderIncarnationsChangeNothing)
{
    LeaseHolders holders = holdersOf({ renewalOf("a", 0, 2).instance });
    applyChange(holders, { { renewalOf("a", 0, 1).instance }, { { a, Common::Incarnation(1) } } });
    EXPECT_EQ(holders.at(a).incarnation, Common::Incarnation(2));
    applyChange(holders, { { renewalOf("a", 0, 3).instance }, { { a, Common::Incarnation(2) } } });
    EXPECT_EQ(holders.at(a).incarnation, Common::Incarnation(3));
    applyChange(holders, { {}, { { a, Common::Incarnation(3) }, { b, Common::Incarnation(1) } } });
    EXPECT_TRUE(holders.empty());
}

TEST(Leases, AnEndedIncarnationIsNeverRenewed)
{
    LeaseTable table = oldTable();
    ASSERT_TRUE(renew(table, renewalOf("a", 1, 2), at(0)));
    EXPECT_FALSE(renew(table, renewalOf("a", 1, 1), at(1)));
    EXPECT_TRUE(release(table, a, Common::Incarnation(2)));
    EXPECT_FALSE(release(table, a, Common::Incarnation(2)));
    EXPECT_FALSE(renew(table, renewalOf("a", 1, 2), at(2)));
    EXPECT_EQ(renew(table, renewalOf("a", 1, 3), at(3)).value().replaced, Common::Incarnation(2));
    EXPECT_TRUE(expireLeases(table, at(4'002)).empty());
    EXPECT_EQ(expireLeases(table, at(4'003)), std::vector<EndedLease>({ { a, Common::Incarnation(3) } }));
    EXPECT_TRUE(expireLeases(table, at(4'004)).empty());
    EXPECT_FALSE(renew(table, renewalOf("a", 1, 3), at(4'005)));
}

TEST(Leases, OnlyChangesOfTheLiveListAreSent)
{
    LeaseTable table = oldTable();
    ASSERT_TRUE(renew(table, renewalOf("a", 1), at(0)));
    LiveChanges all = liveChangesSince(table, {});
    EXPECT_TRUE(all.whole);
    EXPECT_EQ(all.joined.size(), 1u);
    ASSERT_TRUE(renew(table, renewalOf("a", 2), at(1'000)));
    EXPECT_TRUE(liveChangesSince(table, all.number).joined.empty());
    ASSERT_TRUE(renew(table, renewalOf("b", 1), at(1'000)));
    release(table, a, Common::Incarnation(1));
    LiveChanges some = liveChangesSince(table, all.number);
    EXPECT_FALSE(some.whole);
    EXPECT_EQ(some.joined, std::vector { renewalOf("b", 1).instance });
    EXPECT_EQ(some.left, std::vector { a });
    expireLeases(table, at(1'000'000));
    EXPECT_TRUE(liveChangesSince(table, all.number).whole) << "removed leases can't be listed";
    EXPECT_TRUE(liveChangesSince(table, { Common::Term(2), some.number.number }).whole);
}

// Guards against a holder that uses its lease after the leader has expired it. The holder's clock runs up to 2 % too
// slow or fast, and messages are delayed, lost or reordered.
TEST(Leases, ALeaseExpiresAtTheHolderBeforeTheLeader)
{
    uint64_t held = 0;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        Common::Random random(seed);
        LeaseTable table = oldTable();
        HeldLease holder;
        double speed = 0.98 + random.unit() * 0.04;
        auto local = [&](double now) { return at(now * speed); };
        std::multimap<double, std::pair<double, Milliseconds>> answers;
        for (double now = 0; now < 60'000; now += 10) {
            if (random.chance(0.01)) {
                auto granted = renew(table, renewalOf("a", 1), at(now + random.unit() * 1'000));
                if (granted && random.chance(0.8))
                    answers.emplace(now + random.unit() * 3'000, std::pair(now, granted.value().duration));
            }
            for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin()))
                extendLease(holder, local(answers.begin()->second.first), answers.begin()->second.second);
            if (!isLeaseValid(holder, local(now)))
                continue;
            ++held;
            ASSERT_GT(table.leases.at(a).expiresAt, at(now)) << seed;
        }
        releaseLease(holder);
        EXPECT_FALSE(isLeaseValid(holder, at(0)));
    }
    EXPECT_GT(held, 100'000u);
}
