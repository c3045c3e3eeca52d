#pragma once

#include "Common/Random.h"
#include "Membership/Gossip.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Simulates instances that gossip in memory and virtual time, over a network that loses messages.
class GossipLoop {
public:
    struct Settings {
        size_t instances { 9 };
        uint64_t seed { 1 };
        double loss { 0 };
        bool knowEachOther { true }; // Otherwise each knows only the address of the first.
        Membership::GossipSettings gossip;
    };

    struct Instance {
        Membership::GossipState state;
        bool isRunning { true };
        uint64_t messagesSent { 0 };
        uint64_t bytesSent { 0 };
        std::vector<Membership::Change> changes;
    };

    explicit GossipLoop(const Settings&);

    void runFor(Common::Milliseconds);
    // Runs until the condition holds for every running instance. Returns the time that it took, or limit.
    Common::Milliseconds runUntil(
        const std::function<bool(const Membership::GossipState&)>& condition, Common::Milliseconds limit);

    // Drops all later messages in this direction.
    void cut(size_t from, size_t to) { m_cuts.emplace(from, to); }
    void heal() { m_cuts.clear(); }
    void stop(size_t i) { m_instances[i].isRunning = false; }
    void resume(size_t i) { m_instances[i].isRunning = true; }

    Common::TimePoint now() const { return m_now; }
    Instance& instance(size_t i) { return m_instances[i]; }
    std::vector<Instance>& instances() { return m_instances; }
    Common::Random& random() { return m_random; }
    // Counts the bytes of each message, if set.
    std::function<size_t(const Membership::GossipMessage&)> sizeOf;

private:
    struct Delivery {
        Common::TimePoint at;
        uint64_t number { 0 };
        size_t to { 0 };
        Membership::GossipMessage message;

        bool operator<(const Delivery& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number); // The earliest delivery is on top.
        }
    };

    void send(size_t from, std::vector<Membership::OutgoingMessage>);
    void tick();

    std::vector<Instance> m_instances;
    std::set<std::pair<size_t, size_t>> m_cuts;
    std::priority_queue<Delivery> m_deliveries;
    Common::Random m_random;
    double m_loss { 0 };
    uint64_t m_deliveryCount { 0 };
    Common::TimePoint m_now { Common::Milliseconds(1'000) };
};

Common::InstanceId instanceId(size_t);
Common::BackendServerId serverId(size_t);
Membership::InstanceRecord instanceRecord(size_t);
// An announcement of server i, in its first incarnation and ready.
Membership::Announcement announcement(size_t i, uint64_t sequence);
