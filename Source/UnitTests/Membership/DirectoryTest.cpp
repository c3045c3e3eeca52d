#include "Membership/Directory.h"

#include "Common/Random.h"
#include "Membership/GossipLoop.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace Membership;
using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

const DirectorySettings settings;
const Common::InstanceId self = instanceId(0);
const TimePoint start { Milliseconds(1'000) };

Directory directoryWithInstances(size_t n)
{
    Directory directory;
    for (size_t i = 0; i < n; ++i)
        merge(directory, instanceRecord(i), start);
    return directory;
}

Announcement inState(ServerState state, uint64_t sequence, uint64_t incarnation = 1)
{
    Announcement it = announcement(0, sequence);
    it.state = state;
    it.incarnation = Incarnation(incarnation);
    return it;
}

const ServerRecord& recordOf(const Directory& directory, size_t i = 0)
{
    return directory.servers.at(serverId(i)).record;
}

template <typename T> void shuffle(std::vector<T>& items, Common::Random& random)
{
    for (size_t i = items.size(); i > 1; --i)
        std::swap(items[i - 1], items[random.below(i)]);
}

// The announcements of a server over several incarnations. In each it starts, becomes ready, changes its replicas and
// may leave.
std::vector<Announcement> randomAnnouncements(size_t i, Common::Random& random)
{
    std::vector<Announcement> announcements;
    uint64_t incarnations = 1 + random.below(3);
    for (uint64_t incarnation = 1; incarnation <= incarnations; ++incarnation) {
        Announcement it = announcement(i, 0);
        it.incarnation = Incarnation(incarnation);
        it.state = ServerState::Starting;
        uint64_t n = 1 + random.below(8);
        for (uint64_t sequence = 1; sequence <= n; ++sequence) {
            it.sequence = sequence;
            if (random.chance(0.3))
                it.state = ServerState::Ready;
            if (random.chance(0.2))
                it.replicas.push_back({ Common::IndexVersion(8), Common::ShardId(static_cast<uint32_t>(sequence)) });
            announcements.push_back(it);
        }
        if (random.chance(0.5)) {
            it.state = ServerState::Leaving;
            it.sequence = n + 1;
            announcements.push_back(it);
            // A thread of the server that has not seen the leave yet renews once more.
            it.state = ServerState::Ready;
            it.sequence = n + 2;
            announcements.push_back(it);
        }
    }
    return announcements;
}

// The expected result, computed from all announcements: the highest incarnation wins; within it leaving wins, else the
// latest announcement.
struct ExpectedState {
    Incarnation incarnation;
    ServerState state { ServerState::Starting };
    std::vector<Replica> replicas;
};

ExpectedState expectedStateOf(const std::vector<Announcement>& all)
{
    ExpectedState expected;
    uint64_t sequence = 0;
    for (const Announcement& it : all)
        expected.incarnation = std::max(expected.incarnation, it.incarnation);
    bool hasLeft = false;
    for (const Announcement& it : all) {
        if (it.incarnation != expected.incarnation)
            continue;
        hasLeft |= it.state == ServerState::Leaving;
        if (it.sequence > sequence) {
            sequence = it.sequence;
            expected.state = it.state;
            expected.replicas = it.replicas;
        }
    }
    if (hasLeft)
        expected.state = ServerState::Leaving;
    return expected;
}

// The records of the highest incarnation.
std::vector<ServerRecord> ofHighestIncarnation(const std::vector<ServerRecord>& records)
{
    Incarnation highest;
    for (const ServerRecord& record : records)
        highest = std::max(highest, record.announcement.incarnation);
    std::vector<ServerRecord> found;
    std::copy_if(records.begin(), records.end(), std::back_inserter(found),
        [&](const ServerRecord& record) { return record.announcement.incarnation == highest; });
    return found;
}

} // namespace

// Guards against instances that disagree about a server after lost, duplicated and reordered announcements and gossip.
TEST(Directory, AgreesWithTheReferenceModelOnRandomSchedules)
{
    constexpr size_t instances = 4;
    constexpr size_t servers = 3;
    for (uint64_t seed = 1; seed <= 2'000; ++seed) {
        Common::Random random(seed);
        std::vector<Directory> directories(instances, directoryWithInstances(instances));
        std::map<size_t, std::vector<Announcement>> delivered;
        std::vector<std::pair<size_t, Announcement>> deliveries;
        for (size_t i = 0; i < servers; ++i) {
            for (const Announcement& it : randomAnnouncements(i, random)) {
                if (random.chance(0.2))
                    continue; // Lost.
                delivered[i].push_back(it);
                for (uint64_t copies = 1 + random.below(3); copies; --copies)
                    deliveries.emplace_back(random.below(instances), it);
            }
        }
        shuffle(deliveries, random);
        std::vector<std::pair<size_t, ServerRecord>> gossip;
        for (const auto& [to, it] : deliveries) {
            auto outcome = announce(directories[to], it, instanceId(to), start);
            if (!outcome.change)
                continue;
            for (size_t peer = 0; peer < instances; ++peer)
                gossip.emplace_back(peer, std::get<ServerRecord>(outcome.change->record));
        }
        gossip.insert(gossip.end(), gossip.begin(), gossip.end());
        shuffle(gossip, random);
        for (const auto& [to, record] : gossip)
            merge(directories[to], record, start);

        for (const auto& [i, all] : delivered) {
            ExpectedState expected = expectedStateOf(all);
            for (const Directory& directory : directories) {
                const ServerRecord& record = recordOf(directory, i);
                ASSERT_EQ(record, recordOf(directories[0], i)) << "seed " << seed;
                ASSERT_EQ(record.announcement.incarnation, expected.incarnation) << "seed " << seed;
                ASSERT_EQ(record.announcement.state, expected.state) << "seed " << seed;
                if (expected.state != ServerState::Leaving) {
                    ASSERT_EQ(record.announcement.replicas, expected.replicas) << "seed " << seed;
                }
            }
        }
    }
}

TEST(Directory, MergeIsCommutativeAndIdempotent)
{
    for (uint64_t seed = 1; seed <= 2'000; ++seed) {
        Common::Random random(seed);
        std::vector<ServerRecord> records;
        for (int n = 0; n < 12; ++n) {
            ServerRecord record { announcement(0, random.below(4)), instanceId(random.below(3)) };
            record.announcement.incarnation = Incarnation(1 + random.below(2));
            record.announcement.state = static_cast<ServerState>(random.below(3));
            record.liveness = static_cast<Liveness>(random.below(3));
            records.push_back(record);
        }
        Directory one;
        Directory two;
        for (const ServerRecord& record : records)
            merge(one, record, start);
        records.insert(records.end(), records.begin(), records.begin() + 4);
        shuffle(records, random);
        for (const ServerRecord& record : records)
            merge(two, record, start);
        ASSERT_EQ(recordOf(one), recordOf(two)) << "seed " << seed;
        auto counting = ofHighestIncarnation(records);
        auto isGone = [](const ServerRecord& it) { return it.liveness == Liveness::Gone; };
        auto isLeaving = [](const ServerRecord& it) { return it.announcement.state == ServerState::Leaving; };
        bool anyGone = std::any_of(counting.begin(), counting.end(), isGone);
        ASSERT_EQ(isGone(recordOf(one)), anyGone) << "seed " << seed;
        if (!anyGone) {
            bool anyLeaving = std::any_of(counting.begin(), counting.end(), isLeaving);
            ASSERT_EQ(isLeaving(recordOf(one)), anyLeaving) << "seed " << seed;
        }
        for (const ServerRecord& record : records)
            ASSERT_FALSE(merge(one, record, start)) << "seed " << seed;
    }
}

TEST(Directory, LeavingIsFinalForItsIncarnation)
{
    Directory directory = directoryWithInstances(1);
    announce(directory, inState(ServerState::Ready, 1), self, start);
    // The leave arrives after a later renewal.
    EXPECT_FALSE(announce(directory, inState(ServerState::Ready, 5), self, start).change);
    EXPECT_TRUE(announce(directory, inState(ServerState::Leaving, 4), self, start).change);
    EXPECT_FALSE(announce(directory, inState(ServerState::Ready, 9), self, start).change);
    EXPECT_EQ(recordOf(directory).announcement.state, ServerState::Leaving);
    EXPECT_TRUE(candidates(directory, Common::GroupName("foglalas")).empty());
    EXPECT_TRUE(announce(directory, inState(ServerState::Ready, 1, 2), self, start).change);
    EXPECT_EQ(candidates(directory, Common::GroupName("foglalas")).size(), 1u);
}

TEST(Directory, SilentServersAreSuspectedThenRemovedAndStayRemoved)
{
    Directory directory = directoryWithInstances(1);
    announce(directory, inState(ServerState::Ready, 1), self, start);
    auto suspected = expire(directory, settings, self, true, start + settings.suspectAfter);
    ASSERT_EQ(suspected.size(), 1u);
    EXPECT_TRUE(candidates(directory, Common::GroupName("foglalas"))[0].isSuspect);
    auto removedAt = start + settings.removeAfter;
    ASSERT_EQ(expire(directory, settings, self, true, removedAt).size(), 1u);
    EXPECT_TRUE(candidates(directory, Common::GroupName("foglalas")).empty());

    for (uint64_t sequence : { 1, 2, 30 }) {
        auto outcome = announce(directory, inState(ServerState::Ready, sequence), self, removedAt);
        EXPECT_EQ(outcome.status, AnnounceStatus::RaiseIncarnation);
        EXPECT_FALSE(outcome.change);
    }
    EXPECT_TRUE(announce(directory, inState(ServerState::Ready, 31, 2), self, removedAt).change);
    EXPECT_EQ(announce(directory, inState(ServerState::Ready, 40), self, removedAt).status, AnnounceStatus::Stale);
}

TEST(Directory, TombstonesAreBoundedInTime)
{
    Directory directory = directoryWithInstances(1);
    announce(directory, inState(ServerState::Ready, 1), self, start);
    auto removedAt = start + settings.removeAfter;
    expire(directory, settings, self, true, removedAt);
    expire(directory, settings, self, true, removedAt + settings.keepTombstones - Milliseconds(1));
    EXPECT_EQ(directory.servers.size(), 1u);
    expire(directory, settings, self, true, removedAt + settings.keepTombstones);
    EXPECT_TRUE(directory.servers.empty());
}

TEST(Directory, ARenewalIsGossipedOnlyIfItRefutesASuspicion)
{
    Directory owner = directoryWithInstances(2);
    Directory other = owner;
    auto joined = announce(owner, inState(ServerState::Ready, 1), self, start);
    merge(other, std::get<ServerRecord>(joined.change->record), start);
    auto outcome = announce(other, inState(ServerState::Ready, 2), instanceId(1), start);
    EXPECT_FALSE(outcome.change);
    ASSERT_EQ(outcome.forwardRenewalTo, self);

    Renewal renewal { serverId(0), Incarnation(1), 2 };
    auto renewedAt = start + Milliseconds(5'000);
    EXPECT_FALSE(renew(owner, renewal, self, renewedAt));
    auto suspectAt = renewedAt + settings.suspectAfter;
    EXPECT_TRUE(expire(owner, settings, self, true, suspectAt - Milliseconds(1)).empty());
    EXPECT_EQ(expire(owner, settings, self, true, suspectAt).size(), 1u);
    // A duplicate renewal does not reset the timeout.
    EXPECT_FALSE(renew(owner, renewal, self, suspectAt));
    EXPECT_EQ(owner.servers.at(serverId(0)).renewedAt, renewedAt);
    renewal.sequence = 3;
    EXPECT_TRUE(renew(owner, renewal, self, suspectAt));
    EXPECT_EQ(recordOf(owner).liveness, Liveness::Alive);
}

TEST(Directory, AnotherInstanceTakesOverWhenTheOwnerIsLost)
{
    Directory directory = directoryWithInstances(3);
    merge(directory, ServerRecord { announcement(0, 1), instanceId(2) }, start);
    merge(directory, ServerRecord { announcement(1, 1), instanceId(2) }, start);
    auto lostAt = start + Milliseconds(60'000);
    EXPECT_TRUE(expire(directory, settings, self, true, lostAt).empty()) << "another instance is responsible";
    InstanceRecord lost = instanceRecord(2);
    lost.liveness = Liveness::Gone;
    merge(directory, lost, lostAt);
    for (size_t i = 0; i < 2; ++i)
        EXPECT_TRUE(expire(directory, settings, instanceId(i), true, lostAt + Milliseconds(1'000)).empty())
            << "renewals went to the lost owner until now";

    auto outcome = announce(directory, announcement(0, 9), self, lostAt + Milliseconds(1'000));
    ASSERT_TRUE(outcome.change);
    EXPECT_EQ(recordOf(directory, 0).owner, self);
    // The other server sends nothing more: exactly one of the two remaining instances removes it.
    Directory twin = directory;
    auto later = lostAt + settings.removeAfter;
    for (size_t i = 0; i < 2; ++i)
        announce(i ? twin : directory, announcement(0, 10), instanceId(i), later - Milliseconds(100));
    size_t removed = expire(directory, settings, self, true, later).size()
        + expire(twin, settings, instanceId(1), true, later).size();
    EXPECT_EQ(removed, 1u);
}

TEST(Directory, CandidatesHoldShardsOfTheVersion)
{
    Directory directory = directoryWithInstances(1);
    Announcement both = announcement(1, 1);
    both.state = ServerState::Starting;
    both.replicas = { { Common::IndexVersion(7), Common::ShardId(3) }, { Common::IndexVersion(8), Common::ShardId(4) },
        { Common::IndexVersion(7), Common::ShardId(1) } };
    announce(directory, both, self, start);
    announce(directory, announcement(2, 1), self, start);
    auto found = candidates(directory, Common::GroupName("foglalas"), Common::IndexVersion(7));
    ASSERT_EQ(found.size(), 2u);
    EXPECT_EQ(found[0].shards, (std::vector { Common::ShardId(1), Common::ShardId(3) }));
    EXPECT_EQ(found[0].state, ServerState::Starting);
    EXPECT_EQ(candidates(directory, Common::GroupName("foglalas"), Common::IndexVersion(8)).size(), 1u);
    EXPECT_TRUE(candidates(directory, Common::GroupName("dugo"), Common::IndexVersion(7)).empty());
}
