#include "Consensus/FakeCluster.h"
#include "Consensus/Membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using Common::InstanceId;
using Common::LogIndex;
using Common::Milliseconds;
using Common::Term;
using Common::TimePoint;
using Consensus::MemberId;
using Consensus::StorageId;

namespace {

MemberId member(const char* instance, uint64_t storage) { return { InstanceId(instance), StorageId(storage) }; }

// A voter of a group of three in term 1, whose log holds only the initial membership.
Consensus::State voter(const char* instance, uint64_t storage)
{
    Consensus::Options options;
    options.self = member(instance, storage);
    options.initialVoters = { InstanceId("a"), InstanceId("b"), InstanceId("c") };
    Consensus::Entry first { .index = LogIndex(1), .term = Term(1), .kind = Consensus::EntryKind::Membership };
    first.membership
        = { Consensus::GroupId(1), { { member("a", 1), true }, { member("b", 2), true }, { member("c", 3), true } } };
    Consensus::Recovered recovered { { Term(1), {} }, nullptr, { std::make_shared<const Consensus::Entry>(first) } };
    return makeState(options, recovered, 7, TimePoint());
}

Consensus::Event voteRequest(const MemberId& from, const MemberId& to)
{
    return Consensus::Receive { { from, to, Consensus::GroupId(1), Term(2),
        Consensus::VoteRequest { .lastIndex = LogIndex(1), .lastTerm = Term(1) } } };
}

Consensus::Event announce(const MemberId& from)
{
    return Consensus::Receive { { from, member("a", 0), Consensus::GroupId(0), Term(0), Consensus::Announce {} } };
}

Consensus::Event appendReply(const Consensus::State& state, const MemberId& from, uint64_t match)
{
    return Consensus::Receive { { from, state.options.self, Consensus::GroupId(1), state.hard.term,
        Consensus::AppendReply { .accepted = true, .match = LogIndex(match) } } };
}

// Member a leads in term 3. Entry 2 is from term 2, entry 3 is the first of its own term; all are durable locally.
Consensus::State leader()
{
    Consensus::State state = voter("a", 1);
    auto grant = [&](bool pre, uint64_t term) {
        step(state, Consensus::Persisted { state.lastWrite }, TimePoint());
        step(state,
            Consensus::Receive { { member("b", 2), member("a", 1), Consensus::GroupId(1), Term(term),
                Consensus::VoteReply { pre, true } } },
            TimePoint());
    };
    auto entry = std::make_shared<const Consensus::Entry>(
        Consensus::Entry { LogIndex(2), Term(2), Consensus::EntryKind::Command, "old", {} });
    step(state,
        Consensus::Receive { { member("c", 3), member("a", 1), Consensus::GroupId(1), Term(2),
            Consensus::AppendRequest {
                .previousIndex = LogIndex(1), .previousTerm = Term(1), .entries = { entry } } } },
        TimePoint());
    state.electionDue = TimePoint();
    step(state, Consensus::Tick {}, TimePoint());
    grant(true, 3);
    grant(false, 3);
    step(state, Consensus::Persisted { state.lastWrite }, TimePoint());
    EXPECT_TRUE(isLeading(state));
    return state;
}

} // namespace

TEST(Step, VoteWaitsForTheDisk)
{
    Consensus::State state = voter("b", 2);
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty());
    ASSERT_EQ(effects.messagesAfterWrites.size(), 1u);
    EXPECT_TRUE(std::get<Consensus::VoteReply>(effects.messagesAfterWrites[0].body).granted);
    ASSERT_TRUE(effects.write && effects.write->hard);
    EXPECT_EQ(effects.write->hard->vote, member("a", 1));
}

TEST(Step, MemberThatLostItsDiskDoesNotVoteUnderItsOldIdentity)
{
    Consensus::State state = voter("b", 99);
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty() && effects.messagesAfterWrites.empty() && !effects.write);
}

TEST(Step, OneVoteATerm)
{
    Consensus::State state = voter("b", 2);
    step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    auto effects = step(state, voteRequest(member("c", 3), member("b", 2)), TimePoint());
    ASSERT_EQ(effects.messagesAfterWrites.size(), 1u);
    EXPECT_FALSE(std::get<Consensus::VoteReply>(effects.messagesAfterWrites[0].body).granted);
}

// Guards against committing an entry of an earlier term by counting replicas: a later leader could still overwrite it.
TEST(Step, EntryOfAnOlderTermIsNotCommittedByCounting)
{
    Consensus::State state = leader();
    auto match = [&](uint64_t index) {
        step(state, appendReply(state, member("b", 2), index), TimePoint());
        return state.commit;
    };
    EXPECT_EQ(match(2), LogIndex(0));
    EXPECT_EQ(match(3), LogIndex(3));
}

