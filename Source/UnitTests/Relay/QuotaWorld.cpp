#include "Relay/QuotaWorld.h"

#include <algorithm>
#include <cmath>

using Common::Address;
using Common::Milliseconds;

namespace {

constexpr double startOfTime = 1'000'000; // So that nothing depends on a clock that begins at 0.
constexpr double claimTimeout = 60;
constexpr double controlForgets = 4'000;
constexpr double longestHold = 900;
constexpr double window = 5'000;

} // namespace

QuotaWorld::QuotaWorld(uint64_t seed, size_t instances, std::vector<Relay::NumberedQuota> quotas)
    : m_random(seed)
    , m_ms(startOfTime)
    , m_instances(instances)
{
    for (size_t i = 0; i < quotas.size(); ++i)
        m_tenants.push_back({ Common::TenantName("t" + std::to_string(i)), quotas[i], {}, 0, 0, {}, {}, 0 });
    for (size_t i = 0; i < instances; ++i) {
        m_instances[i].address = Address("10.0.0." + std::to_string(i) + ":7000");
        m_instances[i].reachedControlAt = m_ms;
        for (size_t t = 0; t < m_tenants.size(); ++t)
            m_instances[i].quotas[t] = m_tenants[t].quota;
        onInstance(i, m_ms + latency(), [this, i] { watch(i); });
    }
}

void QuotaWorld::runUntil(double ms)
{
    while (!m_events.empty() && m_events.top().at <= ms) {
        Event event = m_events.top();
        m_events.pop();
        m_ms = event.at;
        event.fn();
    }
    m_ms = ms;
}

void QuotaWorld::onInstance(size_t index, double ms, std::function<void()> fn)
{
    at(ms, [this, index, fn = std::move(fn), incarnation = m_instances[index].incarnation] {
        Instance& instance = m_instances[index];
        if (!instance.isUp || instance.incarnation != incarnation)
            return;
        if (m_ms < instance.suspendedUntil)
            onInstance(index, instance.suspendedUntil + 0.01, fn);
        else
            fn();
    });
}

std::vector<Address> QuotaWorld::listed() const
{
    std::vector<Address> list;
    for (const Instance& instance : m_instances) {
        if (m_ms < instance.reachedControlAt + controlForgets)
            list.push_back(instance.address);
    }
    return list;
}

// A watch request is held for a while; its answer has the list as of its end.
void QuotaWorld::watch(size_t index)
{
    double sentAt = m_ms;
    if (m_ms < m_instances[index].partitionedUntil) {
        onInstance(index, m_ms + 100, [this, index] { watch(index); });
        return;
    }
    at(m_ms + latency(), [this, index, sentAt] {
        m_instances[index].reachedControlAt = m_ms;
        at(m_ms + longestHold * m_random.unit(), [this, index, sentAt] {
            onInstance(index, m_ms + latency(), [this, index, sentAt, list = listed()] {
                Instance& instance = m_instances[index];
                if (m_ms >= instance.partitionedUntil) {
                    Limits::setInstances(instance.view, list, instance.address, time());
                    Limits::renewLease(instance.view, Common::TimePoint(Milliseconds(sentAt)), time());
                }
                watch(index);
            });
        });
    });
}

size_t QuotaWorld::indexOf(const Address& address) const
{
    auto it = std::find_if(
        m_instances.begin(), m_instances.end(), [&](const Instance& instance) { return instance.address == address; });
    return static_cast<size_t>(it - m_instances.begin());
}

size_t QuotaWorld::keeperOf(size_t tenant) const
{
    Limits::KeeperView view;
    view.instances = listed();
    if (view.instances.empty())
        return 0;
    return indexOf(Limits::keepersOf(view, m_tenants[tenant].name.value(), {}, time()).keeper);
}

void QuotaWorld::kill(size_t index) { m_instances[index].isUp = false; }

void QuotaWorld::restart(size_t index)
{
    Instance& instance = m_instances[index];
    instance.isUp = true;
    instance.incarnation += Common::Incarnation(1);
    instance.suspendedUntil = 0;
    instance.view = {};
    instance.states.clear();
    for (size_t t = 0; t < m_tenants.size(); ++t)
        instance.quotas[t] = m_tenants[t].quota;
    onInstance(index, m_ms, [this, index] { watch(index); });
}

