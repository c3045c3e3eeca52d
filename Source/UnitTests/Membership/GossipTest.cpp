#include "Membership/GossipLoop.h"

#include <gtest/gtest.h>

using namespace Membership;
using Common::Milliseconds;

namespace {

constexpr Milliseconds propagationLimit { 3'000 };
constexpr double heavyLoss = 0.2;

std::function<bool(const GossipState&)> knowsServerIn(size_t i, ServerState expected)
{
    return [=](const GossipState& state) {
        auto it = state.directory.servers.find(serverId(i));
        return it != state.directory.servers.end() && it->second.record.announcement.state == expected;
    };
}

std::function<bool(const GossipState&)> seesInstanceAs(size_t i, Liveness life)
{
    return [=](const GossipState& state) {
        auto it = state.directory.instances.find(instanceId(i));
        return it != state.directory.instances.end() && it->second.record.liveness == life;
    };
}

size_t countGone(const GossipState& state)
{
    return static_cast<size_t>(std::count_if(state.directory.instances.begin(), state.directory.instances.end(),
        [](const auto& pair) { return pair.second.record.liveness == Liveness::Gone; }));
}

// Cuts about one in ten of the directed links.
void cutAtRandom(GossipLoop& loop)
{
    size_t n = loop.instances().size();
    for (size_t i = 0; i < n * n / 10; ++i) {
        // Two statements: the order in which arguments are evaluated differs between platforms.
        size_t from = loop.random().below(n);
        size_t to = loop.random().below(n);
        loop.cut(from, to);
    }
}

// A server joins and leaves, each announced to one instance. Returns the longer of the times until all instances know.
Milliseconds timeUntilKnown(size_t instances, uint64_t seed)
{
    GossipLoop loop({ .instances = instances, .seed = seed, .loss = heavyLoss });
    cutAtRandom(loop);
    loop.runFor(Milliseconds(1'500));
    receiveAnnouncement(loop.instance(loop.random().below(instances)).state, announcement(5, 1), loop.now());
    Milliseconds joined = loop.runUntil(knowsServerIn(5, ServerState::Ready), propagationLimit);
    Announcement leaving = announcement(5, 2);
    leaving.state = ServerState::Leaving;
    receiveAnnouncement(loop.instance(loop.random().below(instances)).state, leaving, loop.now());
    return std::max(joined, loop.runUntil(knowsServerIn(5, ServerState::Leaving), propagationLimit));
}

void expectKnownInTime(size_t instances, uint64_t seeds)
{
    Milliseconds longest;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Milliseconds time = timeUntilKnown(instances, seed);
        EXPECT_LT(time, propagationLimit) << "seed " << seed;
        longest = std::max(longest, time);
    }
    std::printf("%zu instances, seeds 1 to %lu: known to all in at most %.0f ms\n", instances, seeds, longest.value());
}

} // namespace

TEST(Gossip, NineInstancesLearnOfALeaveInTimeDespiteMessageLoss) { expectKnownInTime(9, 20'000); }

TEST(Gossip, HundredsOfInstancesLearnOfALeaveInTimeDespiteMessageLoss)
{
    expectKnownInTime(100, 20);
    expectKnownInTime(840, 3);
}

TEST(Gossip, QuarantineReachesAllInstances)
{
    GossipLoop loop({ .instances = 9, .seed = 4, .loss = heavyLoss });
    Common::Fingerprint crasher { 77 };
    reportLoss(loop.instance(1).state, { serverId(1), Common::Incarnation(1) }, { crasher }, loop.now());
    reportLoss(loop.instance(2).state, { serverId(2), Common::Incarnation(1) }, { crasher }, loop.now());
    auto isHeld = [&](const GossipState& state) { return isQuarantined(state.quarantine, crasher, loop.now()); };
    EXPECT_LT(loop.runUntil(isHeld, propagationLimit), propagationLimit);
    reportCompletion(loop.instance(3).state, crasher, loop.now());
    auto isFree = [&](const GossipState& state) { return mayRetry(state.quarantine, crasher, loop.now()); };
    EXPECT_LT(loop.runUntil(isFree, propagationLimit), propagationLimit);
}

TEST(Gossip, NewInstancesFindEachOtherThroughOneAddress)
{
    GossipLoop loop({ .instances = 9, .seed = 5, .loss = heavyLoss, .knowEachOther = false });
    for (size_t i = 0; i < 50; ++i)
        receiveAnnouncement(loop.instance(0).state, announcement(i, 1), loop.now());
    auto knowsAll = [](const GossipState& state) {
        return state.directory.instances.size() == 9 && state.directory.servers.size() == 50;
    };
    EXPECT_LT(loop.runUntil(knowsAll, Milliseconds(10'000)), Milliseconds(10'000));
}

TEST(Gossip, LossesAndCutsRemoveNoLiveInstance)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        GossipLoop loop({ .instances = 9, .seed = seed, .loss = heavyLoss });
        cutAtRandom(loop);
        loop.runFor(Milliseconds(120'000));
        for (auto& it : loop.instances()) {
            EXPECT_EQ(countGone(it.state), 0u) << "seed " << seed;
            EXPECT_EQ(it.state.self.incarnation, Common::Incarnation(1)) << "seed " << seed;
        }
    }
}

TEST(Gossip, ACutBetweenTwoInstancesMakesNobodySuspect)
{
    GossipLoop loop({ .instances = 9, .seed = 10 });
    loop.cut(0, 1);
    loop.cut(1, 0);
    loop.cut(2, 3); // One way.
    loop.runFor(Milliseconds(120'000));
    for (auto& it : loop.instances())
        EXPECT_TRUE(it.changes.empty());
}

TEST(Gossip, AStoppedInstanceIsRemovedAndItsServersAreTakenOver)
{
    GossipLoop loop({ .instances = 9, .seed = 6 });
    receiveAnnouncement(loop.instance(3).state, announcement(1, 1), loop.now());
    receiveAnnouncement(loop.instance(3).state, announcement(2, 1), loop.now());
    loop.runFor(Milliseconds(2'000));
    loop.stop(3);
    // Server 1 continues to announce itself, now to instance 4. Server 2 stops.
    for (uint64_t sequence = 2; sequence < 42; ++sequence) {
        receiveAnnouncement(loop.instance(4).state, announcement(1, sequence), loop.now());
        loop.runFor(Milliseconds(1'000));
    }
    for (size_t i : { 0, 4, 8 }) {
        const Directory& directory = loop.instance(i).state.directory;
        EXPECT_TRUE(seesInstanceAs(3, Liveness::Gone)(loop.instance(i).state));
        EXPECT_EQ(directory.servers.at(serverId(1)).record.owner, instanceId(4));
        EXPECT_EQ(directory.servers.at(serverId(1)).record.liveness, Liveness::Alive);
        EXPECT_EQ(directory.servers.at(serverId(2)).record.liveness, Liveness::Gone);
    }
}

TEST(Gossip, RenewalsThroughABalancerCauseNoChanges)
{
    GossipLoop loop({ .instances = 9, .seed = 7 });
    uint64_t sequence = 1;
    auto renewAll = [&] {
        for (size_t i = 0; i < 50; ++i)
            receiveAnnouncement(loop.instance(loop.random().below(9)).state, announcement(i, sequence), loop.now());
        ++sequence;
        loop.runFor(Milliseconds(2'000));
    };
    renewAll();
    for (auto& it : loop.instances())
        it.changes.clear();
    for (int n = 0; n < 30; ++n)
        renewAll();
    for (auto& it : loop.instances())
        EXPECT_TRUE(it.changes.empty()) << it.changes.size();
}

TEST(Gossip, APausedInstanceRejoinsAndRemovesNobody)
{
    GossipLoop loop({ .instances = 9, .seed = 8 });
    receiveAnnouncement(loop.instance(2).state, announcement(1, 1), loop.now());
    loop.runFor(Milliseconds(2'000));
    loop.stop(2);
    loop.runFor(Milliseconds(30'000));
    EXPECT_TRUE(seesInstanceAs(2, Liveness::Gone)(loop.instance(0).state));
    receiveAnnouncement(loop.instance(1).state, announcement(1, 16), loop.now());
    loop.resume(2);
    Milliseconds limit { 15'000 };
    EXPECT_LT(loop.runUntil(seesInstanceAs(2, Liveness::Alive), limit), limit);
    for (auto& it : loop.instances())
        EXPECT_LE(countGone(it.state), 0u);
}

TEST(Gossip, APauseRestartsTheTimeoutsOfServersAndSuspects)
{
    GossipLoop alone({ .instances = 1, .seed = 11 });
    receiveAnnouncement(alone.instance(0).state, announcement(1, 1), alone.now());
    alone.runFor(Milliseconds(1'000));
    alone.stop(0);
    alone.runFor(Milliseconds(60'000));
    alone.resume(0);
    alone.runFor(Milliseconds(2'000));
    EXPECT_EQ(alone.instance(0).state.directory.servers.at(serverId(1)).record.liveness, Liveness::Alive);
    alone.runFor(DirectorySettings().removeAfter);
    EXPECT_EQ(alone.instance(0).state.directory.servers.at(serverId(1)).record.liveness, Liveness::Gone);

    GossipLoop loop({ .instances = 9, .seed = 12 });
    InstanceRecord suspect = instanceRecord(4);
    suspect.liveness = Liveness::Suspect;
    loop.runFor(Milliseconds(1'000));
    merge(loop.instance(2).state.directory, suspect, loop.now());
    loop.stop(2);
    loop.runFor(Milliseconds(30'000));
    loop.resume(2);
    loop.runFor(Milliseconds(30'000));
    EXPECT_EQ(loop.instance(4).state.self.incarnation, Common::Incarnation(1))
        << "the suspect was removed and had to rejoin";
}

TEST(Gossip, AnIsolatedOwnerDoesNotRemoveItsServersWhenItReconnects)
{
    Common::Random random(1);
    Common::TimePoint now { Milliseconds(1'000) };
    GossipState state = makeGossipState({}, instanceRecord(0), {});
    receiveRecord(state, instanceRecord(1), now);
    receiveAnnouncement(state, announcement(1, 1), now);
    for (int n = 0; n < 600; ++n) {
        now = now + Milliseconds(50);
        EXPECT_TRUE(nextGossip(state, now, random).changes.empty());
    }
    GossipMessage hello;
    hello.from = instanceId(1);
    receiveGossip(state, hello, now);
    EXPECT_TRUE(nextGossip(state, now + Milliseconds(500), random).changes.empty());
    EXPECT_EQ(state.directory.servers.at(serverId(1)).record.liveness, Liveness::Alive);
}

TEST(Gossip, TheMinorityOfAPartitionRemovesNoServersAndBothSidesMergeAgain)
{
    GossipLoop loop({ .instances = 9, .seed = 9 });
    uint64_t sequence = 1;
    auto renew = [&] { receiveAnnouncement(loop.instance(5).state, announcement(1, sequence++), loop.now()); };
    renew();
    loop.runFor(Milliseconds(2'000));
    for (size_t i = 0; i < 9; ++i) {
        for (size_t j = 0; j < 9; ++j) {
            if ((i < 3) != (j < 3))
                loop.cut(i, j);
        }
    }
    for (int n = 0; n < 60; ++n) {
        renew();
        loop.runFor(Milliseconds(1'000));
    }
    for (size_t i = 0; i < 9; ++i)
        EXPECT_NE(loop.instance(i).state.directory.servers.at(serverId(1)).record.liveness, Liveness::Gone) << i;
    EXPECT_TRUE(seesInstanceAs(0, Liveness::Gone)(loop.instance(8).state));
    loop.heal();
    Milliseconds limit { 60'000 };
    auto seesAll = [](const GossipState& state) { return countGone(state) == 0; };
    EXPECT_LT(loop.runUntil(seesAll, limit), limit);
}
