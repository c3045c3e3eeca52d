#include "Relay/EnginePrivate.h"

#include "Observe/EventLog.h"

// Admits the calls of tenants with a quota.
namespace Relay {

namespace {

    constexpr Milliseconds claimTimeout { 60 };
    // Longer than a call waits for the keeper and the substitute. Only calls with an earlier deadline need a timer.
    constexpr Milliseconds longestWait { 150 };
    // It visits all tenants with a state here.
    constexpr Milliseconds quotaSweepInterval { 2'000 };
    constexpr const char* quotaText = "the tenant is over its quota";
    constexpr const char* silentText = "no instance answers that gives out the tenant's quota";

    std::optional<NumberedQuota> quotaIn(const Routes::Table& table, const Common::TenantName& name)
    {
        const Routes::Tenant* tenant = Routes::findTenant(table, name);
        return tenant && tenant->quota ? std::optional(NumberedQuota { *tenant->quota, table.number }) : std::nullopt;
    }

    const char* textOf(Reason reason)
    {
        if (reason == Reason::QuotaExceeded)
            return quotaText;
        if (reason == Reason::Unavailable)
            return silentText;
        return reason == Reason::Overloaded ? "too many calls of the tenant wait for its quota"
                                            : "the deadline has passed while the call waited for its quota";
    }

    std::string toText(double value)
    {
        std::string text = std::to_string(value);
        return text.substr(0, text.find('.') + 3);
    }

} // namespace

QuotaContext Engine::Private::quotaContext(const Common::TenantName& tenant, TimePoint now) const
{
    std::shared_ptr<const Limits::KeeperView> view;
    {
        std::lock_guard lock(viewMutex);
        view = keeperView;
    }
    return { quotaRule(options.quotaBounds), Limits::keepersOf(*view, tenant.value(), options.self.address, now),
        options.self.address, options.incarnation };
}

// Called with viewMutex held.
Limits::KeeperView& Engine::Private::changeKeeperView()
{
    auto changed = std::make_shared<Limits::KeeperView>(*keeperView);
    keeperView = changed;
    return *changed;
}

// Takes a token of the tenant's quota, then forwards the call.
void Engine::Private::admitByQuota(const CallPtr& call, const Routes::TablePtr& routes, const Routes::Route& route,
    const NumberedQuota& quota, const Times& times, const Done& done)
{
    if (refuseAtOnce(call, routes, route, done))
        return;
    const Common::TenantName& tenant = *call->tenant;
    auto now = Clock::sinceBoot();
    Milliseconds timeLeft = times.deadline - Clock::now();
    AdmissionId id = quotas.nextId();
    ++pendingOperations;
    scheduleSweep();
    auto isWaiting = std::make_shared<std::atomic<bool>>(true);
    auto ended = [self = shared_from_this(), call, routes, &route, times, done, isWaiting](
                     const std::optional<QuotaEffects::Refusal>& refusal, const Limits::RateGrantor& deniedBy) {
        *isWaiting = false;
        const Common::TenantName& name = *call->tenant;
        self->metrics.count(refusal ? Counter::TenantRefused : Counter::TenantAdmitted, self->quotas.labelOf(name));
        if (refusal)
            self->refuseByQuota(call, routes, *refusal, deniedBy, done);
        else
            self->forward(call, routes, route, times, done);
        --self->pendingOperations;
    };
    auto claim = quotas.admit(tenant, quotaContext(tenant, now), quota, id, now + timeLeft, ended, now);
    if (claim)
        claimTokens(tenant, *claim);
    if (!*isWaiting)
        return;
    std::weak_ptr<Private> weak = weak_from_this();
    if (timeLeft < longestWait) {
        timers.after(timeLeft, [weak, tenant, id, ended] {
            auto self = weak.lock();
            if (self && self->quotas.withdraw(tenant, id))
                ended(QuotaEffects::Refusal { id, Reason::DeadlineExceeded, Milliseconds(0) }, {});
        });
    }
    if (!call->caller)
        return;
    call->caller->onDisconnect([weak, tenant, id, done] {
        auto self = weak.lock();
        if (!self || !self->quotas.withdraw(tenant, id))
            return;
        --self->pendingOperations;
        done(CallerGone {});
    });
}

void Engine::Private::refuseByQuota(const CallPtr& call, const Routes::TablePtr& routes,
    const QuotaEffects::Refusal& refusal, const Limits::RateGrantor& deniedBy, const Done& done)
{
    if (refusal.reason != Reason::QuotaExceeded) {
        refuse(call, routes, refusal.reason, textOf(refusal.reason), refusal.retryIn, done);
        return;
    }
    NumberedQuota quota = quotas.inForce(*call->tenant);
    metrics.count(Counter::Refusals, Common::reasonCode(refusal.reason));
    Observe::logEvent(Observe::Part::Relay, Observe::Event::QuotaRefused,
        { { "request", call->id.value() }, { "tenant", call->tenant->value() },
            { "rate", toText(quota.quota.rate.value()) }, { "burst", toText(quota.quota.burst) },
            { "table", std::to_string(quota.table.value()) }, { "keeper", deniedBy.address.value() },
            { "retry_ms", Relay::toText(refusal.retryIn) } });
    done(Refusal { Common::makeError(refusal.reason, "admit", textOf(refusal.reason)), true, refusal.retryIn });
}

void Engine::Private::claimTokens(const Common::TenantName& tenant, const QuotaEffects::Claim& claim)
{
    ++pendingOperations;
    peers.claimTenantRate(claim.to.address, { tenant, quotas.inForce(tenant), claim.wanted }, claimTimeout,
        [self = shared_from_this(), tenant, to = claim.to](const Common::Result<Limits::RateGrant>& result) {
            auto now = Clock::sinceBoot();
            if (!result || (!result.value().isKeeper && !to.isSubstitute)) {
                Observe::logEvent(Observe::Part::Relay, Observe::Event::QuotaKeeperSilent,
                    { { "tenant", tenant.value() }, { "keeper", to.address.value() },
                        { "role", to.isSubstitute ? "substitute" : "keeper" },
                        { "why", result ? "not the keeper, or settling" : Common::describe(result.error()) } });
            }
            auto next = self->quotas.answerClaim(tenant, self->quotaContext(tenant, now), to,
                result ? std::optional(result.value()) : std::nullopt, now);
            if (next)
                self->claimTokens(tenant, *next);
            --self->pendingOperations;
        });
}

// Of the scheduled sweep alone.
void Engine::Private::sweepQuotas()
{
    auto now = Clock::sinceBoot();
    if (now - quotasSweptAt < quotaSweepInterval)
        return;
    quotasSweptAt = now;
    Routes::TablePtr routes;
    {
        std::lock_guard lock(viewMutex);
        routes = table;
    }
    quotas.sweep(quotaRule(options.quotaBounds), routes.get(), now);
}

Limits::RateGrant Engine::grant(const TenantRateClaim& claim)
{
    auto now = Clock::sinceBoot();
    auto routes = table();
    auto own = routes ? quotaIn(*routes, claim.tenant) : std::nullopt;
    m_private->scheduleSweep();
    return m_private->quotas.grant(m_private->quotaContext(claim.tenant, now), claim, own, now);
}

void Engine::confirmContact(TimePoint sentAt)
{
    std::lock_guard lock(m_private->viewMutex);
    Limits::renewLease(m_private->changeKeeperView(), sentAt, Clock::sinceBoot());
}

void Engine::setLeaving()
{
    std::lock_guard lock(m_private->viewMutex);
    m_private->changeKeeperView().isLeaving = true;
}

} // namespace Relay
