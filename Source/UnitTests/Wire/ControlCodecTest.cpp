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

StoredResource storedOf(RandomChanges& changes)
{
    return { changes.randomResource(), Revision(changes.random().below(100)), Common::ChangeId("change") };
}

Changes changesOf(RandomChanges& changes)
{
    Changes found { changes.random().chance(0.5), Revision(4), Revision(9), {} };
    for (uint64_t n = changes.random().below(4); n > 0; --n) {
        StoredResource stored = storedOf(changes);
        Delta delta { Model::keyOf(stored.resource), stored, Revision(n), Common::ChangeId("") };
        if (changes.random().chance(0.3))
            delta.stored.reset();
        found.deltas.push_back(delta);
    }
    return found;
}

ChangeOutcome changeOutcomeOf(RandomChanges& changes)
{
    if (changes.random().chance(0.3))
        return Accepted { Revision(changes.random().below(1'000)) };
    Rejected rejected { error, std::nullopt, std::nullopt };
    if (changes.random().chance(0.5))
        rejected.winner = storedOf(changes);
    if (changes.random().chance(0.5))
        rejected.winnerChange = Common::ChangeId("");
    return rejected;
}

const Once::AttemptRef attempt { Common::InstanceId("entry-1"), Common::Incarnation(7), Common::AttemptId(1ULL << 63) };

Once::ClaimOutcome claimOutcomeOf(Random& random)
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

CommandOutcome commandOutcomeOf(RandomChanges& changes)
{
    switch (changes.random().below(5)) {
    case 0:
        return changeOutcomeOf(changes);
    case 1:
        return claimOutcomeOf(changes.random());
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

Request requestOf(RandomChanges& changes, const Command& command)
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

Reply replyOf(RandomChanges& changes)
{
    bool isError = changes.random().chance(0.3);
    switch (changes.random().below(6)) {
    case 0:
        if (isError)
            return ProposeReply { error, leader };
        return ProposeReply { commandOutcomeOf(changes), std::nullopt };
    case 1:
        if (isError)
            return RenewReply { error, leader };
        return RenewReply { RenewGrant { Common::Milliseconds(4'000), changesOf(changes),
                                { true, liveNumber, { live, live }, { live.id } } },
            leader };
    case 2:
        return ReadReply {
            ReadFound { Revision(3), { storedOf(changes), storedOf(changes) }, changes.random().chance(0.5) }, leader
        };
    case 3:
        return WatchReply { changesOf(changes), leader };
    case 4:
        return StatusReply { StatusFound { Revision(3), { RevisionState::InForce, { live.id }, true } }, leader };
    default:
        return ReleaseReply { isError ? std::optional(error) : std::nullopt, leader };
    }
}

// Damaged bytes give an error or another value, never a crash; cut ones always an error.
template <typename Decode> void damage(Random& random, const std::string& bytes, Decode decode)
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

// Equal bytes stand for equal values where the types do not compare: encoding leaves out nothing that is decoded.
template <typename Decode> void roundTrip(Random& random, const std::string& bytes, Decode decode)
{
    auto decoded = decode(bytes);
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(Wire::encode(decoded.value()), bytes);
    damage(random, bytes, decode);
}

Command commandOf(RandomChanges& changes, RandomClaims& claims, const Configuration& configuration)
{
    if (changes.random().chance(0.3))
        return changes.next(configuration);
    if (changes.random().chance(0.1))
        return HolderChange { { live }, { { live.id, live.incarnation }, { Common::InstanceId("entry-2"), {} } } };
    return std::visit([](const auto& it) { return Command(it); }, claims.next());
}

} // namespace

TEST(ControlCodec, RandomValuesComeBackAndDamagedBytesAreErrors)
{
    for (uint64_t seed = 1; seed <= 20 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        RandomChanges changes(seed);
        RandomClaims claims(seed);
        Configuration configuration;
        for (int i = 0; i < 400 && !HasFailure(); ++i) {
            Command command = commandOf(changes, claims, configuration);
            if (const auto* change = std::get_if<Change>(&command))
                applyChange(configuration, *change);
            if (const auto* change = std::get_if<HolderChange>(&command))
                applyChange(configuration.holders, { change->joined, {} });
            auto decoded = Wire::decodeCommand(Wire::encode(command));
            ASSERT_TRUE(decoded && decoded.value() == command);
            roundTrip(changes.random(), Wire::encode(command), Wire::decodeCommand);
            roundTrip(changes.random(), Wire::encode(commandOutcomeOf(changes)), Wire::decodeCommandOutcome);
            roundTrip(changes.random(), Wire::encode(requestOf(changes, command)), Wire::decodeRequest);
            roundTrip(changes.random(), Wire::encode(replyOf(changes)), Wire::decodeReply);
        }
        damage(changes.random(), Wire::encodeSnapshot(configuration), Wire::decodeConfiguration);
    }
}

TEST(ControlCodec, ValuesComeBackAsTheyWere)
{
    CommandOutcome outcome = Once::ClaimOutcome(Once::Done { Once::Completed { 201, "text/plain", "a\nb", true } });
    auto claim = Wire::decodeCommandOutcome(Wire::encode(outcome));
    ASSERT_TRUE(claim);
    EXPECT_EQ(std::get<Once::ClaimOutcome>(claim.value()), std::get<Once::ClaimOutcome>(outcome));
    RandomChanges changes(1);
    Changes deltas = changesOf(changes);
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

TEST(ControlCodec, HoldersOfLeasesAreInTheSnapshot)
{
    Configuration configuration;
    applyChange(configuration.holders, { { live }, {} });
    auto decoded = Wire::decodeConfiguration(Wire::encodeSnapshot(configuration));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().holders, configuration.holders);
}

TEST(ControlCodec, AnUnknownFormatVersionIsAnError)
{
    std::string bytes = Wire::encode(Command(Once::Expire { Once::LogTime(1) }));
    EXPECT_TRUE(Wire::decodeCommand(bytes));
    // After the segment table and the root pointer comes the data, which begins with the version.
    bytes[16] = 2;
    auto result = Wire::decodeCommand(bytes);
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().message.find("version"), std::string::npos);
    EXPECT_FALSE(Wire::decodeClaims(""));
}
