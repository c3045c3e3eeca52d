#include "Once/Claims.h"

#include "Once/RandomClaims.h"
#include "Once/ReferenceClaims.h"

#include <gtest/gtest.h>

using namespace Once;

namespace {

AttemptRef attemptOf(const char* owner, uint64_t incarnation = 1, uint64_t attempt = 1)
{
    return { Common::InstanceId(owner), Common::Incarnation(incarnation), Common::AttemptId(attempt) };
}

Claim claimOf(const AttemptRef& by, const char* id = "id")
{
    return { Common::RequestId(id), Common::RouteName("book"), Common::Fingerprint(1), by };
}

Outcome outcomeOf(const AttemptRef& by, OutcomeKind kind, const char* id = "id")
{
    return { Common::RequestId(id), Common::RouteName("book"), by, std::move(kind) };
}

constexpr uint64_t startTime = 1'700'000'000'000;
const AttemptRef a = attemptOf("a");
const AttemptRef b = attemptOf("b");
const Completed done { 200, "text/plain", "slot 7", false };

// Compares the effect of each command with the reference model, which has no retention.
class Differential {
public:
    explicit Differential(uint64_t seed)
        : m_commands(seed)
    {
        m_claims.settings.retentionMs = RandomClaims::retentionMs;
    }

    void step()
    {
        std::visit(*this, m_commands.next());
        if (m_commands.random().chance(0.002))
            restore();
        if (m_commands.random().chance(0.05))
            operator()(m_commands.claimOf(m_commands.oldId()));
    }

    void operator()(const Claim& claim)
    {
        bool wasHeld = m_reference.isHeld(claim.id);
        // An id that never ran may be claimed again once its record was dropped.
        if (!wasHeld && !m_claims.records.contains(claim.id))
            m_reference.forget(claim.id);
        ClaimOutcome found = apply(m_claims, claim);
        if (found == ClaimOutcome(Refused { ClaimRefusal::Expired })) {
            ++expired;
            return;
        }
        ClaimOutcome expected = m_reference.claim(claim);
        EXPECT_EQ(found, expected) << claim.id;
        if (found == ClaimOutcome(Granted {}) && !wasHeld)
            ++granted;
    }

    void operator()(const Outcome& outcome)
    {
        bool isKept = m_claims.records.contains(outcome.id);
        RecordResult result = apply(m_claims, outcome);
        if (isKept || result != RecordResult::Stale)
            m_reference.record(outcome);
    }

    void operator()(const Orphan& orphan)
    {
        apply(m_claims, orphan);
        m_reference.orphan(orphan);
    }

    void operator()(const Expire& expire) { apply(m_claims, expire); }

    uint64_t granted { 0 };
    uint64_t expired { 0 };
    size_t tombstones() const { return m_claims.tombstones.size(); }

private:
    void restore()
    {
        Claims copy;
        copy.settings = m_claims.settings;
        copy.logTime = m_claims.logTime;
        copy.records = m_claims.records;
        copy.orphaned = m_claims.orphaned;
        copy.tombstones = m_claims.tombstones;
        rebuildIndexes(copy);
        m_claims = std::move(copy);
    }

    RandomClaims m_commands;
    Claims m_claims;
    ReferenceClaims m_reference;
};

} // namespace

TEST(Claims, AgreeWithTheReferenceModelOnRandomSchedules)
{
    uint64_t granted = 0;
    uint64_t expired = 0;
    size_t tombstones = 0;
    for (uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        Differential run(seed);
        for (int i = 0; i < 10'000 && !HasFailure(); ++i)
            run.step();
        granted += run.granted;
        expired += run.expired;
        tombstones += run.tombstones();
    }
    EXPECT_GT(granted, 10'000u);
    EXPECT_GT(expired, 10'000u);
    EXPECT_GT(tombstones, 10'000u);
}

TEST(Claims, OnlyTheFirstAttemptIsGranted)
{
    Claims claims;
    EXPECT_EQ(apply(claims, claimOf(a)), ClaimOutcome(Granted {}));
    EXPECT_EQ(apply(claims, claimOf(a)), ClaimOutcome(Granted {}));
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Running { a }));
    EXPECT_EQ(apply(claims, claimOf(attemptOf("a", 1, 2))), ClaimOutcome(Running { a }));
    EXPECT_EQ(apply(claims, outcomeOf(a, done)), RecordResult::Recorded);
    EXPECT_EQ(apply(claims, outcomeOf(a, done)), RecordResult::AlreadyRecorded);
    EXPECT_EQ(apply(claims, outcomeOf(a, Completed { 500 })), RecordResult::Stale);
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Done { done }));
    Claim other = claimOf(b);
    other.body = Common::Fingerprint(2);
    EXPECT_EQ(apply(claims, other), ClaimOutcome(Refused { ClaimRefusal::OtherBody }));
}

TEST(Claims, UnknownHoldsTheClaimUntilTheOutcomeIsRecorded)
{
    Claims claims;
    apply(claims, claimOf(a));
    apply(claims, outcomeOf(a, Unknown {}));
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(HeldUnknown { a }));
    EXPECT_EQ(apply(claims, outcomeOf(a, NotRun {})), RecordResult::Stale);
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(HeldUnknown { a }));
    EXPECT_EQ(apply(claims, outcomeOf(a, done)), RecordResult::Recorded);
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Done { done }));
}

