#pragma once

#include "Common/Random.h"
#include "Relay/TenantQuotas.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

// Instances that admit the calls of tenants in virtual time. They lose messages and contact, are suspended, killed and
// restarted, and learn of each other through a control instance, as the decisions assume.
class QuotaWorld {
public:
    struct Tenant {
        Common::TenantName name;
        Relay::NumberedQuota quota;
        std::vector<double> startedAt; // Calls.
        size_t overQuota { 0 };
        size_t unavailable { 0 };
        std::vector<double> refusedAt;
        std::vector<double> retryAt; // Times that refusals over the quota named.
        size_t messages { 0 };
    };

    QuotaWorld(uint64_t seed, size_t instances, std::vector<Relay::NumberedQuota> quotas);

    // Calls of a tenant until a time, at random instances. Evenly spaced, or at random times.
    void load(size_t tenant, double perSecond, bool isEven, double until);
    void at(double ms, std::function<void()> fn) { m_events.push({ ms, m_nextEvent++, std::move(fn) }); }
    void runUntil(double ms);
    double now() const { return m_ms; }

    size_t size() const { return m_instances.size(); }
    size_t keeperOf(size_t tenant) const; // As the control instance sees it.
    void kill(size_t);
    void restart(size_t);
    void suspend(size_t, double forMs);
    void partition(size_t, double forMs); // From control, not from the other instances.
    // Gives a tenant another quota. Instances learn of it within half a second, the last ones being those given here.
    void setQuota(size_t tenant, const Routes::Quota&, size_t lateInstance);
    double lossOfMessages { 0 };

    Tenant& tenant(size_t index) { return m_tenants[index]; }
    // The most calls of a tenant in any window of 5 s that begins at or after a time.
    size_t mostInWindow(size_t tenant, double from = 0) const;

private:
    struct Instance {
        Common::Address address;
        Common::Incarnation incarnation { 1 };
        bool isUp { true };
        double suspendedUntil { 0 };
        double partitionedUntil { 0 };
        double reachedControlAt { 0 };
        Limits::KeeperView view;
        std::map<size_t, Relay::TenantQuota> states;
        std::map<size_t, Relay::NumberedQuota> quotas; // Of the table here.
    };

    struct Event {
        double at;
        uint64_t order;
        std::function<void()> fn;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    Common::TimePoint time() const { return Common::TimePoint(Common::Milliseconds(m_ms)); }
    double latency() { return 0.2 + 0.8 * m_random.unit(); }
    // Runs fn when the instance is not suspended, unless it was killed meanwhile.
    void onInstance(size_t, double ms, std::function<void()>);
    void watch(size_t);
    std::vector<Common::Address> listed() const;
    Relay::QuotaContext context(size_t instance, size_t tenant) const;
    void arrive(size_t tenant);
    void claim(size_t instance, size_t tenant, const Relay::QuotaEffects::Claim&);
    void perform(size_t instance, size_t tenant, const Relay::QuotaEffects&);
    size_t indexOf(const Common::Address&) const;

    Common::Random m_random;
    double m_ms { 0 };
    uint64_t m_nextEvent { 0 };
    uint64_t m_nextCall { 0 };
    std::priority_queue<Event> m_events;
    std::vector<Instance> m_instances;
    std::vector<Tenant> m_tenants;
    Limits::SharedRateRule m_rule { Relay::quotaRule({}) };
};
