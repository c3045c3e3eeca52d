#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>
#include <string>
#include <vector>

// The settings of one process. All defaults are defined here.
namespace Settings {

struct Peer {
    Common::Address listen { "127.0.0.1:7000" };
    int threads { 1 };
    Common::Milliseconds heartbeat { 500 }; // Interval of heartbeats on a connection.
    Common::Milliseconds silenceTimeout { 1'500 }; // A connection without any answer for this time is replaced.
};

struct Http {
    Common::Address listen { "127.0.0.1:8000" };
    int threads { 8 };
    Common::Bytes maximumBody { 1 << 20 };
    Common::Milliseconds bodyTimeout { 10'000 };
};

struct ControlMember {
    Common::InstanceId instance;
    Common::Address address;
};

struct Control {
    std::vector<ControlMember> members;
    // Instead of members: addresses of hosts that run some of the control instances. Instances are then named by their
    // peer addresses, which all use the port of this instance's own peer address.
    std::vector<Common::Address> seeds;
    // The seeds form a new group if none of them belongs to one. For the first start of a system only.
    bool bootstrap { false };
    int toleratedDiskLosses { 0 }; // Disks that may fail at once; an accepted change is stored on one more.
    // Log shard 0 holds the configuration, the other log shards hold claims of requests that run at most once.
    int claimShards { 3 }; // 0: the system accepts no requests that need claims.
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    Common::Milliseconds lease { 4'000 };
    Common::Milliseconds renewal { 1'000 };
    int64_t snapshotEvery { 20'000 }; // Log entries between two snapshots.
    int64_t keptEntries { 1'024 }; // Log entries kept before a snapshot, for followers that lag slightly.
    int64_t rememberedChanges { 20'000 }; // Change ids whose first answer is kept for resends.
    int64_t rememberedClaims { 200'000 }; // Claims kept in each claim shard.
};

struct Entry {
    Common::Milliseconds gossipInterval { 200 };
    Common::Milliseconds announcementTimeout { 5'000 }; // A backend server silent for this time counts as lost.
    // Time for the other instances to learn of a new instance and to close surplus connections to backend servers.
    Common::Milliseconds connectionSettle { 5'000 };
    bool hedging { true }; // False: a lookup is sent once to each shard, without hedges or retries.
    int attempts { 2 }; // Consecutive sub-requests to a shard, not counting hedges.
    Common::Milliseconds returnMargin { 5 }; // Reserved from the deadline for the return path to the caller.
};

// The relay role, which forwards callers' requests to backend servers.
struct Relay {
    Common::Milliseconds returnMargin { 10 }; // Reserved from the caller's deadline for the return path.
    Common::Ratio processorShare { 1 }; // Of a core, of each relay instance. All must have the same value.
    // The retry budget of a group: the retries and hedges that all instances may send in any window. The budget is a
    // share of the first sends plus a minimum.
    Common::Ratio retryRatio { 0.1 };
    double retryMinimum { 20 };
    Common::Milliseconds retryWindow { 10'000 };
    bool priorities { false }; // Calls of more urgent routes and tenants go first where capacity is short.
    bool pace { false }; // Servers that have just started or recovered get requests at an adaptive pace.
    // All instances together start no more than (rate x window + burst) x (1 + overrun) + slack calls of a tenant with
    // a quota in any window.
    Common::Milliseconds quotaWindow { 5'000 };
    double quotaOverrun { 0.1 };
    double quotaSlack { 20 };
};

// The roster of backend servers on a control instance.
struct Roster {
    Common::Milliseconds silenceTimeout { 5'000 }; // A backend server silent for this time counts as lost.
    // For how long a backend server serves at least after its departure was acknowledged.
    Common::Milliseconds drainTime { 3'000 };
};

// The listening addresses of a built-in front end. It does not listen on an empty one.
struct FrontEnd {
    Common::Address callers;
    Common::Address readiness;
    Common::Address control;
    Common::Address metrics;
};

// A graceful stop.
struct Stop {
    // From the signal to the end of the process, which is killed if it runs for longer.
    Common::Milliseconds grace { 32'000 };
    // Time for the load balancer to notice that this instance is not ready. Shorter than the grace period.
    Common::Milliseconds balancerWait { 2'000 };
    // Requests still in flight this long after the balancer wait are answered with an error. Empty: as late as the
    // grace period allows.
    std::optional<Common::Milliseconds> finishTimeout;
};

struct Log {
    std::string level { "info" };
    std::string file; // Empty: standard error. "-": standard output.
};

struct Daemon {
    Common::InstanceId instance;
    Common::FailureDomain failureDomain;
    // All that exist, for checking operators' commands. Empty: any name is accepted.
    std::vector<Common::FailureDomain> failureDomains;
    bool isEntry { false };
    bool isControl { false };
    bool isRelay { false };
    std::string dataFolder; // Required for the role control.
    Peer peer;
    Http http;
    Control control;
    Entry entry;
    Relay relay;
    Roster roster;
    FrontEnd frontEnd;
    Stop stop;
    Log log;
    int timelineEvents { 8'192 };
};

// The peer addresses of control.seeds: their hosts with the port of this instance's peer address.
std::vector<Common::Address> seedPeers(const Daemon&);

// Reads and validates a settings file. The error has one line for each problem, with file, line, field, the value
// found and the value expected.
Common::Result<Daemon> load(const std::string& file);
Common::Result<Daemon> parse(const std::string& file, const std::string& text);

} // namespace Settings
