#include "Common/Random.h"
#include "Wire/ConsensusCodec.h"

#include <gtest/gtest.h>

using Common::InstanceId;
using Common::LogIndex;
using Common::Term;

namespace {

Consensus::MemberId member(const char* instance, uint64_t storage)
{
    return { InstanceId(instance), Consensus::StorageId(storage) };
}

Consensus::Membership membership()
{
    return { Consensus::GroupId(9), { { member("a", 1), true }, { member("b", 2), false } } };
}

Consensus::EntryRef entry(uint64_t index, Consensus::EntryKind kind)
{
    Consensus::Entry it { LogIndex(index), Term(3), kind, {}, {} };
    if (kind == Consensus::EntryKind::Command)
        it.command = std::string("a\0b", 3);
    if (kind == Consensus::EntryKind::Membership)
        it.membership = membership();
    return std::make_shared<const Consensus::Entry>(it);
}

Consensus::Message message(Consensus::MessageBody body)
{
    return { member("a", 1), member("b", 2), Consensus::GroupId(9), Term(4), std::move(body) };
}

Consensus::Message appendRequest()
{
    Consensus::AppendRequest request { LogIndex(5), Term(3), {}, LogIndex(4), Consensus::ReadRound(8) };
    request.entries = { entry(6, Consensus::EntryKind::NoOp), entry(7, Consensus::EntryKind::Command),
        entry(8, Consensus::EntryKind::Membership) };
    return message(request);
}

} // namespace

TEST(ConsensusCodec, RoundTripsEachMessageBody)
{
    auto snapshot = std::make_shared<const Consensus::Snapshot>(
        Consensus::Snapshot { { LogIndex(5), Term(2), membership() }, "state" });
    std::vector<Consensus::MessageBody> bodies {
        Consensus::VoteRequest { true, false, LogIndex(3), Term(2) },
        Consensus::VoteReply { false, true },
        std::get<Consensus::AppendRequest>(appendRequest().body),
        Consensus::AppendReply { true, LogIndex(1), LogIndex(2), LogIndex(3), Consensus::ReadRound(4) },
        Consensus::SnapshotRequest { snapshot, Consensus::ReadRound(6) },
        Consensus::TimeoutNow {},
        Consensus::Announce {},
        Consensus::AnnounceReply { true },
    };
    for (const Consensus::MessageBody& body : bodies) {
        std::string bytes = Wire::encode(message(body));
        auto decoded = Wire::decodeConsensusMessage(bytes);
        ASSERT_TRUE(decoded) << decoded.error();
        EXPECT_EQ(decoded.value().body.index(), body.index());
        EXPECT_EQ(decoded.value().from, member("a", 1));
        EXPECT_EQ(decoded.value().term, Term(4));
        EXPECT_EQ(Wire::encode(decoded.value()), bytes);
    }
}

TEST(ConsensusCodec, RoundTripsStoredRecords)
{
    for (auto kind : { Consensus::EntryKind::NoOp, Consensus::EntryKind::Command, Consensus::EntryKind::Membership })
        EXPECT_EQ(*Wire::decodeEntry(Wire::encode(*entry(7, kind))).value(), *entry(7, kind));
    Consensus::HardState hard { Term(5), member("b", 2) };
    EXPECT_EQ(Wire::decodeHardState(Wire::encode(hard)).value(), hard);
    Consensus::SnapshotMeta meta { LogIndex(5), Term(2), membership() };
    EXPECT_EQ(Wire::decodeSnapshotMeta(Wire::encode(meta)).value(), meta);
}

// Truncated or damaged bytes from the network must not crash the process.
TEST(ConsensusCodec, DecodesOrRejectsDamagedBytes)
{
    std::string bytes = Wire::encode(appendRequest());
    for (size_t n = 0; n < bytes.size(); ++n) {
        auto truncated = Wire::decodeConsensusMessage(std::string_view(bytes).substr(0, n));
        ASSERT_FALSE(truncated) << "of " << n << " bytes";
        EXPECT_EQ(truncated.error().reason, Common::Reason::Corrupt);
    }
    Common::Random random(11);
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = bytes;
        for (uint64_t n = 1 + random.below(4); n; --n)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        auto decoded = Wire::decodeConsensusMessage(damaged);
        if (!decoded) {
            EXPECT_EQ(decoded.error().reason, Common::Reason::Corrupt);
        }
    }
}

TEST(ConsensusCodec, RejectsGapsBetweenEntries)
{
    Consensus::Message gap = appendRequest();
    std::get<Consensus::AppendRequest>(gap.body).entries.erase(
        std::get<Consensus::AppendRequest>(gap.body).entries.begin());
    EXPECT_EQ(Wire::decodeConsensusMessage(Wire::encode(gap)).error().reason, Common::Reason::Corrupt);
}