TEST(Claims, ANotRunReleasesTheClaimAndBlocksItsOwnAttempt)
{
    Claims claims;
    EXPECT_EQ(apply(claims, outcomeOf(a, NotRun {})), RecordResult::Recorded);
    EXPECT_EQ(apply(claims, claimOf(a)), ClaimOutcome(Refused { ClaimRefusal::Superseded }));
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Granted {}));
    EXPECT_EQ(apply(claims, outcomeOf(b, NotRun {})), RecordResult::Recorded);
    EXPECT_EQ(apply(claims, claimOf(attemptOf("a", 1, 2))), ClaimOutcome(Granted {}));
    EXPECT_EQ(apply(claims, outcomeOf(b, NotRun {})), RecordResult::Stale);
}

TEST(Claims, AnOrphanedOwnerMayStillReportNotRun)
{
    Claims claims;
    apply(claims, claimOf(a));
    EXPECT_EQ(runningOwners(claims), std::vector<Orphan>({ { a.owner, a.incarnation } }));
    apply(claims, Orphan { a.owner, a.incarnation });
    EXPECT_TRUE(runningOwners(claims).empty());
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(HeldUnknown { a }));
    EXPECT_EQ(apply(claims, claimOf(a, "new")), ClaimOutcome(Refused { ClaimRefusal::Orphaned }));
    EXPECT_EQ(apply(claims, outcomeOf(a, NotRun {})), RecordResult::Recorded);
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Refused { ClaimRefusal::Superseded }));
    EXPECT_EQ(apply(claims, claimOf(attemptOf("b", 1, 2))), ClaimOutcome(Granted {}));
}

TEST(Claims, StateStaysWithinItsBoundsAndFullRefusesOnlyNewIds)
{
    Claims claims;
    claims.settings = { 1'000, 2, 1, 4, 1'000 };
    apply(claims, Expire { LogTime(startTime) });
    for (const char* id : { "1", "2" }) {
        apply(claims, claimOf(a, id));
        apply(claims, outcomeOf(a, done, id));
    }
    EXPECT_EQ(apply(claims, claimOf(b, "3")), ClaimOutcome(Refused { ClaimRefusal::Full }));
    EXPECT_EQ(apply(claims, claimOf(b, "1")), ClaimOutcome(Done { Completed { 200, "text/plain", "", true } }));
    apply(claims, Expire { LogTime(startTime + 1'001) });
    EXPECT_EQ(claims.records.size(), 1u);
    EXPECT_EQ(claims.tombstones.size(), 1u);
    EXPECT_EQ(apply(claims, claimOf(b, "1")), ClaimOutcome(Refused { ClaimRefusal::Expired }));
    EXPECT_EQ(apply(claims, claimOf(b, "3")), ClaimOutcome(Granted {}));
    EXPECT_EQ(apply(claims, claimOf(b, "4")), ClaimOutcome(Refused { ClaimRefusal::Full }));
}

TEST(Claims, KeptBodiesAreBounded)
{
    Claims claims;
    claims.settings.maximumKeptBytes = 10;
    for (const char* id : { "1", "2" }) {
        EXPECT_EQ(apply(claims, claimOf(a, id)), ClaimOutcome(Granted {}));
        apply(claims, outcomeOf(a, done, id));
    }
    EXPECT_EQ(claims.keptBytes, 2 * done.body.size());
    EXPECT_EQ(apply(claims, claimOf(a, "3")), ClaimOutcome(Refused { ClaimRefusal::Full }));
    EXPECT_EQ(apply(claims, claimOf(b, "2")), ClaimOutcome(Done { done }));
}

TEST(Claims, RecordsFromBeforeTheFirstLogTimeAreKeptForTheWholeRetention)
{
    Claims claims;
    apply(claims, claimOf(a));
    apply(claims, outcomeOf(a, done));
    apply(claims, Expire { LogTime(startTime) });
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Done { done }));
    apply(claims, Expire { LogTime(startTime + claims.settings.retentionMs + 1) });
    EXPECT_EQ(apply(claims, claimOf(b)), ClaimOutcome(Refused { ClaimRefusal::Expired }));
}

TEST(Claims, AnExpiredTimestampedIdIsRefusedWithoutState)
{
    const char* id = "018bcfe5-6800-7000-8000-000000000000";
    Claims claims;
    claims.settings.retentionMs = 1'000;
    apply(claims, Expire { LogTime(startTime) });
    apply(claims, claimOf(a, id));
    apply(claims, outcomeOf(a, done, id));
    apply(claims, Expire { LogTime(startTime + 1'001) });
    EXPECT_TRUE(claims.records.empty());
    EXPECT_TRUE(claims.tombstones.empty());
    EXPECT_EQ(apply(claims, claimOf(b, id)), ClaimOutcome(Refused { ClaimRefusal::Expired }));
    EXPECT_EQ(apply(claims, outcomeOf(b, NotRun {}, id)), RecordResult::Stale);
}

TEST(Claims, OnlyUuidsOfVersion7CarryATime)
{
    EXPECT_EQ(idTime(Common::RequestId("018bcfe5-6800-7000-8000-000000000000")), LogTime(startTime));
    EXPECT_FALSE(idTime(Common::RequestId("018bcfe5-6800-4000-8000-000000000000")));
    EXPECT_FALSE(idTime(Common::RequestId("018bcfe5-6800-7000-8000-00000000000g")));
    EXPECT_FALSE(idTime(Common::RequestId("018bcfe5")));
}
