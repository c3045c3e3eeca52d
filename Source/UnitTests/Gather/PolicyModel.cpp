#include "Gather/PolicyModel.h"

#include <algorithm>
#include <cmath>
#include <string>

using Common::Milliseconds;
using Common::TimePoint;
using Limits::Completion;

namespace {

constexpr size_t shardCount = 20;
constexpr size_t replicas = 2;
constexpr size_t domains = 3;
constexpr Common::Slots slots { 2 };
constexpr size_t leafQueue = 8; // Requests that may wait at a leaf; it sheds further ones.
constexpr double oneWay = 0.5; // Milliseconds.
constexpr double stragglerFactor = 50;
constexpr double deadlineAfter = 1000; // Milliseconds.
constexpr Milliseconds longPause { 100 }; // On admission, a server that is paused for longer doesn't count as capacity.
const Common::RouteName route("lookup");

} // namespace

double PolicyOutcome::percentile(double share) const
{
    return latencies.empty() ? 0 : latencies[static_cast<size_t>(share * static_cast<double>(latencies.size() - 1))];
}

PolicyModel::PolicyModel(const PolicySetup& setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_plan { Common::IndexVersion(1), {} }
    , m_instances(setup.instances)
{
    for (size_t i = 0; i < shardCount * replicas; ++i)
        m_leaves.push_back({ Common::BackendServerId("leaf-" + std::to_string(i)),
            Common::FailureDomain("domain-" + std::to_string((i / replicas + i % replicas) % domains)) });
    uint64_t step = Common::keySpaceSize / shardCount;
    for (uint64_t i = 0; i < shardCount; ++i)
        m_plan.shards.push_back({ Common::ShardId(static_cast<uint32_t>(i)),
            { step * i, i + 1 == shardCount ? Common::keySpaceSize : step * (i + 1) } });
    for (size_t i = 0; i < m_instances.size(); ++i) {
        Instance& instance = m_instances[i];
        instance.random = Common::Random(setup.seed + i);
        instance.loads.resize(m_leaves.size());
        instance.queues.resize(shardCount);
        for (Limits::ServerLoad& load : instance.loads)
            Limits::configure(load, Limits::slotShare(slots, m_instances.size(), i), now());
    }
}

PolicyOutcome PolicyModel::run()
{
    after(0, [this] { arrive(); });
    if (m_setup.replicaLostAt >= 0)
        after(m_setup.replicaLostAt, [this] { loseReplicas(); });
    while (!m_events.empty()) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.action();
    }
    std::sort(m_outcome.latencies.begin(), m_outcome.latencies.end());
    for (const Instance& instance : m_instances) {
        m_outcome.firstSends += instance.budget.firstSends;
        m_outcome.retries += instance.budget.retries;
    }
    return m_outcome;
}

