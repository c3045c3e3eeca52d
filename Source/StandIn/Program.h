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

// Options of the command line.
struct ProgramOptions {
    Common::Address listen { "127.0.0.1:0" }; // Of the first server; the others use the following ports.
    std::string id { "backend" };
    std::vector<Common::FailureDomain> domains; // Assigned to the servers round robin.
    Common::GroupName group { "backends" };
    std::vector<Common::Address> entries;
    std::vector<std::string> versions; // In the format of parseReplicaSet().
    uint32_t shards { 1 };
    uint32_t count { 1 }; // Number of servers in this process.
    uint32_t replicas { 2 }; // Number of replicas of each shard, if there are several servers.
    uint32_t firstServer { 0 }; // Index of the first server of this process among totalServers.
    uint32_t totalServers { 0 }; // Number of servers in all processes; at least `count` is used.
    Common::Connections connections;
    Common::Milliseconds connectTime;
    bool direct { false }; // No proxy, so no connection limits, counts or faults.
    size_t keys { 10'000 };
    uint64_t dataSeed { 1 };
    std::string runLog;
    Common::Milliseconds announcePeriod { 1000 };
    Common::Milliseconds startTime; // Time during which the state is announced as "starting".
    Common::Milliseconds leaveTime { 4000 }; // Time during which a leaving server continues to serve after SIGTERM.
    int httpThreads { 4 };
    int proxyThreads { 2 };
    BackendOptions backend; // Common to all servers.
};

// Assigns each shard to `replicas` consecutive servers, modulo `total`. Returns the shards of server `index`.
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
    // Announces the servers as leaving, serves requests for leaveTime, then refuses new ones and waits for those in
    // progress. Returns false if some did not finish in time.
    bool leave();
    // Returns the counters as text: a line for each server and a total.
    std::string summary() const;

private:
    struct Private;
    explicit Program(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
