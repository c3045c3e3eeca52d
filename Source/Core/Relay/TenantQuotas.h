#pragma once

#include "Common/Error.h"
#include "Common/ShardedMap.h"
#include "Limits/RateKeeper.h"
#include "Limits/SharedRate.h"
#include "Routes/Table.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// Admits the calls of tenants with a quota, one token for each call. The decisions are functions over plain structs;
// TenantQuotas keeps the structs and the waiting calls. All times are on the boot clock: the validity of tokens and
// leases goes on while this instance is suspended.
namespace Relay {

// All instances together let no more than (rate x window + burst) x (1 + overrun) + slack calls of a tenant start in
// any window.
struct QuotaBounds {
    Common::Milliseconds window { 5'000 };
    double overrun { 0.1 };
    double slack { 20 };
};

Limits::SharedRateRule quotaRule(const QuotaBounds&);

// A quota and the table that it is from. That of the later table is in force.
struct NumberedQuota {
    Routes::Quota quota;
    Common::TableNumber table;
};

// Asks the keeper of a tenant's quota, or its substitute, for tokens.
struct TenantRateClaim {
    Common::TenantName tenant;
    NumberedQuota quota; // As the asker knows it.
    size_t wanted { 1 };
};

using AdmissionId = Common::StrongId<struct AdmissionIdTag, uint64_t>;

struct WaitingAdmission {
    AdmissionId id;
    Common::TimePoint deadline;
};

// What one instance knows of the quota of one tenant.
struct TenantQuota {
    NumberedQuota inForce;
    Limits::SharedRate rate;
    std::vector<WaitingAdmission> waiting; // In the order of arrival.
    Common::TimePoint promisedUntil; // Refused calls were told to retry at times until then.
};

struct QuotaEffects {
    struct Refusal {
        AdmissionId id;
        Common::Reason reason { Common::Reason::QuotaExceeded };
        Common::Milliseconds retryIn;
    };

    struct Claim {
        Limits::RateGrantor to;
        size_t wanted { 0 };
    };

    std::vector<AdmissionId> admitted;
    std::vector<Refusal> refused;
    std::optional<Claim> claim; // To send; answerClaim() takes the answer.
    Limits::RateGrantor deniedBy; // Of refusals.
};

// Where a decision is made.
struct QuotaContext {
    Limits::SharedRateRule rule;
    Limits::RateKeepers keepers; // Of the tenant.
    Common::Address self;
    Common::Incarnation incarnation;
};

QuotaEffects admit(
    TenantQuota&, const QuotaContext&, const NumberedQuota&, const WaitingAdmission&, Common::TimePoint now);
// The answer to a claim; empty if none came.
QuotaEffects answerClaim(TenantQuota&, const QuotaContext&, const Limits::RateGrantor&,
    const std::optional<Limits::RateGrant>&, Common::TimePoint now);
// Ends the waiting of a call whose caller has left or whose deadline has passed; false if it does not wait.
bool withdraw(TenantQuota&, AdmissionId);
// Answers a claim. The quota is that of the table here, if it has one.
Limits::RateGrant grant(TenantQuota&, const QuotaContext&, const TenantRateClaim&,
    const std::optional<NumberedQuota>& own, Common::TimePoint now);
// Whether the state can be deleted. isRemoved: the tenant is not in the table.
bool isAtRest(const TenantQuota&, const Limits::SharedRateRule&, bool isRemoved, Common::TimePoint now);

// Chooses the tenants with a metric label of their own: the first 100 that reach a number of requests, so that labels
// are bounded and busy tenants get one. All others share one label.
struct TenantLabels {
    std::unordered_map<Common::TenantName, int> requests; // Of tenants without a label of their own, bounded.
    std::set<Common::TenantName> own;
};

std::string labelOf(TenantLabels&, const Common::TenantName&);

// The quotas of all tenants, sharded by tenant, each shard under its own lock.
class TenantQuotas {
public:
    // Called once, without a lock held: with a refusal, or empty for an admitted call.
    using Done = std::function<void(const std::optional<QuotaEffects::Refusal>&, const Limits::RateGrantor& deniedBy)>;

    // Returns a claim that the caller must send, with its answer to answerClaim().
    std::optional<QuotaEffects::Claim> admit(const Common::TenantName&, const QuotaContext&, const NumberedQuota&,
        AdmissionId, Common::TimePoint deadline, Done, Common::TimePoint now);
    std::optional<QuotaEffects::Claim> answerClaim(const Common::TenantName&, const QuotaContext&,
        const Limits::RateGrantor&, const std::optional<Limits::RateGrant>&, Common::TimePoint now);
    // Drops a waiting call; its function is not called. False if it does not wait.
    bool withdraw(const Common::TenantName&, AdmissionId);
    Limits::RateGrant grant(
        const QuotaContext&, const TenantRateClaim&, const std::optional<NumberedQuota>& own, Common::TimePoint now);
    AdmissionId nextId() { return AdmissionId(m_nextId++); }
    // The quota in force for a tenant here.
    NumberedQuota inForce(const Common::TenantName&);
    std::string labelOf(const Common::TenantName&);
    size_t size() { return m_tenants.size(); }
    size_t waiting() { return m_waiting.size(); }
    // Deletes the state that is not needed.
    void sweep(const Limits::SharedRateRule&, const Routes::Table*, Common::TimePoint now);

private:
    std::optional<QuotaEffects::Claim> perform(const QuotaEffects&);

    std::atomic<uint64_t> m_nextId { 1 };
    Common::ShardedMap<Common::TenantName, TenantQuota> m_tenants;
    Common::ShardedMap<AdmissionId, Done> m_waiting;
    std::mutex m_labelsMutex;
    TenantLabels m_labels; // Guarded by the mutex.
};

} // namespace Relay
