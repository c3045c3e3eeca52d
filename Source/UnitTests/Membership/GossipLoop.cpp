#include "Membership/GossipLoop.h"

#include <algorithm>
#include <tuple>

using namespace Membership;

namespace {

constexpr Common::Milliseconds tickInterval { 50 };
constexpr double longestDelay = 4; // Milliseconds.
constexpr uint64_t firstPort = 10'000;

Common::Address addressOfInstance(size_t i) { return Common::Address("10.0.0.1:" + std::to_string(firstPort + i)); }

size_t instanceAt(const Common::Address& address)
{
    return std::stoul(address.value().substr(address.value().find(':') + 1)) - firstPort;
}

} // namespace

Common::InstanceId instanceId(size_t i) { return Common::InstanceId("entry-" + std::to_string(i)); }

Common::BackendServerId serverId(size_t i) { return Common::BackendServerId("leaf-" + std::to_string(i)); }

InstanceRecord instanceRecord(size_t i)
{
    return { instanceId(i), Common::Incarnation(1), addressOfInstance(i),
        Common::FailureDomain("kozep-" + std::to_string(i % 3)) };
}

Announcement announcement(size_t i, uint64_t sequence)
{
    Announcement it;
    it.server = serverId(i);
    it.address = Common::Address("10.1.0." + std::to_string(i % 250) + ":7000");
    it.domain = Common::FailureDomain("kozep-" + std::to_string(i % 3));
    it.group = Common::GroupName("foglalas");
    it.incarnation = Common::Incarnation(1);
    it.sequence = sequence;
    it.state = ServerState::Ready;
    it.replicas = { { Common::IndexVersion(7), Common::ShardId(static_cast<uint32_t>(i % 20)) } };
    return it;
}

GossipLoop::GossipLoop(const Settings& settings)
    : m_random(settings.seed)
    , m_loss(settings.loss)
{
    for (size_t i = 0; i < settings.instances; ++i) {
        m_instances.push_back({ makeGossipState(settings.gossip, instanceRecord(i), { addressOfInstance(0) }) });
        if (settings.knowEachOther)
            m_instances[i].state.pushes.clear();
        // Instances start their rounds at different times.
        auto jitter = Common::Milliseconds(static_cast<double>(m_random.below(1'000)));
        m_instances[i].state.nextProbe = m_now + jitter;
        m_instances[i].state.nextPush = m_now;
    }
    if (!settings.knowEachOther)
        return;
    for (size_t i = 0; i < settings.instances; ++i) {
        for (size_t j = 0; j < settings.instances; ++j)
            merge(m_instances[i].state.directory, instanceRecord(j), m_now);
    }
}

void GossipLoop::send(size_t from, std::vector<OutgoingMessage> messages)
{
    for (OutgoingMessage& outgoing : messages) {
        Instance& sender = m_instances[from];
        ++sender.messagesSent;
        if (sizeOf)
            sender.bytesSent += sizeOf(outgoing.message);
        size_t to = instanceAt(outgoing.address);
        bool isLost = m_random.chance(m_loss) || m_cuts.count({ from, to });
        if (isLost || to == from)
            continue;
        auto at = m_now + Common::Milliseconds(0.5 + m_random.unit() * longestDelay);
        m_deliveries.push({ at, m_deliveryCount++, to, std::move(outgoing.message) });
    }
}

void GossipLoop::tick()
{
    auto end = m_now + tickInterval;
    for (size_t i = 0; i < m_instances.size(); ++i) {
        Instance& it = m_instances[i];
        if (!it.isRunning)
            continue;
        GossipPlan plan = nextGossip(it.state, m_now, m_random);
        std::move(plan.changes.begin(), plan.changes.end(), std::back_inserter(it.changes));
        send(i, std::move(plan.messages));
    }
    while (!m_deliveries.empty() && m_deliveries.top().at < end) {
        Delivery delivery = m_deliveries.top();
        m_deliveries.pop();
        m_now = std::max(m_now, delivery.at);
        Instance& it = m_instances[delivery.to];
        if (!it.isRunning)
            continue;
        GossipReceipt receipt = receiveGossip(it.state, delivery.message, m_now);
        std::move(receipt.changes.begin(), receipt.changes.end(), std::back_inserter(it.changes));
        send(delivery.to, std::move(receipt.replies));
    }
    m_now = end;
}

void GossipLoop::runFor(Common::Milliseconds duration)
{
    auto end = m_now + duration;
    while (m_now < end)
        tick();
}

Common::Milliseconds GossipLoop::runUntil(
    const std::function<bool(const GossipState&)>& condition, Common::Milliseconds limit)
{
    auto start = m_now;
    auto holds = [&](const Instance& it) { return !it.isRunning || condition(it.state); };
    while (m_now - start < limit && !std::all_of(m_instances.begin(), m_instances.end(), holds))
        tick();
    return m_now - start;
}
