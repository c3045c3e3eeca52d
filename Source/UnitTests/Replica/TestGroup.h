#pragma once

#include "Replica/LogShard.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Delivers messages between the shards of one process on its own thread.
class TestBus {
public:
    TestBus();
    ~TestBus();
    void connect(const Common::InstanceId&, Replica::LogShard*);
    void disconnect(const Common::InstanceId&);
    void send(const Common::InstanceId& from, const Common::InstanceId& to, std::string bytes);

private:
    struct QueuedMessage {
        Common::InstanceId from;
        Common::InstanceId to;
        std::string bytes;
    };

    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<QueuedMessage> m_messages;
    bool m_stopping { false };
    std::mutex m_shardsMutex; // Held during receive(), which keeps the shard from being destroyed.
    std::map<Common::InstanceId, Replica::LogShard*> m_shards;
    std::thread m_thread;
};

// A group of three members on real files. The state machine of a member is the list of commands that it applied.
class TestGroup {
public:
    // With discardCommands, the state machines keep one entry and do not grow.
    explicit TestGroup(const std::string& name, bool discardCommands = false);
    ~TestGroup();

    void start(size_t member);
    void stop(size_t member);
    void removeFolder(size_t member);
    // Makes all later file syncs fail.
    void failSyncs(size_t member) { m_members[member].syncsFail = true; }
    // Makes all later file syncs wait until it is called with false.
    void stallSyncs(size_t member, bool stall);
    Replica::LogShard& shard(size_t member) { return *m_members[member].shard; }
    std::vector<std::string> applied(size_t member);
    // Both wait for 20 s at most.
    std::optional<size_t> awaitLeader();
    bool await(const std::function<bool()>& condition);
    // Proposes to the current leader, and retries until the command is acknowledged or its outcome is unknown.
    Common::Result<std::string> propose(const std::string& command);
    Common::Result<Common::LogIndex> confirmRead(size_t member);

private:
    struct Member {
        Common::InstanceId id;
        std::string folder;
        std::unique_ptr<Replica::LogShard> shard;
        std::vector<std::string> applied;
        std::atomic<bool> syncsFail { false };
        std::atomic<bool> syncsStall { false };
    };

    Replica::Hooks hooksOf(size_t member);

    std::string m_base;
    bool m_discardCommands;
    std::mutex m_mutex;
    TestBus m_bus;
    std::array<Member, 3> m_members;
};
