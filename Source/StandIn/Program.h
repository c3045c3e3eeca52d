#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "StandIn/Backend.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

// All that the command line says.
struct ProgramOptions {
    Common::Address listen { "127.0.0.1:0" }; // Of the first server; the others take the ports after it.
    std::string id { "backend" };
    std::vector<Common::FailureDomain> domains; // Servers take them in turns.
    Common::GroupName group { "backends" };
    std::vector<Common::Address> entries;
    std::vector<std::string> versions; // As parseReplicaSet() reads them.
    uint32_t shards { 1 };
    uint32_t count { 1 }; // Servers in this process.
    uint32_t replicas { 2 }; // Of each shard, when count is above 1.
    uint32_t firstServer { 0 }; // Number of the first server of this process among totalServers.
    uint32_t totalServers { 0 }; // 0: count.
    Common::Connections connections;
    Common::Milliseconds connectTime;
    bool direct { false }; // No gate: no limits, counts or faults of connections.
    size_t keys { 10'000 };
    uint64_t dataSeed { 1 };
    std::string runLog;
    Common::Milliseconds announcePeriod { 1000 };
    Common::Milliseconds startTime; // Announced as starting for so long.
    Common::Milliseconds leaveTime { 4000 }; // From SIGTERM to the exit.
    int httpThreads { 4 };
    int proxyThreads { 2 };
    BackendOptions backend; // What is common to all servers.
};

// The replicas of server number `index` of `total`, when each shard goes to `replicas` neighbouring servers.
std::vector<ReplicaSet> spreadShards(
    const std::vector<ReplicaSet>& all, uint32_t index, uint32_t total, uint32_t replicas);

// The servers of one process.
class Program {
public:
    static Common::Result<std::unique_ptr<Program>> start(ProgramOptions);
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    std::vector<Common::Address> addresses() const;
    Backend& backend(size_t);
    // Announces that the servers leave, serves for leaveTime, refuses new work, and waits for what is running.
    // Returns whether all of it ended.
    bool leave();
    // Counters, for people: one line for each server, and a sum.
    std::string summary() const;

private:
    struct Private;
    explicit Program(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
