#pragma once

#include "Consensus/FakeDisk.h"
#include "Consensus/History.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Members with fake disks on a fake network, in virtual time. Equal seeds give equal runs.
class FakeCluster {
public:
    FakeCluster(uint64_t seed, size_t memberCount);

    // Runs with faults of all kinds and with clients that propose and read.
    void runWithFaults(Common::Milliseconds);
    // Runs without faults or clients.
    void run(Common::Milliseconds);
    // Once all are up and have settled, the members hold the same log, all have a vote, and a new command is
    // acknowledged.
    void checkConverged();

    void kill(size_t member, bool loseDisk);
    void restart(size_t member);
    std::optional<size_t> leader() const;
    void propose(size_t member);
    // All members have their vote with the disks that they have now.
    bool allVote() const;
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
        Common::LogIndex floor;
        std::optional<Common::LogIndex> index; // Once confirmed.
    };
    struct Node {
        Common::InstanceId instance;
        FakeDisk disk;
        std::vector<FakeDisk> lostDisks; // One of them may be found again.
        std::optional<Consensus::State> state; // Absent while the member is down.
        uint64_t life { 0 }; // What was scheduled for an earlier life is dropped.
        Common::TimePoint frozenUntil;
        Common::LogIndex applied;
        uint64_t machine { 0 }; // A hash of all applied entries: the state machine.
        std::vector<WaitingMessages> waitingMessages;
        std::map<Common::LogIndex, std::pair<Common::Term, std::string>> proposals;
        std::map<Consensus::ReadId, WaitingRead> reads;
        Common::TimePoint tickAt;
    };

    void runUntil(Common::TimePoint);
    void at(Common::TimePoint, std::function<void()>);
    // As at(), for one life of a member; waits while it is frozen.
    void atNode(size_t, Common::TimePoint, std::function<void()>);
    // Returns the index of the first command, if it was a Propose and accepted.
    std::optional<Common::LogIndex> step(size_t, const Consensus::Event&);
    void startWrite(Node&, size_t, Consensus::Effects&);
    void finishWrite(size_t, Consensus::WriteNumber);
    void apply(Node&, const Consensus::Effects&);
    void finishReads(Node&);
    void scheduleTick(size_t);
    double latestDelay(); // Milliseconds.
    void transmit(const Consensus::Message&);
    void read(size_t);
    void injectFault();
    void clientRound();
    void killForAWhile(size_t, const char* fault, Common::Milliseconds longest, bool loseDisk = false);
    void killDuringWrite(size_t);
    void cutOff(size_t, Common::Milliseconds);
    // Each membership that counts keeps a majority of voters with their disks.
    bool mayLoseDisk(size_t) const;
    std::optional<size_t> indexOf(const Common::InstanceId&) const;

    Common::Random m_random;
    Common::TimePoint m_now;
    std::multimap<Common::TimePoint, std::function<void()>> m_events;
    std::vector<Node> m_nodes;
    std::map<std::pair<size_t, size_t>, Common::TimePoint> m_cutUntil; // One way.
    bool m_faulty { false };
    double m_dropRate { 0 };
    uint64_t m_nextId { 1 };
    uint64_t m_steps { 0 };
    std::map<std::string, uint64_t> m_faults;
    History m_history;
};
