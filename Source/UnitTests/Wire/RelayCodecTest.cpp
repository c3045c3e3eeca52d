#include "Wire/RelayCodec.h"

#include <gtest/gtest.h>

using Common::Incarnation;
using Common::Milliseconds;
using Common::RequestId;

namespace {

// Encodes a request and decodes it again; an error if it becomes another kind of request.
Common::Result<Relay::BundleRequest> decodeBundle(const Relay::BundleRequest& request)
{
    auto decoded = Wire::decodeRelayRequest(Wire::encode(request));
    if (!decoded)
        return decoded.error();
    auto bundle = std::get_if<Relay::BundleRequest>(&decoded.value());
    if (!bundle)
        return Common::makeError(Common::Reason::Corrupt, "decode", "not a bundle");
    return *bundle;
}

} // namespace

TEST(RelayCodec, BundlesNameTheirRequestersIncarnationAndCall)
{
    auto call = std::make_shared<Relay::Call>();
    call->id = RequestId("r1");
    call->target = "/a/b?c";
    call->identity = "someone";
    call->address = "10.0.0.1";
    call->keys = Relay::keysOf(*call);
    Relay::DelegatedCall delegated { { Incarnation(5), 7 }, Common::TableNumber(3), Milliseconds(2), Milliseconds(40),
        { 1, 4 }, call };
    auto decoded = decodeBundle({ Common::Address("a:1"), delegated });
    ASSERT_TRUE(decoded);
    auto& read = std::get<Relay::DelegatedCall>(decoded.value().body);
    EXPECT_EQ(read.bundle, delegated.bundle);
    EXPECT_EQ(read.objectiveIn, delegated.objectiveIn);
    EXPECT_EQ(read.call->id, call->id);
    EXPECT_EQ(read.call->keys, call->keys);
    delegated.objectiveIn.reset();
    decoded = decodeBundle({ Common::Address("a:1"), delegated });
    EXPECT_FALSE(std::get<Relay::DelegatedCall>(decoded.value().body).objectiveIn);

    Relay::ResumeBundle resume { { Incarnation(5), 7 }, RequestId("r1"), 2 };
    decoded = decodeBundle({ Common::Address("a:1"), resume });
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<Relay::ResumeBundle>(decoded.value().body).bundle, resume.bundle);
    EXPECT_EQ(std::get<Relay::ResumeBundle>(decoded.value().body).call, resume.call);
}

TEST(RelayCodec, CancelsNameTheirBundleAndCall)
{
    Relay::CancelBundle cancel { Common::Address("a:1"), { Incarnation(5), 7 }, RequestId("r1") };
    auto decoded = Wire::decodeRelayRequest(Wire::encode(cancel));
    ASSERT_TRUE(decoded);
    auto read = std::get_if<Relay::CancelBundle>(&decoded.value());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->requester, cancel.requester);
    EXPECT_EQ(read->bundle, cancel.bundle);
    EXPECT_EQ(read->call, cancel.call);
}

TEST(RelayCodec, AnswersNameTheirCall)
{
    Relay::Merged merged { { "s1", "s2" }, { { 3, true } }, "body" };
    auto decoded = Wire::decodeBundleAnswer(Wire::encode({ merged, RequestId("r1"), Milliseconds(12) }));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().call, RequestId("r1"));
    EXPECT_EQ(decoded.value().took, Milliseconds(12));
    EXPECT_EQ(std::get<Relay::Merged>(decoded.value().answer).signatures, merged.signatures);
    EXPECT_FALSE(Wire::decodeBundleAnswer("not a message"));
}

TEST(RelayCodec, QuestionsForTokensRoundTrip)
{
    Limits::RateClaim claim { Common::BackendServerId("s"), Incarnation(4), Common::RequestRate(21.8), Milliseconds(30),
        3 };
    auto decoded = Wire::decodeRelayRequest(Wire::encode(claim));
    ASSERT_TRUE(decoded);
    ASSERT_TRUE(std::holds_alternative<Limits::RateClaim>(decoded.value()));
    auto& read = std::get<Limits::RateClaim>(decoded.value());
    EXPECT_EQ(read.server, claim.server);
    EXPECT_EQ(read.incarnation, claim.incarnation);
    EXPECT_EQ(read.rate, claim.rate);
    EXPECT_EQ(read.age, claim.age);
    EXPECT_EQ(read.wanted, claim.wanted);
    auto grant = Wire::decodeRateGrant(Wire::encode(Limits::RateGrant { 2, Milliseconds(45) }));
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant.value().tokens, 2u);
    EXPECT_EQ(grant.value().retryIn, Milliseconds(45));
}

TEST(RelayCodec, ClaimsForTenantsAndTheirGrantsRoundTrip)
{
    Relay::TenantRateClaim claim { Common::TenantName("t"), { { Common::RequestRate(2.5), 7 }, Common::TableNumber(9) },
        12 };
    auto decoded = Wire::decodeRelayRequest(Wire::encode(claim));
    ASSERT_TRUE(decoded);
    auto read = std::get_if<Relay::TenantRateClaim>(&decoded.value());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->tenant, claim.tenant);
    EXPECT_EQ(read->quota.quota, claim.quota.quota);
    EXPECT_EQ(read->quota.table, claim.quota.table);
    EXPECT_EQ(read->wanted, claim.wanted);
    auto grant = Wire::decodeRateGrant(
        Wire::encode(Limits::RateGrant { 2, Milliseconds(45), Milliseconds(30), false, Incarnation(8) }));
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant.value().closedFor, Milliseconds(30));
    EXPECT_FALSE(grant.value().isKeeper);
    EXPECT_EQ(grant.value().incarnation, Incarnation(8));
    claim.quota.quota.rate = Common::RequestRate(0);
    EXPECT_FALSE(Wire::decodeRelayRequest(Wire::encode(claim))) << "no time could be computed from it";
}
