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

// Carries messages between shards of one process on a thread of its own.
class TestBus {
public:
    TestBus();
    ~TestBus();
    void connect(const Common::InstanceId&, Replica::LogShard*);
    void disconnect(const Common::InstanceId&);
    void send(const Common::InstanceId& from, const Common::InstanceId& to, std::string bytes);

private:
    struct Parcel {
        Common::InstanceId from;
        Common::InstanceId to;
        std::string bytes;
    };

    void work();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Parcel> m_parcels;
    bool m_stopping { false };
    std::mutex m_shardsMutex; // Held while a shard receives, so that it is not destroyed meanwhile.
    std::map<Common::InstanceId, Replica::LogShard*> m_shards;
    std::thread m_thread;
};

// Three shards on real files. Each one's state machine is the list of commands that it applied.
class TestGroup {
public:
    // With keepNothing, the state machines do not grow.
    explicit TestGroup(const std::string& name, bool keepNothing = false);
    ~TestGroup();

    void start(size_t member);
    void stop(size_t member);
    void removeFolder(size_t member);
    // All syncs of files fail from now on.
    void failSyncs(size_t member) { m_members[member].syncsFail = true; }
    Replica::LogShard& shard(size_t member) { return *m_members[member].shard; }
    std::vector<std::string> applied(size_t member);
    // Each waits for some seconds at most.
    std::optional<size_t> awaitLeader();
    bool await(const std::function<bool()>& condition);
    // Proposes to whoever leads until the command is acknowledged or its outcome is unknown.
    Common::Result<std::string> propose(const std::string& command);
    Common::Result<Common::LogIndex> confirmRead(size_t member);

private:
    struct Member {
        Common::InstanceId id;
        std::string folder;
        std::unique_ptr<Replica::LogShard> shard;
        std::vector<std::string> applied;
        std::atomic<bool> syncsFail { false };
    };

    Replica::Hooks hooksOf(size_t member);

    std::string m_base;
    bool m_keepNothing;
    std::mutex m_mutex;
    TestBus m_bus;
    std::array<Member, 3> m_members;
};