TEST(Step, OwnEntryCountsOnceItIsDurable)
{
    Consensus::State state = leader();
    step(state, appendReply(state, member("b", 2), 3), TimePoint());
    step(state, Consensus::Propose { { "new" } }, TimePoint());
    step(state, appendReply(state, member("b", 2), 4), TimePoint());
    EXPECT_EQ(state.commit, LogIndex(3));
    step(state, Consensus::Persisted { state.lastWrite }, TimePoint());
    EXPECT_EQ(state.commit, LogIndex(4));
}

// Guards against a leader whose disk stalls and that still sends heartbeats: it would neither apply nor acknowledge.
TEST(Step, LeaderWithAStalledDiskLetsAnotherMemberLead)
{
    Consensus::State state = leader();
    TimePoint now;
    step(state, appendReply(state, member("b", 2), 3), now);
    step(state, Consensus::Propose { { "new" } }, now);
    std::vector<Consensus::Message> sent;
    while (isLeading(state) && now < TimePoint(state.options.electionTimeout * 4)) {
        now = now + state.options.heartbeat;
        auto reply = step(state, appendReply(state, member("b", 2), 4), now).messages;
        sent.insert(sent.end(), reply.begin(), reply.end());
        auto tick = step(state, Consensus::Tick {}, now).messages;
        sent.insert(sent.end(), tick.begin(), tick.end());
    }
    EXPECT_FALSE(isLeading(state));
    EXPECT_LE(now, TimePoint(state.options.electionTimeout * 3));
    auto isTimeoutNow = [](const Consensus::Message& message) {
        return message.to == member("b", 2) && std::holds_alternative<Consensus::TimeoutNow>(message.body);
    };
    EXPECT_EQ(std::count_if(sent.begin(), sent.end(), isTimeoutNow), 1);
    for (int i = 0; i < 100; ++i) {
        now = now + state.options.heartbeat;
        EXPECT_TRUE(step(state, Consensus::Tick {}, now).messages.empty()) << "no election with a stalled disk";
    }
    step(state, Consensus::Persisted { state.lastWrite }, now);
    EXPECT_FALSE(step(state, Consensus::Tick {}, now + state.options.electionTimeout * 3).messages.empty());
}

TEST(Step, OnlyVoterKeepsLeadingWhileItsDiskStalls)
{
    Consensus::State state = voter("a", 1);
    state.memberships.back().second.members.resize(1);
    TimePoint now;
    for (int i = 0; i < 20 && !isLeading(state); ++i) {
        now = now + state.options.electionTimeout;
        step(state, Consensus::Tick {}, now);
        step(state, Consensus::Persisted { state.lastWrite }, now);
    }
    ASSERT_TRUE(isLeading(state));
    step(state, Consensus::Propose { { "new" } }, now);
    for (int i = 0; i < 100; ++i) {
        now = now + state.options.heartbeat;
        step(state, Consensus::Tick {}, now);
    }
    EXPECT_TRUE(isLeading(state));
}

TEST(Step, OneMembershipChangeAtATime)
{
    Consensus::State state = leader();
    step(state, appendReply(state, member("b", 2), 3), TimePoint());
    // At 700 ms only b has been active within the election timeout.
    TimePoint late(Milliseconds(390));
    step(state, appendReply(state, member("b", 2), 3), late);
    TimePoint later(Milliseconds(700));
    step(state, announce(member("c", 99)), later);
    EXPECT_EQ(lastIndex(state.log), LogIndex(4));
    step(state, announce(member("c", 100)), later);
    EXPECT_EQ(lastIndex(state.log), LogIndex(4));
    step(state, Consensus::Persisted { state.lastWrite }, later);
    step(state, appendReply(state, member("b", 2), 4), later);
    EXPECT_EQ(state.commit, LogIndex(4));
    step(state, announce(member("c", 100)), later);
    EXPECT_EQ(lastIndex(state.log), LogIndex(5));
}