void QuotaWorld::suspend(size_t index, double forMs) { m_instances[index].suspendedUntil = m_ms + forMs; }

void QuotaWorld::partition(size_t index, double forMs) { m_instances[index].partitionedUntil = m_ms + forMs; }

void QuotaWorld::setQuota(size_t tenant, const Routes::Quota& quota, size_t lateInstance)
{
    m_tenants[tenant].quota = { quota, m_tenants[tenant].quota.table + Common::TableNumber(1) };
    for (size_t i = 0; i < m_instances.size(); ++i) {
        onInstance(i, m_ms + (i == lateInstance ? 500 : 500 * m_random.unit()),
            [this, i, tenant, next = m_tenants[tenant].quota] { m_instances[i].quotas[tenant] = next; });
    }
}

Relay::QuotaContext QuotaWorld::context(size_t index, size_t tenant) const
{
    const Instance& instance = m_instances[index];
    auto keepers = Limits::keepersOf(instance.view, m_tenants[tenant].name.value(), instance.address, time());
    return { m_rule, keepers, instance.address, instance.incarnation };
}

void QuotaWorld::load(size_t tenant, double perSecond, bool isEven, double until)
{
    double gap = isEven ? 1'000 / perSecond : -1'000 / perSecond * std::log(1 - m_random.unit());
    if (m_ms + gap > until)
        return;
    at(m_ms + gap, [this, tenant, perSecond, isEven, until] {
        arrive(tenant);
        load(tenant, perSecond, isEven, until);
    });
}

void QuotaWorld::arrive(size_t tenant)
{
    size_t index = m_random.below(m_instances.size());
    onInstance(index, m_ms, [this, index, tenant] {
        Instance& instance = m_instances[index];
        Relay::WaitingAdmission waiting { Relay::AdmissionId(m_nextCall++), time() + Milliseconds(300) };
        perform(index, tenant,
            Relay::admit(instance.states[tenant], context(index, tenant), instance.quotas[tenant], waiting, time()));
    });
}

void QuotaWorld::perform(size_t index, size_t tenant, const Relay::QuotaEffects& effects)
{
    Tenant& state = m_tenants[tenant];
    state.startedAt.insert(state.startedAt.end(), effects.admitted.size(), m_ms);
    for (auto& refusal : effects.refused) {
        bool isOver = refusal.reason == Common::Reason::QuotaExceeded;
        ++(isOver ? state.overQuota : state.unavailable);
        state.refusedAt.push_back(m_ms);
        if (isOver)
            state.retryAt.push_back(m_ms + refusal.retryIn.value());
    }
    if (effects.claim)
        claim(index, tenant, *effects.claim);
}

void QuotaWorld::claim(size_t index, size_t tenant, const Relay::QuotaEffects::Claim& claim)
{
    ++m_tenants[tenant].messages;
    auto isEnded = std::make_shared<bool>(false);
    auto end = [this, index, tenant, to = claim.to, isEnded, incarnation = m_instances[index].incarnation](
                   const std::optional<Limits::RateGrant>& answer) {
        if (std::exchange(*isEnded, true) || m_instances[index].incarnation != incarnation)
            return;
        perform(index, tenant,
            Relay::answerClaim(m_instances[index].states[tenant], context(index, tenant), to, answer, time()));
    };
    onInstance(index, m_ms + claimTimeout, [end] { end(std::nullopt); });
    if (m_random.chance(lossOfMessages))
        return;
    size_t grantor = indexOf(claim.to.address);
    Relay::TenantRateClaim message { m_tenants[tenant].name, m_instances[index].states[tenant].inForce, claim.wanted };
    onInstance(grantor, m_ms + latency(), [this, index, grantor, tenant, message, end] {
        Instance& instance = m_instances[grantor];
        auto answer
            = Relay::grant(instance.states[tenant], context(grantor, tenant), message, instance.quotas[tenant], time());
        if (!m_random.chance(lossOfMessages))
            onInstance(index, m_ms + latency(), [end, answer] { end(answer); });
    });
}

size_t QuotaWorld::mostInWindow(size_t tenant, double from) const
{
    auto times = m_tenants[tenant].startedAt;
    std::sort(times.begin(), times.end());
    size_t most = 0;
    for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
        auto last = std::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
}
