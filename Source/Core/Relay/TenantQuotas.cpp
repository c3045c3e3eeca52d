#include "Relay/TenantQuotas.h"

#include <algorithm>

namespace Relay {

using Common::Milliseconds;
using Common::Reason;
using Common::TenantName;
using Common::TimePoint;
using Limits::RateGrant;
using Limits::RateGrantor;
using Limits::RateRole;

namespace {

    constexpr size_t maximumWaiting = 64; // Per tenant.
    // Of the slack, for each of the two instances that may use a reserve at the same time.
    constexpr double reserveShare = 0.35;
    constexpr Milliseconds longestTokenLifetime { 500 };
    constexpr Milliseconds shortestRetry { 20 };
    constexpr Milliseconds longestRetry { 5'000 };
    constexpr double millisecondsPerSecond = 1'000;
    constexpr size_t maximumLabels = 100;
    constexpr size_t maximumCounted = 1'000;
    constexpr int requestsForLabel = 8;

    Limits::RateLimit limitOf(const NumberedQuota& quota) { return { quota.quota.rate, quota.quota.burst }; }

    // What was denied under another quota says nothing about this one.
    void takeLater(TenantQuota& tenant, const NumberedQuota& quota)
    {
        if (quota.table < tenant.inForce.table)
            return;
        if (!(quota.quota == tenant.inForce.quota)) {
            tenant.rate.deniedUntil = {};
            tenant.promisedUntil = {};
        }
        tenant.inForce = quota;
    }

    void refuseAll(TenantQuota& tenant, QuotaEffects& effects, const RateGrantor& by, Reason reason,
        const std::function<Milliseconds()>& retryIn)
    {
        for (const WaitingAdmission& waiting : tenant.waiting)
            effects.refused.push_back({ waiting.id, reason, retryIn() });
        tenant.waiting.clear();
        effects.deniedBy = by;
    }

    // Refused calls are told different times, at the rate at which tokens are refilled.
    void refuseOverQuota(
        TenantQuota& tenant, QuotaEffects& effects, const RateGrantor& by, TimePoint first, TimePoint now)
    {
        Milliseconds spacing { millisecondsPerSecond / tenant.inForce.quota.rate.value() };
        refuseAll(tenant, effects, by, Reason::QuotaExceeded, [&] {
            TimePoint at = std::max(first, tenant.promisedUntil);
            tenant.promisedUntil = std::min(at + spacing, now + longestRetry);
            return std::clamp(at - now, shortestRetry, longestRetry);
        });
    }

    void refuseUnavailable(TenantQuota& tenant, QuotaEffects& effects, const RateGrantor& by, TimePoint now)
    {
        TimePoint next = std::min(tenant.rate.keeperSilentUntil, tenant.rate.substituteClosedUntil);
        Milliseconds retryIn = std::clamp(next - now, shortestRetry, longestRetry);
        refuseAll(tenant, effects, by, Reason::Unavailable, [&] { return retryIn; });
    }

    void admitFirst(TenantQuota& tenant, QuotaEffects& effects, size_t count)
    {
        count = std::min(count, tenant.waiting.size());
        auto end = tenant.waiting.begin() + static_cast<std::ptrdiff_t>(count);
        for (auto it = tenant.waiting.begin(); it != end; ++it)
            effects.admitted.push_back(it->id);
        tenant.waiting.erase(tenant.waiting.begin(), end);
    }

    void dropExpired(TenantQuota& tenant, QuotaEffects& effects, TimePoint now)
    {
        std::erase_if(tenant.waiting, [&](const WaitingAdmission& waiting) {
            if (now < waiting.deadline)
                return false;
            effects.refused.push_back({ waiting.id, Reason::DeadlineExceeded, Milliseconds(0) });
            return true;
        });
    }

    RateGrant grantHere(TenantQuota& tenant, const QuotaContext& context, size_t wanted, TimePoint now)
    {
        if (context.keepers.role == RateRole::Keeper)
            Limits::emptyBucket(tenant.rate, context.keepers.settledAt);
        RateGrant given
            = Limits::grant(tenant.rate, context.rule, limitOf(tenant.inForce), context.keepers.role, wanted, now);
        given.incarnation = context.incarnation;
        return given;
    }

    // The keeper, unless it is known not to answer; then the substitute, unless that has just denied a claim.
    RateGrantor chooseGrantor(const TenantQuota& tenant, const QuotaContext& context, TimePoint now)
    {
        const Limits::RateKeepers& keepers = context.keepers;
        bool isOwnLeaseOver = keepers.keeper == context.self && keepers.role == RateRole::Alone;
        if (!keepers.keeper.value().empty() && now >= tenant.rate.keeperSilentUntil && !isOwnLeaseOver)
            return { keepers.keeper, false };
        if (!keepers.substitute.value().empty() && now >= tenant.rate.substituteClosedUntil)
            return { keepers.substitute, true };
        return {};
    }

    // Serves waiting calls with the tokens at hand, then with those that this instance may grant itself. The rest waits
    // for a claim.
    void serve(TenantQuota& tenant, const QuotaContext& context, QuotaEffects& effects, TimePoint now)
    {
        dropExpired(tenant, effects, now);
        while (!tenant.waiting.empty() && Limits::takeGrantedToken(tenant.rate, now))
            admitFirst(tenant, effects, 1);
        while (!tenant.waiting.empty() && !tenant.rate.isAsking) {
            if (now < tenant.rate.deniedUntil) {
                refuseOverQuota(tenant, effects, { tenant.rate.grantedBy, false }, tenant.rate.deniedUntil, now);
                return;
            }
            RateGrantor to = chooseGrantor(tenant, context, now);
            if (to.address.value().empty()) {
                refuseUnavailable(tenant, effects, to, now);
                return;
            }
            if (to.address != context.self) {
                if (auto wanted = Limits::ask(tenant.rate, context.rule, tenant.waiting.size(), now))
                    effects.claim = { to, *wanted };
                return;
            }
            RateGrant given = grantHere(tenant, context, tenant.waiting.size(), now);
            admitFirst(tenant, effects, given.tokens);
            if (given.isKeeper && !tenant.waiting.empty()) {
                refuseOverQuota(tenant, effects, to, now + given.retryIn, now);
            } else if (!tenant.waiting.empty()) {
                TimePoint& closedUntil
                    = to.isSubstitute ? tenant.rate.substituteClosedUntil : tenant.rate.keeperSilentUntil;
                closedUntil = now + given.closedFor;
            }
        }
    }

} // namespace

Limits::SharedRateRule quotaRule(const QuotaBounds& bounds)
{
    Limits::SharedRateRule rule;
    rule.reserveTokens = static_cast<size_t>(bounds.slack * reserveShare);
    rule.reserveWindow = bounds.window;
    rule.largestClaim = maximumWaiting;
    // What is granted before a window and used in it must be within the overrun.
    rule.tokenLifetime = std::min(longestTokenLifetime, bounds.window * bounds.overrun);
    return rule;
}

QuotaEffects admit(TenantQuota& tenant, const QuotaContext& context, const NumberedQuota& quota,
    const WaitingAdmission& waiting, TimePoint now)
{
    QuotaEffects effects;
    takeLater(tenant, quota);
    if (tenant.waiting.size() >= maximumWaiting) {
        effects.refused.push_back({ waiting.id, Reason::Overloaded, shortestRetry });
        return effects;
    }
    tenant.waiting.push_back(waiting);
    serve(tenant, context, effects, now);
    return effects;
}

QuotaEffects answerClaim(TenantQuota& tenant, const QuotaContext& context, const RateGrantor& from,
    const std::optional<RateGrant>& answer, TimePoint now)
{
    QuotaEffects effects;
    Limits::answerAsk(tenant.rate, context.rule, from, answer, now);
    if (answer && answer->isKeeper && now < tenant.rate.deniedUntil) {
        dropExpired(tenant, effects, now);
        while (!tenant.waiting.empty() && Limits::takeGrantedToken(tenant.rate, now))
            admitFirst(tenant, effects, 1);
        refuseOverQuota(tenant, effects, from, now + answer->retryIn, now);
        return effects;
    }
    serve(tenant, context, effects, now);
    return effects;
}

bool withdraw(TenantQuota& tenant, AdmissionId id)
{
    return std::erase_if(tenant.waiting, [&](const WaitingAdmission& waiting) { return waiting.id == id; }) > 0;
}

RateGrant grant(TenantQuota& tenant, const QuotaContext& context, const TenantRateClaim& claim,
    const std::optional<NumberedQuota>& own, TimePoint now)
{
    takeLater(tenant, claim.quota);
    if (own)
        takeLater(tenant, *own);
    return grantHere(tenant, context, claim.wanted, now);
}

bool isAtRest(const TenantQuota& tenant, const Limits::SharedRateRule& rule, bool isRemoved, TimePoint now)
{
    Limits::RateLimit limit = limitOf(tenant.inForce);
    // A tenant that is added again gets a full bucket, so its previous use must be outside of the window.
    if (isRemoved && tenant.rate.bucket.filledAt + rule.reserveWindow < now)
        limit.depth = 0;
    return tenant.waiting.empty() && now >= tenant.promisedUntil && Limits::isAtRest(tenant.rate, rule, limit, now);
}

std::string labelOf(TenantLabels& labels, const TenantName& tenant)
{
    if (labels.own.count(tenant))
        return tenant.value();
    if (labels.own.size() >= maximumLabels)
        return "other";
    if (labels.requests.size() >= maximumCounted)
        labels.requests.clear();
    if (++labels.requests[tenant] < requestsForLabel)
        return "other";
    labels.requests.erase(tenant);
    labels.own.insert(tenant);
    return tenant.value();
}

// The states and the functions of waiting calls are in two maps, since a function must not run under a lock. An
// admission that ends is taken from the second one by whoever ends it, so it ends once.
std::optional<QuotaEffects::Claim> TenantQuotas::perform(const QuotaEffects& effects)
{
    for (AdmissionId id : effects.admitted) {
        if (auto done = m_waiting.take(id))
            (*done)(std::nullopt, {});
    }
    for (const QuotaEffects::Refusal& refusal : effects.refused) {
        if (auto done = m_waiting.take(refusal.id))
            (*done)(refusal, effects.deniedBy);
    }
    return effects.claim;
}

std::optional<QuotaEffects::Claim> TenantQuotas::admit(const TenantName& name, const QuotaContext& context,
    const NumberedQuota& quota, AdmissionId id, TimePoint deadline, Done done, TimePoint now)
{
    m_waiting.insert(id, std::move(done));
    return perform(m_tenants.withValue(name, [&](TenantQuota& tenant) {
        return Relay::admit(tenant, context, quota, { id, deadline }, now);
    }));
}

std::optional<QuotaEffects::Claim> TenantQuotas::answerClaim(const TenantName& name, const QuotaContext& context,
    const RateGrantor& from, const std::optional<RateGrant>& answer, TimePoint now)
{
    QuotaEffects effects;
    m_tenants.ifPresent(
        name, [&](TenantQuota& tenant) { effects = Relay::answerClaim(tenant, context, from, answer, now); });
    return perform(effects);
}

bool TenantQuotas::withdraw(const TenantName& name, AdmissionId id)
{
    m_tenants.ifPresent(name, [&](TenantQuota& tenant) { Relay::withdraw(tenant, id); });
    return m_waiting.take(id).has_value();
}

RateGrant TenantQuotas::grant(
    const QuotaContext& context, const TenantRateClaim& claim, const std::optional<NumberedQuota>& own, TimePoint now)
{
    return m_tenants.withValue(
        claim.tenant, [&](TenantQuota& tenant) { return Relay::grant(tenant, context, claim, own, now); });
}

NumberedQuota TenantQuotas::inForce(const TenantName& name)
{
    NumberedQuota quota;
    m_tenants.ifPresent(name, [&](TenantQuota& tenant) { quota = tenant.inForce; });
    return quota;
}

std::string TenantQuotas::labelOf(const TenantName& name)
{
    std::lock_guard lock(m_labelsMutex);
    return Relay::labelOf(m_labels, name);
}

void TenantQuotas::sweep(const Limits::SharedRateRule& rule, const Routes::Table* table, TimePoint now)
{
    m_tenants.eraseIf([&](const TenantName& name, const TenantQuota& tenant) {
        bool isRemoved = table && table->number >= tenant.inForce.table && !Routes::findTenant(*table, name);
        return isAtRest(tenant, rule, isRemoved, now);
    });
}

} // namespace Relay