// Once the learner has caught up, the lost identity of its instance is removed first, then the learner is promoted.
TEST(Step, LearnerGetsNoVoteBeforeItHasCaughtUp)
{
    Consensus::State state = leader();
    TimePoint now(Milliseconds(390));
    step(state, appendReply(state, member("b", 2), 3), now);
    now = TimePoint(Milliseconds(700));
    step(state, announce(member("c", 99)), now);
    auto round = [&](uint64_t learnerMatch) {
        step(state, Consensus::Persisted { state.lastWrite }, now);
        step(state, appendReply(state, member("b", 2), lastIndex(state.log).value()), now);
        step(state, appendReply(state, member("c", 99), learnerMatch), now);
        now = now + state.options.heartbeat;
        step(state, Consensus::Tick {}, now);
    };
    for (int i = 0; i < 5; ++i)
        round(2);
    EXPECT_EQ(voterCount(membership(state)), 3u);
    EXPECT_FALSE(isVoter(membership(state), member("c", 99)));
    round(4);
    EXPECT_EQ(voterCount(membership(state)), 2u);
    round(5);
    EXPECT_EQ(voterCount(membership(state)), 3u);
    EXPECT_TRUE(isVoter(membership(state), member("c", 99)));
}

TEST(Step, FailedStorageSilencesTheMember)
{
    Consensus::State state = voter("b", 2);
    step(state, Consensus::StorageFailed {}, TimePoint());
    auto effects = step(state, voteRequest(member("a", 1), member("b", 2)), TimePoint());
    EXPECT_TRUE(effects.messages.empty() && effects.messagesAfterWrites.empty() && !effects.write);
}

TEST(Group, FormsOnceAllDataFoldersAreNew)
{
    FakeCluster cluster(1, 3);
    cluster.checkConverged();
    EXPECT_TRUE(cluster.history().violations().empty());
}

TEST(Group, IsNotFormedWhileAVoterIsDown)
{
    FakeCluster cluster(2, 3);
    cluster.kill(2, false);
    cluster.run(Milliseconds(5000));
    EXPECT_FALSE(cluster.leader());
    EXPECT_EQ(cluster.history().last(), LogIndex(0));
}

TEST(Group, LeaderCutOffStepsDownByItself)
{
    FakeCluster cluster(3, 3);
    cluster.checkConverged();
    size_t old = *cluster.leader();
    for (size_t i = 0; i < 3; ++i) {
        if (i != old)
            cluster.kill(i, false);
    }
    cluster.run(Milliseconds(600));
    EXPECT_FALSE(cluster.leader());
}

// Each member in turn loses its disk as soon as the previous one is a voter again.
TEST(Group, SurvivesSuccessiveDiskLosses)
{
    FakeCluster cluster(4, 3);
    cluster.checkConverged();
    for (size_t i = 0; i < 9; ++i) {
        size_t lost = i % 3;
        cluster.kill(lost, true);
        cluster.run(Milliseconds(300));
        cluster.restart(lost);
        for (int n = 0; n < 200 && !cluster.allMembersVote(); ++n)
            cluster.run(Milliseconds(50));
        ASSERT_TRUE(cluster.allMembersVote()) << "round " << i;
    }
    cluster.checkConverged();
    for (const std::string& it : cluster.history().violations())
        ADD_FAILURE() << it;
}

namespace {

// Member a leads a group of three that other instances may join. In each round only the members passed to it reply.
struct OpenGroup {
    Consensus::State state = leader();
    TimePoint now { Milliseconds(390) };

    OpenGroup(size_t targetVoters, size_t minimumCopies)
    {
        state.options.targetVoters = targetVoters;
        state.options.minimumCopies = minimumCopies;
    }

    void round(const std::vector<MemberId>& alive)
    {
        step(state, Consensus::Persisted { state.lastWrite }, now);
        for (const MemberId& id : alive)
            step(state, appendReply(state, id, lastIndex(state.log).value()), now);
        now = now + state.options.heartbeat;
        step(state, Consensus::Tick {}, now);
    }

    bool votes(const MemberId& id) const { return isVoter(membership(state), id); }
};

const MemberId memberB = member("b", 2);
const MemberId memberC = member("c", 3);
const MemberId newcomer = member("d", 4);

} // namespace

TEST(OpenGroup, AdmitsANewcomerWhileThereAreTooFewVoters)
{
    OpenGroup group(5, 1);
    group.round({ memberB, memberC });
    step(group.state, announce(newcomer), group.now);
    for (int i = 0; i < 6; ++i)
        group.round({ memberB, memberC, newcomer });
    EXPECT_TRUE(group.votes(newcomer));
    EXPECT_EQ(voterCount(membership(group.state)), 4u);
}

