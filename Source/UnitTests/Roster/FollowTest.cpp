#include "Roster/FollowChoice.h"
#include "Roster/Mirror.h"
#include "Roster/Sources.h"
#include "Roster/TableReports.h"

#include <gtest/gtest.h>

#include <algorithm>

using Common::Address;
using Common::BackendServerId;
using Common::FailureDomain;
using Common::GroupName;
using Common::Incarnation;
using Common::InstanceId;
using Common::Milliseconds;
using Common::Revision;
using Common::TableNumber;
using Common::TimePoint;
using namespace Roster;

namespace {

constexpr Milliseconds retention { 12'000 };
const Address x("x");
const Address y("y");

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Report reportOf(const char* id, uint64_t sequence, ServerStatus status = ServerStatus::Serving)
{
    Report report;
    report.server = BackendServerId(id);
    report.group = GroupName("g");
    report.address = Address(std::string("10.0.0.1:") + id);
    report.incarnation = Incarnation(1);
    report.sequence = sequence;
    report.status = status;
    return report;
}

// A control instance with one shard, as it reports its own state.
struct Origin {
    Registry registry;
    Epoch epoch { 10 };
    std::vector<Peer> peers;
    uint64_t peersVersion { 0 };

    SourceState stateFor(const SourceVersion& known) const
    {
        bool isSameEpoch = known.epoch == epoch && known.revisions.size() == 1;
        SourceState state { x, FailureDomain("d"), epoch, {}, {}, {}, peersVersion };
        state.shards.push_back(changesSince(registry, isSameEpoch ? known.revisions[0] : Revision(0)));
        if (!isSameEpoch || known.peersVersion != peersVersion)
            state.peers = peers;
        return state;
    }
};

void forward(const Origin& origin, Mirror& mirror, TimePoint now)
{
    applyState(mirror, origin.stateFor(sourceVersion(mirror, x)), now);
}

std::vector<StatusChange> forward(const Mirror& mirror, Sources& sources, ServerView& view, TimePoint now)
{
    auto known = sourceVersions(sources);
    return applyState(sources, view, stateFor(mirror, x, findVersion(known, x), now), now, retention);
}

size_t eligibleCount(const ServerView& view)
{
    auto groups = eligibleServers(view);
    return groups.empty() ? 0 : groups.begin()->second.size();
}

} // namespace

TEST(Mirror, ForwardsTheStateOfItsSource)
{
    Origin origin;
    Mirror mirror;
    Sources sources;
    ServerView view;
    renew(origin.registry, reportOf("1", 1), at(0));
    renew(origin.registry, reportOf("2", 1), at(0));
    origin.peers = { { Address("r"), FailureDomain("d") } };
    origin.peersVersion = 1;
    forward(origin, mirror, at(10));
    EXPECT_EQ(forward(mirror, sources, view, at(20)).size(), 2u);
    EXPECT_EQ(eligibleCount(view), 2u);
    EXPECT_EQ(peersOf(sources), origin.peers);

    auto known = sourceVersions(sources);
    EXPECT_FALSE(hasChanges(stateFor(mirror, x, findVersion(known, x), at(30)), findVersion(known, x)));
    renew(origin.registry, reportOf("1", 2, ServerStatus::Leaving), at(100));
    forward(origin, mirror, at(110));
    auto state = stateFor(mirror, x, findVersion(known, x), at(120));
    EXPECT_TRUE(hasChanges(state, findVersion(known, x)));
    EXPECT_EQ(state.shards.at(0).reports.size(), 1u) << "only the changes";
    EXPECT_TRUE(state.peers.empty());
    EXPECT_EQ(state.silentFor, Milliseconds(10));
    EXPECT_EQ(forward(mirror, sources, view, at(120)).size(), 1u);
    EXPECT_EQ(eligibleCount(view), 1u);
    EXPECT_EQ(peersOf(sources), origin.peers);
}

TEST(Mirror, ThatIsBehindRevertsNothing)
{
    Origin origin;
    Mirror old;
    Mirror current;
    Sources sources;
    ServerView view;
    renew(origin.registry, reportOf("1", 1), at(0));
    forward(origin, old, at(10));
    renew(origin.registry, reportOf("1", 2, ServerStatus::Leaving), at(100));
    forward(origin, current, at(110));
    forward(current, sources, view, at(120));
    EXPECT_EQ(eligibleCount(view), 0u);
    auto known = sourceVersions(sources);
    auto state = stateFor(old, x, findVersion(known, x), at(130));
    EXPECT_FALSE(hasChanges(state, findVersion(known, x)));
    EXPECT_TRUE(state.shards.at(0).reports.empty());
    forward(old, sources, view, at(130));
    EXPECT_EQ(eligibleCount(view), 0u);
    EXPECT_EQ(sources.known.at(x).revisions, std::vector { Revision(2) });
}

TEST(Mirror, OfAnEarlierEpochRevertsNothing)
{
    Origin origin;
    Mirror old;
    Mirror current;
    Sources sources;
    ServerView view;
    renew(origin.registry, reportOf("1", 1), at(0));
    forward(origin, old, at(10));
    Origin restarted;
    restarted.epoch = Epoch(20);
    renew(restarted.registry, reportOf("2", 1), at(100));
    forward(restarted, current, at(110));
    forward(current, sources, view, at(120));
    EXPECT_TRUE(forward(old, sources, view, at(130)).empty());
    EXPECT_EQ(sources.known.at(x).epoch, Epoch(20));
    EXPECT_EQ(eligibleCount(view), 1u);
    forward(restarted, old, at(140));
    EXPECT_EQ(old.shards.at(0).entries.size(), 1u) << "the mirror starts over with its source";
}

TEST(Mirror, ForwardsTheRouteTableNumberOfItsSource)
{
    Origin origin;
    Mirror mirror;
    forward(origin, mirror, at(0));
    SourceState state = origin.stateFor(sourceVersion(mirror, x));
    state.table = TableNumber(7);
    EXPECT_TRUE(applyState(mirror, state, at(10)));
    EXPECT_FALSE(applyState(mirror, state, at(20)));
    EXPECT_EQ(stateFor(mirror, x, nullptr, at(30)).table, TableNumber(7));
}

TEST(TableReports, NameTheLatestTableAndItsHolders)
{
    WatchReply reply;
    reply.table = TableNumber(5);
    auto add = [&](const char* source, uint64_t table) {
        SourceState state { Address(source), FailureDomain("d"), Epoch(1), {}, {}, {}, 0, TableNumber(table) };
        reply.sources.push_back(std::move(state));
    };
    add("replier", 5);
    add("late", 3);
    add("other", 5);
    add("ahead", 7);
    using Reports = std::vector<TableReport>;
    EXPECT_EQ(newerTables(reply, Address("replier"), TableNumber(4)),
        (Reports { { TableNumber(7), Address("ahead") }, { TableNumber(5), Address("replier") },
            { TableNumber(5), Address("other") } }));
    EXPECT_EQ(
        newerTables(reply, Address("replier"), TableNumber(5)), (Reports { { TableNumber(7), Address("ahead") } }))
        << "the replier itself is late";
    EXPECT_TRUE(newerTables(reply, Address("replier"), TableNumber(7)).empty());
}

TEST(Mirror, RemovesServersThatLeftLongAgo)
{
    Origin origin;
    Mirror mirror;
    renew(origin.registry, reportOf("1", 1, ServerStatus::Leaving), at(0));
    renew(origin.registry, reportOf("2", 1), at(0));
    forward(origin, mirror, at(10));
    forgetBefore(mirror, at(10));
    EXPECT_EQ(mirror.shards.at(0).entries.size(), 2u);
    forgetBefore(mirror, at(11));
    EXPECT_EQ(mirror.shards.at(0).entries.size(), 1u);
}

TEST(Sources, KeepTheirReportsForAGracePeriodAfterARestart)
{
    Origin origin;
    Mirror mirror;
    Sources sources;
    ServerView view;
    renew(origin.registry, reportOf("1", 1), at(0));
    forward(origin, mirror, at(0));
    forward(mirror, sources, view, at(0));
    Origin restarted;
    restarted.epoch = Epoch(20);
    forward(restarted, mirror, at(1'000));
    forward(mirror, sources, view, at(1'000));
    EXPECT_EQ(eligibleCount(view), 1u);
    EXPECT_FALSE(dropSilent(sources, view, at(4'900), retention));
    EXPECT_TRUE(dropSilent(sources, view, at(5'000), retention));
    EXPECT_EQ(eligibleCount(view), 0u);
}

TEST(Sources, ALowerEpochCountsOnlyFromTheSourceItself)
{
    Sources sources;
    ServerView view;
    SourceState state { x, FailureDomain("d"), Epoch(20), {}, { { true, Revision(1), { reportOf("1", 1) } } }, {}, 0 };
    applyState(sources, view, state, at(0), retention);
    state.epoch = Epoch(10);
    state.silentFor = Milliseconds(5);
    EXPECT_TRUE(applyState(sources, view, state, at(10), retention).empty());
    EXPECT_EQ(sources.known.at(x).epoch, Epoch(20));
    state.silentFor = Milliseconds(0);
    applyState(sources, view, state, at(20), retention);
    EXPECT_EQ(sources.known.at(x).epoch, Epoch(10));
}

// Guards against servers that stay unknown while a source that restarted with its clock set back is ignored.
TEST(Sources, ALowerEpochCountsOnceTheHigherOneIsSilent)
{
    Sources sources;
    ServerView view;
    SourceState before { x, FailureDomain("d"), Epoch(20), {}, { { true, Revision(1), { reportOf("1", 1) } } }, {}, 0 };
    applyState(sources, view, before, at(0), retention);
    SourceState after = before;
    after.epoch = Epoch(10);
    after.silentFor = Milliseconds(5);
    after.shards = { { true, Revision(1), { reportOf("1", 1), reportOf("2", 1) } } };
    EXPECT_TRUE(applyState(sources, view, after, at(2'000), retention).empty());
    EXPECT_EQ(eligibleCount(view), 1u);
    applyState(sources, view, after, at(3'000), retention);
    EXPECT_EQ(sources.known.at(x).epoch, Epoch(10));
    EXPECT_EQ(eligibleCount(view), 2u);
    before.silentFor = Milliseconds(3'100);
    EXPECT_TRUE(applyState(sources, view, before, at(3'100), retention).empty())
        << "another instance still forwards it";
    EXPECT_EQ(sources.known.at(x).epoch, Epoch(10));
}

TEST(Sources, ASilentOneIsDroppedUnlessAllAre)
{
    Sources sources;
    ServerView view;
    SourceState state { x, FailureDomain("d"), Epoch(1), {}, { { true, Revision(1), { reportOf("1", 1) } } }, {}, 0 };
    applyState(sources, view, state, at(0), retention);
    state.source = y;
    applyState(sources, view, state, at(0), retention);
    EXPECT_FALSE(dropSilent(sources, view, at(20'000), retention)) << "all are silent: this instance is partitioned";
    EXPECT_EQ(eligibleCount(view), 1u);
    applyState(sources, view, state, at(20'000), retention);
    EXPECT_TRUE(dropSilent(sources, view, at(20'001), retention));
    EXPECT_EQ(sources.known.count(x), 0u);
    EXPECT_EQ(eligibleCount(view), 1u) << "the other source reports it as serving";
    state.source = x;
    state.silentFor = retention + Milliseconds(1);
    EXPECT_TRUE(applyState(sources, view, state, at(20'002), retention).empty());
    EXPECT_EQ(sources.known.count(x), 0u) << "another instance still forwards its old state";
}

class FollowChoiceTest : public testing::Test {
protected:
    std::vector<Address> chosen(TimePoint now) const
    {
        return chooseFollowed(members, domains, followed, InstanceId("relay"), FailureDomain("near"), now);
    }

    // Follows all chosen control instances from now on.
    void start(TimePoint now)
    {
        for (const Address& address : chosen(now)) {
            FollowedControl& control = followed[address];
            if (!control.startedAt)
                control.startedAt = now;
        }
    }

    void answer(const Address& address, TimePoint now) { followed[address].answeredAt = now; }

    const std::vector<Address> members { Address("c1"), Address("c2"), Address("c3"), Address("near") };
    const std::map<Address, FailureDomain> domains { { Address("near"), FailureDomain("near") },
        { Address("c1"), FailureDomain("far") } };
    std::map<Address, FollowedControl> followed;
};

TEST_F(FollowChoiceTest, OneOfTheOwnDomainIsEnough)
{
    EXPECT_EQ(chosen(at(0)), std::vector { Address("near") });
    start(at(0));
    EXPECT_EQ(chosen(at(200)).size(), 1u);
    answer(Address("near"), at(200));
    EXPECT_EQ(chosen(at(1'500)).size(), 1u);
}

TEST_F(FollowChoiceTest, OthersAreFollowedWhileItIsSilent)
{
    start(at(0));
    EXPECT_EQ(chosen(at(300)).size(), 2u) << "no first reply";
    start(at(300));
    EXPECT_EQ(chosen(at(600)).size(), 3u);
    start(at(600));
    answer(Address("near"), at(610));
    EXPECT_EQ(chosen(at(620)), std::vector { Address("near") });
    EXPECT_GT(chosen(at(2'100)).size(), 1u) << "it has become silent";
    followed[Address("near")].answeredAt = at(2'100);
    followed[Address("near")].hasFailed = true;
    EXPECT_GT(chosen(at(2'110)).size(), 1u);
}

TEST_F(FollowChoiceTest, OneThatIsBehindIsFollowedWithOneMore)
{
    start(at(0));
    answer(Address("near"), at(100));
    followed[Address("near")].isRosterBehind = true;
    start(at(110));
    auto two = chosen(at(120));
    EXPECT_EQ(two.size(), 2u);
    answer(two[1], at(130));
    followed[two[1]].isRosterBehind = true;
    EXPECT_EQ(chosen(at(140)).size(), 2u) << "only one more, even if all are behind because one is lost";
}

TEST_F(FollowChoiceTest, OthersAreFollowedUntilTheLogOfOneIsNotBehind)
{
    start(at(0));
    answer(Address("near"), at(100));
    followed[Address("near")].isLogBehind = true;
    start(at(110));
    auto two = chosen(at(120));
    ASSERT_EQ(two.size(), 2u);
    answer(two[1], at(130));
    EXPECT_EQ(chosen(at(140)).size(), 2u) << "the second one is current";
    followed[two[1]].isLogBehind = true;
    start(at(150));
    auto three = chosen(at(160));
    ASSERT_EQ(three.size(), 3u) << "both are behind";
    answer(three[2], at(170));
    EXPECT_EQ(chosen(at(180)).size(), 3u);
    followed[Address("near")].isLogBehind = false;
    EXPECT_EQ(chosen(at(190)), std::vector { Address("near") });
}

TEST_F(FollowChoiceTest, AMajorityIsFollowedAtMostWhileAllLogsAreBehind)
{
    for (double ms = 0; ms < 600; ms += 50) {
        start(at(ms));
        for (const Address& address : chosen(at(ms))) {
            answer(address, at(ms));
            followed[address].isLogBehind = true;
        }
    }
    EXPECT_EQ(chosen(at(600)).size(), 3u);
}

TEST_F(FollowChoiceTest, FollowersAreSpreadOverDistantOnes)
{
    std::map<Address, int> first;
    for (int i = 0; i < 300; ++i)
        ++first[chooseFollowed(members, {}, {}, InstanceId("relay-" + std::to_string(i)), FailureDomain("none"), at(0))
                    .front()];
    EXPECT_EQ(first.size(), 4u);
    for (auto& [address, count] : first)
        EXPECT_GT(count, 40) << address.value();
}

// Guards against a follower that waits for one control instance after another after a power loss of all machines, and
// against hundreds of followers that send to all instances of a large group.
TEST(FollowChoice, AFollowerWithoutATableAsksSeveralAtOnce)
{
    std::map<Address, FailureDomain> domains { { Address("c"), FailureDomain("d") } };
    std::vector<Address> three { Address("a"), Address("b"), Address("c") };
    auto chosen = chooseAtStart(three, domains, InstanceId("r"), FailureDomain("d"));
    EXPECT_EQ(chosen.size(), 3u);
    EXPECT_EQ(chosen.front(), Address("c"));
    std::vector<Address> many { Address("1"), Address("2"), Address("3"), Address("4"), Address("5"), Address("6") };
    EXPECT_EQ(chooseAtStart(many, {}, InstanceId("r"), FailureDomain("d")).size(), 5u);
}

// Guards against a relay that loses 100 ms for each refused connection at its start, and against one without a table
// that sends dozens of requests per second for as long as there is none.
TEST(FollowChoice, RetriesAreCloseAndSpreadAtTheStartOnly)
{
    EXPECT_EQ(retryPause(false, Milliseconds(100), 0), Milliseconds(15));
    EXPECT_LT(retryPause(false, Milliseconds(100), 0.99), Milliseconds(25));
    EXPECT_EQ(retryPause(true, Milliseconds(100), 0), Milliseconds(100));
    EXPECT_EQ(retryPause(false, Milliseconds(5'000), 0), Milliseconds(100));
}
