#pragma once

#include "Common/Random.h"
#include "Gather/Query.h"
#include "Limits/ServerLoad.h"
#include "Limits/TokenRetryBudget.h"
#include "Limits/WaitQueue.h"
#include "Routing/Candidates.h"
#include "Routing/LatencyStats.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

// Simulates the decisions of Gather, Limits and Routing together in virtual time: 20 shards with 2 replicas each, 2
// slots per replica, in 3 failure domains.
struct PolicySetup {
    uint64_t seed { 1 };
    size_t instances { 1 }; // Entry instances.
    double queriesPerSecond { 400 };
    double seconds { 15 };
    double warmUp { 1000 }; // In milliseconds; latencies are counted of queries that arrive later.
    bool uniformService { true }; // 1.5 to 2.5 ms; otherwise 1 ms plus an exponential time with a mean of 1 ms.
    double stragglerChance { 0.01 }; // Chance that a sub-request takes 50 times as long.
    double slowFactor { 1 }; // Scales all service times.
    double replicaLostAt { -1 }; // In milliseconds: when the first replica of each shard is lost; negative for never.
    bool mayRetry { true }; // Retries and hedges.
};

struct PolicyOutcome {
    std::vector<double> latencies; // Milliseconds, of answers; sorted.
    double coverage { 0 }; // Sum over answers.
    size_t queries { 0 };
    size_t refused { 0 };
    size_t complete { 0 };
    int64_t firstSends { 0 };
    int64_t retries { 0 }; // Hedges included.

    double percentile(double share) const;
    double meanCoverage() const { return coverage / static_cast<double>(queries - refused); }
    double retryRatio() const { return static_cast<double>(retries) / static_cast<double>(firstSends); }
};

class PolicyModel {
public:
    explicit PolicyModel(const PolicySetup&);
    PolicyOutcome run();

private:
    using SendKey = std::pair<uint64_t, uint64_t>; // Query and attempt.

    enum class Placement {
        Sent,
        Wait, // Until a slot is free.
        NotNow,
        NoServer,
    };
    struct Event {
        double when { 0 };
        uint64_t order { 0 };
        std::function<void()> action;

        friend bool operator<(const Event& a, const Event& b)
        {
            return std::tie(b.when, b.order) < std::tie(a.when, a.order);
        }
    };
    struct Leaf {
        Common::BackendServerId id;
        Common::FailureDomain domain;
        bool lost { false };
        std::set<SendKey> running;
        std::deque<SendKey> waiting;
    };
    struct Instance {
        std::vector<Limits::ServerLoad> loads;
        std::vector<Limits::WaitQueue> queues; // One per shard.
        Limits::TokenRetryBudget budget;
        Routing::LatencyStats latencies;
        Common::Random random { 0 };
    };
    struct ActiveQuery {
        Gather::Query query;
        size_t instance { 0 };
        double arrivedAt { 0 };
        std::map<uint64_t, Gather::StartAttempt> attempts;
    };
    struct Send {
        size_t leaf { 0 };
        double at { 0 };
    };

    void after(double delay, std::function<void()>);
    Common::TimePoint now() const { return Common::TimePoint(Common::Milliseconds(m_now)); }

    void arrive();
    bool admitted(const Instance&, double deadline) const;
    void carryOut(uint64_t query, const Gather::Effects&);
    void begin(uint64_t query, const Gather::StartAttempt&);
    Placement trySend(uint64_t query, const Gather::StartAttempt&);
    bool sendTo(size_t leaf, uint64_t query, const Gather::StartAttempt&);
    void cancel(uint64_t query, const Gather::CancelAttempt&);
    void finish(uint64_t query, const Gather::Answer&);
    void endSend(SendKey, Limits::Completion);
    void serveWaiters(size_t instance, size_t shard);
    void reply(SendKey, Limits::Completion);

    void leafReceives(size_t leaf, SendKey);
    void leafRuns(size_t leaf, SendKey);
    void leafEnds(size_t leaf, SendKey);
    void leafCancels(size_t leaf, SendKey);
    void loseReplicas();
    double serviceTime();

    PolicySetup m_setup;
    Common::Random m_random;
    double m_now { 0 };
    uint64_t m_order { 0 };
    uint64_t m_queryCount { 0 };
    Gather::Plan m_plan;
    std::priority_queue<Event> m_events;
    std::vector<Leaf> m_leaves;
    std::vector<Instance> m_instances;
    std::unordered_map<uint64_t, ActiveQuery> m_queries;
    std::map<SendKey, Send> m_sends;
    PolicyOutcome m_outcome;
};