void PolicyModel::after(double delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

void PolicyModel::arrive()
{
    if (m_now >= m_setup.seconds * 1000)
        return;
    after(-std::log(1 - m_random.unit()) * 1000 / m_setup.queriesPerSecond, [this] { arrive(); });
    size_t i = m_random.below(m_instances.size());
    ++m_outcome.queries;
    double deadline = m_now + deadlineAfter;
    if (!admitted(m_instances[i], deadline)) {
        ++m_outcome.refused;
        return;
    }
    uint64_t id = ++m_queryCount;
    ActiveQuery& active = m_queries[id];
    active.query
        = Gather::makeQuery(m_plan, { .deadline = TimePoint(Milliseconds(deadline)), .mayRetry = m_setup.mayRetry });
    active.instance = i;
    active.arrivedAt = m_now;
    carryOut(id, Gather::start(active.query, now(), Routing::hedgeDelay(m_instances[i].latencies)));
}

bool PolicyModel::admitted(const Instance& instance, double deadline) const
{
    std::vector<Limits::Backlog> backlogs(shardCount);
    for (size_t shard = 0; shard < shardCount; ++shard) {
        Limits::Backlog& backlog = backlogs[shard];
        backlog = { Limits::waitersAhead(instance.queues[shard], route), false, 0, Routing::mean(instance.latencies) };
        for (size_t i = shard * replicas; i < (shard + 1) * replicas; ++i) {
            const Limits::ServerLoad& load = instance.loads[i];
            backlog.slotFree = backlog.slotFree || Limits::hasFreeSlot(load, now());
            backlog.slots += load.pausedUntil > now() + longPause ? 0 : load.limit;
        }
    }
    return Limits::admit(backlogs, TimePoint(Milliseconds(deadline - 5)), now()).has_value();
}

void PolicyModel::carryOut(uint64_t id, const Gather::Effects& effects)
{
    for (const Gather::Effect& effect : effects) {
        if (auto* attempt = std::get_if<Gather::StartAttempt>(&effect))
            begin(id, *attempt);
        else if (auto* cancelled = std::get_if<Gather::CancelAttempt>(&effect))
            cancel(id, *cancelled);
        else if (auto* done = std::get_if<Gather::Finish>(&effect))
            finish(id, done->answer);
        else
            after((std::get<Gather::WakeAt>(effect).when - now()).value(), [this, id] {
                auto it = m_queries.find(id);
                if (it != m_queries.end() && it->second.query.nextWake <= now())
                    carryOut(id, Gather::wake(it->second.query, now()));
            });
    }
    auto it = m_queries.find(id);
    if (it != m_queries.end() && it->second.query.finished)
        m_queries.erase(it);
}

void PolicyModel::begin(uint64_t id, const Gather::StartAttempt& attempt)
{
    ActiveQuery& active = m_queries.at(id);
    Instance& instance = m_instances[active.instance];
    bool isRetry = attempt.purpose != Gather::Purpose::First;
    bool hasBudget = !isRetry || Limits::tryTakeRetry(instance.budget);
    Placement placement = hasBudget ? trySend(id, attempt) : Placement::NotNow;
    if (placement == Placement::Sent)
        return;
    if (placement == Placement::Wait) {
        active.attempts[attempt.id.value()] = attempt;
        Limits::push(instance.queues[attempt.shard.value()],
            { Common::QueryId(id), attempt.id, attempt.shard, route, Gather::subRequestDeadline(active.query),
                attempt.avoidServers });
        serveWaiters(active.instance, attempt.shard.value());
        return;
    }
    if (isRetry && hasBudget)
        Limits::returnRetry(instance.budget);
    auto reason = placement == Placement::NotNow ? Common::Reason::Overloaded : Common::Reason::Unavailable;
    carryOut(id, Gather::attemptNotStarted(active.query, attempt.id, Common::makeError(reason, "send", "none"), now()));
}

PolicyModel::Placement PolicyModel::trySend(uint64_t id, const Gather::StartAttempt& attempt)
{
    ActiveQuery& active = m_queries.at(id);
    Instance& instance = m_instances[active.instance];
    size_t base = attempt.shard.value() * replicas;
    std::vector<Routing::Candidate> candidates;
    candidates.reserve(replicas);
    for (size_t i = base; i < base + replicas; ++i) {
        const Limits::ServerLoad& load = instance.loads[i];
        candidates.push_back({ m_leaves[i].id, m_leaves[i].domain, load.inFlight, load.limit,
            Limits::expectedLatency(load, now()), load.cold, Limits::availableAt(load) > now() });
    }
    auto order = Routing::rank(candidates, { attempt.avoidServers, attempt.avoidDomains }, instance.random);
    if (order.empty())
        return Placement::NoServer;
    // A hedge does not wait for a server that is backed off: it would hold budget that other requests need.
    if (attempt.purpose == Gather::Purpose::Hedge && instance.loads[base + order.front()].pausedUntil > now())
        return Placement::NotNow;
    for (size_t i : order) {
        size_t leaf = base + i;
        if (sendTo(leaf, id, attempt))
            return Placement::Sent;
    }
    return Placement::Wait;
}

bool PolicyModel::sendTo(size_t leaf, uint64_t id, const Gather::StartAttempt& attempt)
{
    ActiveQuery& active = m_queries.at(id);
    Instance& instance = m_instances[active.instance];
    if (!Limits::tryAcquire(instance.loads[leaf], now()))
        return false;
    if (attempt.purpose == Gather::Purpose::First)
        Limits::countFirstSend(instance.budget);
    SendKey key { id, attempt.id.value() };
    m_sends[key] = { leaf, m_now };
    active.attempts[attempt.id.value()] = attempt;
    after(oneWay, [this, leaf, key] { leafReceives(leaf, key); });
    carryOut(id, Gather::attemptStarted(active.query, attempt.id, m_leaves[leaf].id, m_leaves[leaf].domain, now()));
    return true;
}

void PolicyModel::cancel(uint64_t id, const Gather::CancelAttempt& cancelled)
{
    SendKey key { id, cancelled.id.value() };
    auto it = m_sends.find(key);
    if (it == m_sends.end()) {
        ActiveQuery& active = m_queries.at(id);
        Instance& instance = m_instances[active.instance];
        const Gather::StartAttempt& attempt = active.attempts.at(cancelled.id.value());
        Limits::remove(instance.queues[attempt.shard.value()], Common::QueryId(id), cancelled.id, route);
        if (attempt.purpose != Gather::Purpose::First)
            Limits::returnRetry(instance.budget);
        return;
    }
    size_t leaf = it->second.leaf;
    after(oneWay, [this, leaf, key] { leafCancels(leaf, key); });
    endSend(key, Completion::Cancelled);
}

void PolicyModel::finish(uint64_t id, const Gather::Answer& answer)
{
    double arrivedAt = m_queries.at(id).arrivedAt;
    if (arrivedAt >= m_setup.warmUp)
        m_outcome.latencies.push_back(m_now - arrivedAt);
    m_outcome.coverage += answer.refusal ? 0 : answer.coverage.value();
    m_outcome.complete += answer.complete ? 1 : 0;
}

void PolicyModel::endSend(SendKey key, Completion completion)
{
    Send send = m_sends.at(key);
    m_sends.erase(key);
    size_t i = m_queries.at(key.first).instance;
    Instance& instance = m_instances[i];
    Milliseconds took(m_now - send.at);
    Limits::release(instance.loads[send.leaf], completion, took, now());
    if (completion == Completion::Ok || completion == Completion::Cancelled)
        Routing::record(instance.latencies, took);
    after(0, [this, i, shard = send.leaf / replicas] { serveWaiters(i, shard); });
}

void PolicyModel::serveWaiters(size_t i, size_t shard)
{
    Instance& instance = m_instances[i];
    Limits::WaitQueue& queue = instance.queues[shard];
    for (size_t leaf = shard * replicas; leaf < (shard + 1) * replicas; ++leaf) {
        const Limits::ServerLoad& load = instance.loads[leaf];
        while (Limits::hasFreeSlot(load, now())) {
            auto waiter = Limits::pop(queue, now(), Limits::expectedLatency(load, now()), m_leaves[leaf].id);
            if (!waiter)
                break;
            uint64_t id = waiter->query.value();
            sendTo(leaf, id, Gather::StartAttempt(m_queries.at(id).attempts.at(waiter->attempt.value())));
        }
        double pause = (Limits::availableAt(load) - now()).value();
        if (Limits::size(queue) > 0 && pause > 0)
            after(pause, [this, i, shard] { serveWaiters(i, shard); });
    }
}

void PolicyModel::reply(SendKey key, Completion completion)
{
    if (!m_sends.contains(key))
        return; // Cancelled, or its query has ended.
    ActiveQuery& active = m_queries.at(key.first);
    Gather::StartAttempt attempt = active.attempts.at(key.second);
    endSend(key, completion);
    if (completion == Completion::Ok) {
        carryOut(key.first,
            Gather::subAnswer(active.query, attempt.id, m_plan.version, attempt.shard, attempt.range, {}, now()));
        return;
    }
    auto reason = completion == Completion::Shed ? Common::Reason::Refused : Common::Reason::ConnectionLost;
    carryOut(key.first,
        Gather::attemptFailed(active.query, attempt.id, Common::makeError(reason, "read", "no answer"), now()));
}

void PolicyModel::leafReceives(size_t i, SendKey key)
{
    Leaf& leaf = m_leaves[i];
    if (leaf.lost)
        after(oneWay, [this, key] { reply(key, Completion::Failed); });
    else if (static_cast<int64_t>(leaf.running.size()) < slots.value())
        leafRuns(i, key);
    else if (leaf.waiting.size() < leafQueue)
        leaf.waiting.push_back(key);
    else
        after(oneWay, [this, key] { reply(key, Completion::Shed); });
}

void PolicyModel::leafRuns(size_t i, SendKey key)
{
    m_leaves[i].running.insert(key);
    after(serviceTime(), [this, i, key] {
        if (!m_leaves[i].running.contains(key))
            return;
        after(oneWay, [this, key] { reply(key, Completion::Ok); });
        leafEnds(i, key);
    });
}

void PolicyModel::leafEnds(size_t i, SendKey key)
{
    Leaf& leaf = m_leaves[i];
    leaf.running.erase(key);
    if (leaf.waiting.empty() || static_cast<int64_t>(leaf.running.size()) >= slots.value())
        return;
    SendKey next = leaf.waiting.front();
    leaf.waiting.pop_front();
    leafRuns(i, next);
}

void PolicyModel::leafCancels(size_t i, SendKey key)
{
    std::erase(m_leaves[i].waiting, key);
    if (m_leaves[i].running.contains(key))
        leafEnds(i, key);
}

void PolicyModel::loseReplicas()
{
    for (size_t i = 0; i < m_leaves.size(); i += replicas) {
        Leaf& leaf = m_leaves[i];
        leaf.lost = true;
        for (SendKey key : leaf.running)
            after(oneWay, [this, key] { reply(key, Completion::Failed); });
        for (SendKey key : leaf.waiting)
            after(oneWay, [this, key] { reply(key, Completion::Failed); });
        leaf.running.clear();
        leaf.waiting.clear();
    }
}

double PolicyModel::serviceTime()
{
    double base = m_setup.uniformService ? 1.5 + m_random.unit() : 1 - std::log(1 - m_random.unit());
    return base * m_setup.slowFactor * (m_random.chance(m_setup.stragglerChance) ? stragglerFactor : 1);
}
