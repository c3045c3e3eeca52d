#include "Wire/ControlCodec.h"

#include "Control/RandomChanges.h"
#include "Once/RandomClaims.h"
#include "Wire/MessageCodec.h"
#include "Wire/OnceCodec.h"

#include <gtest/gtest.h>

using namespace Control;
using Common::Random;
using Common::Revision;

namespace {

const Common::Error error { Common::Reason::Corrupt, "append-log", "control-1", std::string("a\0b", 3) };
const LeaderHint leader = Common::Address("10.0.0.9:1");

StoredResource randomStored(RandomChanges& changes)
{
    return { changes.randomResource(), Revision(changes.random().below(100)), Common::ChangeId("change") };
}

Changes randomDeltas(RandomChanges& changes)
{
    Changes result { changes.random().chance(0.5), Revision(4), Revision(9), {} };
    for (uint64_t n = changes.random().below(4); n > 0; --n) {
        StoredResource stored = randomStored(changes);
        Delta delta { Model::keyOf(stored.resource), stored, Revision(n), Common::ChangeId("") };
        if (changes.random().chance(0.3))
            delta.stored.reset();
        result.deltas.push_back(delta);
    }
    return result;
}

ChangeOutcome randomChangeOutcome(RandomChanges& changes)
{
    if (changes.random().chance(0.3))
        return Accepted { Revision(changes.random().below(1'000)) };
    Rejected rejected { error, std::nullopt, std::nullopt };
    if (changes.random().chance(0.5))
        rejected.winner = randomStored(changes);
    if (changes.random().chance(0.5))
        rejected.winnerChange = Common::ChangeId("");
    return rejected;
}

const Once::AttemptRef attempt { Common::InstanceId("entry-1"), Common::Incarnation(7), Common::AttemptId(1ULL << 63) };

Once::ClaimOutcome randomClaimOutcome(Random& random)
{
    switch (random.below(6)) {
    case 0:
        return Once::Granted {};
    case 1:
        return Once::Running { attempt };
    case 2:
        return Once::Done { Once::Completed { 201, "application/json", std::string("\0\xff", 2), true } };
    case 3:
        return Once::Done { Once::RefusedByBackend { 409, "", "taken" } };
    case 4:
        return Once::HeldUnknown { attempt };
    default:
        return Once::Refused { static_cast<Once::ClaimRefusal>(random.below(5)) };
    }
}

CommandOutcome randomCommandOutcome(RandomChanges& changes)
{
    switch (changes.random().below(5)) {
    case 0:
        return randomChangeOutcome(changes);
    case 1:
        return randomClaimOutcome(changes.random());
    case 2:
        return static_cast<Once::RecordResult>(changes.random().below(3));
    case 3:
        return Acknowledged {};
    default:
        return CommandRefused { error };
    }
}

const LiveInstance live { Common::InstanceId("entry-1"), Common::Incarnation(2), Common::Address("10.0.0.1:1"),
    Common::FailureDomain("balaju") };
const LiveListNumber liveNumber { Common::Term(5), 8 };

Request randomRequest(RandomChanges& changes, const Command& command)
{
    switch (changes.random().below(6)) {
    case 0:
        return ProposeRequest { Common::LogShardId(3), command };
    case 1:
        return RenewRequest { live, Revision(4), liveNumber };
    case 2:
        return ReadRequest { Model::Kind::Instance, "entry-1", Revision(7) };
    case 3:
        return WatchRequest { Revision(6) };
    case 4:
        return StatusRequest { Revision(5) };
    default:
        return ReleaseRequest { live.id, live.incarnation };
    }
}

Reply randomReply(RandomChanges& changes)
{
    bool isError = changes.random().chance(0.3);
    switch (changes.random().below(6)) {
    case 0:
        if (isError)
            return ProposeReply { error, leader };
        return ProposeReply { randomCommandOutcome(changes), std::nullopt };
    case 1:
        if (isError)
            return RenewReply { error, leader };
        return RenewReply { RenewGrant { Common::Milliseconds(4'000), randomDeltas(changes),
                                { true, liveNumber, { live, live }, { live.id } } },
            leader };
    case 2:
        return ReadReply { ReadFound { Revision(3), { randomStored(changes), randomStored(changes) },
                               changes.random().chance(0.5) },
            leader };
    case 3:
        return WatchReply { randomDeltas(changes), leader };
    case 4:
        return StatusReply { StatusFound { Revision(3), { RevisionState::InForce, { live.id }, true },
                                 { Common::FailureDomain("patan") } },
            leader };
    default:
        return ReleaseReply { isError ? std::optional(error) : std::nullopt, leader };
    }
}

// Decoding truncated bytes must fail. Decoding damaged bytes may fail or give another value, but must not crash.
template <typename Decode> void checkDamaged(Random& random, const std::string& bytes, Decode decode)
{
    auto cut = decode(std::string_view(bytes).substr(0, random.below(bytes.size())));
    ASSERT_FALSE(cut);
    EXPECT_EQ(cut.error().reason, Common::Reason::Corrupt);
    std::string damaged = bytes;
    for (uint64_t n = 1 + random.below(3); n > 0; --n) {
        char& byte = damaged[random.below(damaged.size())];
        byte = static_cast<char>(static_cast<uint64_t>(static_cast<unsigned char>(byte)) ^ (1 + random.below(255)));
    }
    auto result = decode(damaged);
    EXPECT_TRUE(result || result.error().step == "decode");
}

// Compares the bytes after a second encoding, since not all of the types have operator==. This relies on the codecs
// encoding every field that they decode.
template <typename Decode> void checkRoundTrip(Random& random, const std::string& bytes, Decode decode)
{
    auto decoded = decode(bytes);
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(Wire::encode(decoded.value()), bytes);
    checkDamaged(random, bytes, decode);
}

Command randomCommand(RandomChanges& changes, RandomClaims& claims, const Configuration& configuration)
{
    if (changes.random().chance(0.3))
        return changes.next(configuration);
    if (changes.random().chance(0.1))
        return HolderChange { { live }, { { live.id, live.incarnation }, { Common::InstanceId("entry-2"), {} } } };
    return std::visit([](const auto& it) { return Command(it); }, claims.next());
}

} // namespace

TEST(ControlCodec, RandomValuesRoundTripAndDamagedBytesAreHandled)
{
    for (uint64_t seed = 1; seed <= 20 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        RandomChanges changes(seed);
        RandomClaims claims(seed);
        Configuration configuration;
        for (int i = 0; i < 400 && !HasFailure(); ++i) {
            Command command = randomCommand(changes, claims, configuration);
            if (const auto* change = std::get_if<Change>(&command))
                applyChange(configuration, *change);
            if (const auto* change = std::get_if<HolderChange>(&command))
                applyChange(configuration.holders, { change->joined, {} });
            auto decoded = Wire::decodeCommand(Wire::encode(command));
            ASSERT_TRUE(decoded && decoded.value() == command);
            checkRoundTrip(changes.random(), Wire::encode(command), Wire::decodeCommand);
            checkRoundTrip(changes.random(), Wire::encode(randomCommandOutcome(changes)), Wire::decodeCommandOutcome);
            checkRoundTrip(changes.random(), Wire::encode(randomRequest(changes, command)), Wire::decodeRequest);
            checkRoundTrip(changes.random(), Wire::encode(randomReply(changes)), Wire::decodeReply);
        }
        checkDamaged(changes.random(), Wire::encodeSnapshot(configuration), Wire::decodeConfiguration);
    }
}

TEST(ControlCodec, DecodedValuesEqualTheOriginals)
{
    CommandOutcome outcome = Once::ClaimOutcome(Once::Done { Once::Completed { 201, "text/plain", "a\nb", true } });
    auto claim = Wire::decodeCommandOutcome(Wire::encode(outcome));
    ASSERT_TRUE(claim);
    EXPECT_EQ(std::get<Once::ClaimOutcome>(claim.value()), std::get<Once::ClaimOutcome>(outcome));
    RandomChanges changes(1);
    Changes deltas = randomDeltas(changes);
    auto watch = Wire::decodeReply(Wire::encode(Reply(WatchReply { deltas, leader })));
    ASSERT_TRUE(watch);
    EXPECT_EQ(std::get<Changes>(std::get<WatchReply>(watch.value()).result), deltas);
    EXPECT_EQ(std::get<WatchReply>(watch.value()).leader, leader);
    auto failed = Wire::decodeReply(Wire::encode(Reply(StatusReply { error, std::nullopt })));
    ASSERT_TRUE(failed);
    const auto& status = std::get<StatusReply>(failed.value());
    EXPECT_EQ(describe(std::get<Common::Error>(status.result)), describe(error));
    EXPECT_FALSE(status.leader);
}

TEST(ControlCodec, SnapshotContainsLeaseHolders)
{
    Configuration configuration;
    applyChange(configuration.holders, { { live }, {} });
    auto decoded = Wire::decodeConfiguration(Wire::encodeSnapshot(configuration));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().holders, configuration.holders);
}

TEST(ControlCodec, UnknownFormatVersionIsAnError)
{
    std::string bytes = Wire::encode(Command(Once::Expire { Once::LogTime(1) }));
    EXPECT_TRUE(Wire::decodeCommand(bytes));
    // The data follows the segment table and the root pointer, and starts with the format version.
    bytes[16] = 2;
    auto result = Wire::decodeCommand(bytes);
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().message.find("version"), std::string::npos);
    EXPECT_FALSE(Wire::decodeClaims(""));
}
