#pragma once

#include "Consensus/FakeDisk.h"
#include "Consensus/History.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Simulates members with fake disks on a fake network in virtual time. A run is determined by its seed.
class FakeCluster {
public:
    // With bootstrapCount, only that many members form the group at first, and the others are admitted; an entry needs
    // copies on a majority. Otherwise all members form it.
    FakeCluster(uint64_t seed, size_t memberCount, size_t bootstrapCount = 0);

    // Injects faults of all kinds while clients propose commands and read.
    void runWithFaults(Common::Milliseconds);
    // Runs without faults or clients.
    void run(Common::Milliseconds);
    // Restarts all members and checks that they converge: they apply the same log, all are voters, and a new command is
    // acknowledged.
    void checkConverged();

    // From now on each pair of members has a fixed delay, so that replies to one message arrive in the same order.
    void keepDelays() { m_keepsDelays = true; }
    void kill(size_t member, bool loseDisk);
    // All members lose power at once, and those in loseDisk lose their disks too. All of them restart after the time.
    void losePower(const std::vector<size_t>& loseDisk, Common::Milliseconds time);
    void restart(size_t member);
    std::optional<size_t> leader() const;
    void propose(size_t member);
    // Returns true if all members are voters under their current storage identities.
    bool allMembersVote() const;
    History& history() { return m_history; }
    const Consensus::State& state(size_t member) const { return *m_nodes[member].state; }
    uint64_t steps() const { return m_steps; }
    const std::map<std::string, uint64_t>& faults() const { return m_faults; }

private:
    struct WaitingMessages {
        Consensus::WriteNumber number;
        std::vector<Consensus::Message> messages;
    };
    struct WaitingRead {
        Common::LogIndex minimumIndex;
        std::optional<Common::LogIndex> index; // The read index, once confirmed.
    };
    struct Node {
        Common::InstanceId instance;
        FakeDisk disk;
        std::vector<FakeDisk> lostDisks; // One of them may be put back.
        std::optional<Consensus::State> state; // Absent while the member is down.
        uint64_t generation { 0 }; // Counts restarts. Events scheduled for an earlier generation are dropped.
        Common::TimePoint frozenUntil;
        Common::LogIndex applied;
        uint64_t stateHash { 0 }; // The state machine: a hash of all applied entries.
        std::vector<WaitingMessages> waitingMessages;
        std::map<Common::LogIndex, std::pair<Common::Term, std::string>> proposals;
        std::map<Consensus::ReadId, WaitingRead> reads;
        Common::TimePoint tickAt;
    };

    void runUntil(Common::TimePoint);
    void schedule(Common::TimePoint, std::function<void()>);
    // Like schedule(), for one generation of a member; delayed while it is frozen.
    void scheduleOnMember(size_t, Common::TimePoint, std::function<void()>);
    // Returns the index of the first command of an accepted Propose.
    std::optional<Common::LogIndex> step(size_t, const Consensus::Event&);
    void startWrite(Node&, size_t, Consensus::Effects&);
    void finishWrite(size_t, Consensus::WriteNumber);
    void apply(Node&, const Consensus::Effects&);
    void finishReads(Node&);
    void scheduleTick(size_t);
    double maximumDelay(); // In milliseconds.
    Common::Milliseconds delayOf(size_t from, size_t to);
    void transmit(const Consensus::Message&);
    void read(size_t);
    void injectFault();
    void runClient();
    void killTemporarily(size_t, const char* fault, Common::Milliseconds longest, bool loseDisk = false);
    void killDuringWrite(size_t);
    void isolate(size_t, Common::Milliseconds);
    // Returns true if all current memberships keep a majority of voters with their disks without this member.
    bool mayLoseDisk(size_t) const;
    std::optional<size_t> indexOf(const Common::InstanceId&) const;

    const size_t m_bootstrapCount;
    bool m_isBootstrapped { false }; // All members were started once.
    Common::Random m_random;
    Common::TimePoint m_now;
    std::multimap<Common::TimePoint, std::function<void()>> m_events;
    std::vector<Node> m_nodes;
    std::map<std::pair<size_t, size_t>, Common::TimePoint> m_partitionedUntil; // By sender and receiver.
    bool m_keepsDelays { false };
    std::map<std::pair<size_t, size_t>, Common::Milliseconds> m_delays; // By sender and receiver, if kept.
    bool m_injectingFaults { false };
    double m_dropRate { 0 };
    uint64_t m_nextId { 1 };
    uint64_t m_steps { 0 };
    std::map<std::string, uint64_t> m_faults;
    History m_history;
};
