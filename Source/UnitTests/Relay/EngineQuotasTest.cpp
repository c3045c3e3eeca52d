#include "Relay/Engine.h"

#include <gtest/gtest.h>

using Common::Address;
using Common::Milliseconds;
using Common::Reason;

namespace {

class LeavingCaller : public Http::Caller {
public:
    void onDisconnect(std::function<void()> fn) override { m_callbacks.push_back(std::move(fn)); }
    void leave()
    {
        for (auto& fn : m_callbacks)
            fn();
    }

private:
    std::vector<std::function<void()>> m_callbacks;
};

// An engine whose claims the test answers. It is not in the list of instances, so others are keeper and substitute.
class EngineQuotas : public testing::Test {
protected:
    EngineQuotas()
    {
        Relay::EngineOptions options;
        options.self = { Address("self:1"), Common::FailureDomain("a") };
        Relay::Peers peers;
        peers.claimTenantRate
            = [this](const Address& to, const Relay::TenantRateClaim& claim, Milliseconds, auto done) {
                  m_claims.push_back({ to, claim, std::move(done) });
              };
        Relay::BackendCodec codec;
        codec.encodeHead = [](const Relay::Call&) { return std::string(); };
        m_engine = std::make_unique<Relay::Engine>(
            options, codec, peers, m_timers, m_metrics, std::make_shared<Suspects::Board>());
        auto table = std::make_shared<Routes::Table>();
        Routes::Route route;
        route.name = Common::RouteName("r");
        route.host = "h";
        route.prefix = "/";
        route.timeout = Milliseconds(60'000);
        route.latencyObjective = Milliseconds(30'000);
        route.allowsAnonymous = true;
        route.weightedGroups = { { Common::GroupName("g"), 1 } };
        table->routes.push_back(route);
        Routes::Group group { Common::GroupName("g"), Common::Connections(100) };
        group.warmupRate = Common::RequestRate(1);
        table->groups.push_back(group);
        Routes::Tenant limited { Common::TenantName("limited"), { Routes::digestOfKey("k1") }, {},
            Routes::Quota { Common::RequestRate(5), 5 } };
        Routes::Tenant unlimited { Common::TenantName("unlimited"), { Routes::digestOfKey("k2") }, {}, {} };
        table->tenants = { limited, unlimited };
        Routes::index(*table);
        m_engine->setTable(table);
        // The only server is known, so calls are not held, and cold, so that nothing is sent to it.
        Roster::EligibleServer server;
        server.server = Common::BackendServerId("i-1");
        server.warmAt = Common::Clock::now() + Milliseconds(3'600'000);
        auto servers = std::make_shared<Relay::ServersByGroup>();
        (*servers)[Common::GroupName("g")] = { server };
        m_engine->setServers(servers);
        std::vector<Address> others { Address("b:1"), Address("c:1"), Address("d:1") };
        std::vector<Roster::Peer> instances;
        instances.reserve(others.size());
        for (const Address& address : others)
            instances.push_back({ address, Common::FailureDomain("a") });
        Limits::KeeperView view;
        view.instances = others;
        m_keepers = Limits::keepersOf(view, "limited", options.self.address, {});
        m_engine->setInstances(instances);
    }

    ~EngineQuotas() override { m_timers.stop(); }

    void call(const char* key, Milliseconds timeLeft = Milliseconds(60'000))
    {
        auto call = std::make_shared<Relay::Call>();
        call->host = "h";
        call->path = "/x";
        call->timeLeft = timeLeft;
        call->caller = m_caller;
        if (key)
            call->credentials = { Routes::Credentials::Form::Key, Routes::digestOfKey(key) };
        m_engine->relay(call, [this](const Relay::Answer& answer) { m_answers.push_back(answer); });
    }

    void answer(const Common::Result<Limits::RateGrant>& grant)
    {
        auto claim = std::move(m_claims.back());
        m_claims.pop_back();
        claim.done(grant);
    }

    void expectRefused(Reason reason)
    {
        ASSERT_EQ(m_answers.size(), 1u);
        auto refusal = std::get_if<Relay::Refusal>(&m_answers[0]);
        ASSERT_TRUE(refusal);
        EXPECT_EQ(refusal->error.reason, reason);
        EXPECT_TRUE(refusal->hasNotRun);
        EXPECT_EQ(m_engine->inFlight(), 0u);
    }

    struct Claim {
        Address to;
        Relay::TenantRateClaim claim;
        std::function<void(Common::Result<Limits::RateGrant>)> done;
    };

    const Common::Error m_lost { Common::makeError(Reason::DeadlineExceeded, "claim", "no answer") };
    Common::Timers m_timers { 1 };
    Observe::Metrics m_metrics;
    std::vector<Claim> m_claims;
    std::vector<Relay::Answer> m_answers;
    std::shared_ptr<LeavingCaller> m_caller { std::make_shared<LeavingCaller>() };
    Limits::RateKeepers m_keepers;
    std::unique_ptr<Relay::Engine> m_engine;
};

} // namespace

// Guards against messages, and waiting, for calls without a quota.
TEST_F(EngineQuotas, CallsWithoutAQuotaAskNobody)
{
    call("k2");
    call(nullptr);
    EXPECT_TRUE(m_claims.empty());
    EXPECT_EQ(m_metrics.value(Observe::Counter::TenantAdmitted, "other"), 0u);
}

TEST_F(EngineQuotas, ACallWaitsForTheKeeper)
{
    call("k1");
    ASSERT_EQ(m_claims.size(), 1u);
    EXPECT_EQ(m_claims[0].to, m_keepers.keeper);
    EXPECT_EQ(m_claims[0].claim.quota.quota.rate, Common::RequestRate(5));
    answer(Limits::RateGrant { 1 });
    EXPECT_EQ(m_metrics.value(Observe::Counter::TenantAdmitted, "other"), 1u);
    EXPECT_TRUE(m_claims.empty());
}

TEST_F(EngineQuotas, ADenialIs429WithTheTimeThatTheKeeperNames)
{
    call("k1");
    answer(Limits::RateGrant { 0, Milliseconds(730), Milliseconds(200) });
    expectRefused(Reason::QuotaExceeded);
    EXPECT_NEAR(std::get<Relay::Refusal>(m_answers[0]).retryAfter.value(), 730, 5);
    m_answers.clear();
    call("k1");
    expectRefused(Reason::QuotaExceeded);
    EXPECT_TRUE(m_claims.empty()) << "it was denied a moment ago";
}

// Guards against 429 for a tenant whose calls nobody could count.
TEST_F(EngineQuotas, WithoutAnAnswerTheSubstituteIsAskedAndThenItIs503)
{
    call("k1");
    answer(m_lost);
    ASSERT_EQ(m_claims.size(), 1u);
    EXPECT_EQ(m_claims[0].to, m_keepers.substitute);
    answer(m_lost);
    expectRefused(Reason::Unavailable);
    EXPECT_GT(std::get<Relay::Refusal>(m_answers[0]).retryAfter.value(), 0);
}

TEST_F(EngineQuotas, CallersThatLeaveAndDeadlinesEndTheWaiting)
{
    call("k1");
    m_caller->leave();
    ASSERT_EQ(m_answers.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<Relay::CallerGone>(m_answers[0]));
    answer(m_lost);
    EXPECT_TRUE(m_claims.empty()) << "nobody waits";
    EXPECT_EQ(m_answers.size(), 1u);
    EXPECT_EQ(m_engine->inFlight(), 0u);
    m_answers.clear();
    call("k1", Milliseconds(5));
    for (auto& claim : std::exchange(m_claims, {}))
        claim.done(m_lost);
    expectRefused(Reason::DeadlineExceeded);
}

// Guards against memory that a flood of one tenant takes.
TEST_F(EngineQuotas, WaitingIsBounded)
{
    for (int i = 0; i < 70; ++i)
        call("k1");
    EXPECT_EQ(m_claims.size(), 1u);
    EXPECT_EQ(m_answers.size(), 6u);
}