TEST(OpenGroup, ANewcomerReplacesASilentVoterOnly)
{
    OpenGroup group(3, 1);
    group.round({ memberB, memberC });
    step(group.state, announce(newcomer), group.now);
    for (int i = 0; i < 10; ++i)
        group.round({ memberB, memberC, newcomer });
    EXPECT_FALSE(group.votes(newcomer));
    for (int i = 0; i < 20; ++i)
        group.round({ memberB, newcomer });
    EXPECT_TRUE(group.votes(memberC)) << "silent for 2.0 s only";
    for (int i = 0; i < 12; ++i)
        group.round({ memberB, newcomer });
    EXPECT_TRUE(group.votes(newcomer));
    EXPECT_FALSE(group.votes(memberC));
    EXPECT_EQ(voterCount(membership(group.state)), 3u);
}

TEST(OpenGroup, CommitsOnceThereAreEnoughCopies)
{
    OpenGroup group(5, 3);
    group.round({ memberB, memberC });
    LogIndex before = group.state.commit;
    step(group.state, Consensus::Propose { { "new" } }, group.now);
    group.round({ memberB });
    EXPECT_EQ(group.state.commit, before) << "two copies";
    group.round({ memberC });
    EXPECT_EQ(group.state.commit, before + LogIndex(1));
}

TEST(OpenGroup, AMemberWithoutInitialVotersNeverBootstraps)
{
    Consensus::Options options;
    options.self = member("a", 1);
    options.contacts = { InstanceId("b"), InstanceId("c") };
    options.targetVoters = 5;
    Consensus::State state = makeState(options, {}, 7, TimePoint());
    TimePoint now;
    for (int i = 0; i < 20; ++i) {
        now = now + options.electionTimeout;
        auto effects = step(state, Consensus::Tick {}, now);
        EXPECT_EQ(effects.messages.size(), 2u) << "one announcement per contact";
        for (const char* other : { "b", "c" }) {
            Consensus::AnnounceReply notInGroup;
            step(state,
                Consensus::Receive { { member(other, 2), options.self, Consensus::GroupId(0), Term(0), notInGroup } },
                now);
        }
    }
    EXPECT_EQ(lastIndex(state.log), LogIndex(0));
}

TEST(OpenGroup, AMemberOutsideAnnouncesToInstancesNamedInReplies)
{
    Consensus::Options options;
    options.self = member("a", 1);
    options.contacts = { InstanceId("b") };
    Consensus::State state = makeState(options, {}, 7, TimePoint());
    Consensus::AnnounceReply reply { true, { InstanceId("b"), InstanceId("e") } };
    step(state, Consensus::Receive { { member("b", 2), options.self, Consensus::GroupId(0), Term(0), reply } },
        TimePoint());
    auto effects = step(state, Consensus::Tick {}, TimePoint(options.electionTimeout));
    EXPECT_EQ(effects.messages.size(), 2u);
}

// Guards against replies that hide the group's members: from an instance that is in no group, or from a member with an
// outdated list.
TEST(OpenGroup, AMemberOutsideKeepsTheInstancesThatOthersNamed)
{
    Consensus::Options options;
    options.self = member("a", 1);
    options.contacts = { InstanceId("b"), InstanceId("c") };
    Consensus::State state = makeState(options, {}, 7, TimePoint());
    TimePoint now;
    auto reply = [&](const char* from, bool inGroup, std::vector<InstanceId> members) {
        Consensus::AnnounceReply body { inGroup, std::move(members) };
        return step(
            state, Consensus::Receive { { member(from, 2), options.self, Consensus::GroupId(0), Term(0), body } }, now)
            .messages;
    };
    auto announced = [&](const std::vector<Consensus::Message>& messages) {
        std::set<std::string> to;
        for (const Consensus::Message& it : messages)
            to.insert(it.to.instance.value());
        return to;
    };
    using Names = std::set<std::string>;
    EXPECT_EQ(announced(reply("b", true, { InstanceId("b"), InstanceId("leader") })), Names { "leader" }) << "at once";
    EXPECT_TRUE(reply("c", false, {}).empty());
    now = now + options.electionTimeout;
    EXPECT_EQ(announced(step(state, Consensus::Tick {}, now).messages), (Names { "b", "c", "leader" }));
    EXPECT_EQ(announced(reply("c", true, { InstanceId("b"), InstanceId("gone") })), Names { "gone" });
    now = now + options.electionTimeout * 4;
    EXPECT_EQ(announced(step(state, Consensus::Tick {}, now).messages), (Names { "b", "c", "gone", "leader" }));
    reply("b", true, { InstanceId("b"), InstanceId("leader") });
    now = now + options.electionTimeout;
    EXPECT_EQ(announced(step(state, Consensus::Tick {}, now).messages), (Names { "b", "c", "leader" }))
        << "the source of the other list is silent";
}
