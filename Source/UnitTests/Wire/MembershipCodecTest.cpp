#include "Wire/MembershipCodec.h"

#include "Common/Random.h"

#include <gtest/gtest.h>

using namespace Membership;

namespace {

std::string randomText(Common::Random& random)
{
    std::string text;
    for (uint64_t n = random.below(20); n; --n)
        text += static_cast<char>('a' + random.below(26));
    return text;
}

template <typename Id> Id randomId(Common::Random& random) { return Id(randomText(random)); }

template <typename Enum> Enum randomEnum(Common::Random& random, Enum last)
{
    return static_cast<Enum>(random.below(static_cast<uint64_t>(last) + 1));
}

Record randomRecord(Common::Random& random)
{
    Liveness liveness = randomEnum(random, Liveness::Gone);
    if (random.chance(0.4)) {
        ServerRecord record;
        record.announcement = { randomId<Common::BackendServerId>(random), randomId<Common::Address>(random),
            randomId<Common::FailureDomain>(random), randomId<Common::GroupName>(random),
            Common::Incarnation(random.below(~0ULL)), random.below(~0ULL), randomEnum(random, ServerState::Leaving),
            {} };
        for (uint64_t n = random.below(4); n; --n)
            record.announcement.replicas.push_back({ Common::IndexVersion(random.below(1'000)),
                Common::ShardId(static_cast<uint32_t>(random.below(1'000))) });
        record.owner = randomId<Common::InstanceId>(random);
        record.liveness = liveness;
        return record;
    }
    if (random.chance(0.5))
        return InstanceRecord { randomId<Common::InstanceId>(random), Common::Incarnation(random.below(99)),
            randomId<Common::Address>(random), randomId<Common::FailureDomain>(random),
            randomEnum(random, InstanceState::Leaving), random.below(99), liveness };
    FingerprintRecord record { Common::Fingerprint(random.below(~0ULL)), random.below(9), {},
        Common::Milliseconds(static_cast<double>(random.below(100'000))) };
    for (uint64_t n = random.below(4); n; --n)
        record.losses.push_back({ randomId<Common::BackendServerId>(random), Common::Incarnation(n) });
    std::sort(record.losses.begin(), record.losses.end());
    return record;
}

GossipMessage randomMessage(Common::Random& random)
{
    GossipMessage message;
    message.from = randomId<Common::InstanceId>(random);
    for (uint64_t n = random.below(6); n; --n)
        message.records.push_back(randomRecord(random));
    for (uint64_t n = random.below(4); n; --n)
        message.renewals.push_back({ randomId<Common::BackendServerId>(random), Common::Incarnation(n), n });
    if (random.chance(0.5))
        message.digest = random.below(~0ULL);
    message.wantsReply = random.chance(0.5);
    if (random.chance(0.2))
        message.buckets.assign(digestBuckets, static_cast<uint32_t>(random.below(~0U)));
    for (uint64_t n = random.below(3); n; --n)
        message.summaries.push_back({ static_cast<uint32_t>(random.below(digestBuckets)), { { n, 5 }, { 7, 8 } } });
    for (uint64_t n = random.below(3); n; --n)
        message.wanted.push_back(random.below(~0ULL));
    if (random.chance(0.2))
        message.probe = randomId<Common::InstanceId>(random);
    if (random.chance(0.2))
        message.heard = randomId<Common::InstanceId>(random);
    return message;
}

void expectSame(const Record& a, const Record& b)
{
    ASSERT_EQ(a.index(), b.index());
    if (const auto* fingerprint = std::get_if<FingerprintRecord>(&a)) {
        const auto& other = std::get<FingerprintRecord>(b);
        EXPECT_EQ(fingerprint->fingerprint, other.fingerprint);
        EXPECT_EQ(fingerprint->round, other.round);
        EXPECT_EQ(fingerprint->losses, other.losses);
        EXPECT_EQ(fingerprint->remaining, other.remaining);
    } else if (const auto* server = std::get_if<ServerRecord>(&a))
        EXPECT_EQ(*server, std::get<ServerRecord>(b));
    else
        EXPECT_EQ(std::get<InstanceRecord>(a), std::get<InstanceRecord>(b));
}

void expectSame(const GossipMessage& a, const GossipMessage& b)
{
    EXPECT_EQ(a.from, b.from);
    ASSERT_EQ(a.records.size(), b.records.size());
    for (size_t i = 0; i < a.records.size(); ++i)
        expectSame(a.records[i], b.records[i]);
    EXPECT_EQ(a.renewals, b.renewals);
    EXPECT_EQ(a.digest, b.digest);
    EXPECT_EQ(a.wantsReply, b.wantsReply);
    EXPECT_EQ(a.buckets, b.buckets);
    EXPECT_EQ(a.summaries, b.summaries);
    EXPECT_EQ(a.wanted, b.wanted);
    EXPECT_EQ(a.probe, b.probe);
    EXPECT_EQ(a.heard, b.heard);
}

} // namespace

TEST(MembershipCodec, GossipRoundTrips)
{
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        Common::Random random(seed);
        Wire::GossipEnvelope envelope { randomMessage(random), Observe::LogicalTime(seed) };
        auto decoded = Wire::decodeGossip(Wire::encodeGossip(envelope));
        ASSERT_TRUE(decoded) << decoded.error();
        EXPECT_EQ(decoded.value().time, envelope.time);
        expectSame(envelope.message, decoded.value().message);
        ASSERT_FALSE(HasFailure()) << "seed " << seed;
    }
}

TEST(MembershipCodec, TruncatedBytesAreAnError)
{
    Common::Random random(3);
    GossipMessage message = randomMessage(random);
    while (message.records.size() < 3 || message.buckets.empty())
        message = randomMessage(random);
    std::string bytes = Wire::encodeGossip({ message, Observe::LogicalTime(1) });
    for (size_t n = 0; n < bytes.size(); ++n) {
        auto decoded = Wire::decodeGossip(std::string_view(bytes).substr(0, n));
        ASSERT_FALSE(decoded) << n << " of " << bytes.size();
        EXPECT_EQ(decoded.error().reason, Common::Reason::Corrupt);
        EXPECT_EQ(decoded.error().step, "decode-gossip");
    }
}

TEST(MembershipCodec, DamagedBytesDoNotCrash)
{
    size_t errors = 0;
    for (uint64_t seed = 1; seed <= 3'000; ++seed) {
        Common::Random random(seed);
        std::string bytes = Wire::encodeGossip({ randomMessage(random), Observe::LogicalTime(1) });
        for (uint64_t n = 1 + random.below(4); n; --n)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        errors += Wire::decodeGossip(bytes) ? 0 : 1;
        errors += Wire::decodeTimeline(bytes) ? 0 : 1;
    }
    EXPECT_GT(errors, 0u);
}

TEST(MembershipCodec, TimelineRoundTrips)
{
    std::vector<Observe::TimelineEvent> events {
        { Common::InstanceId("entry-1"), Common::Incarnation(3), 17, Observe::LogicalTime(40),
            Common::Milliseconds(1'764'837'000'123.5), Observe::EventKind::QueryAdmitted, "request-1", "free-slots" },
        { Common::InstanceId("entry-2"), Common::Incarnation(1), 1, Observe::LogicalTime(41), Common::Milliseconds(0),
            Observe::EventKind::ConnectionsReplaced, "leaf-1", "" },
    };
    std::string bytes = Wire::encodeTimeline(events);
    auto decoded = Wire::decodeTimeline(bytes);
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(decoded.value(), events);
    for (size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(Wire::decodeTimeline(std::string_view(bytes).substr(0, n)));
}
