#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>
#include <vector>

// The settings of one process. Each field's default stands here and nowhere else.
namespace Settings {

struct Peer {
    Common::Address listen { "127.0.0.1:7000" };
    int threads { 1 };
    Common::Milliseconds heartbeat { 500 }; // Between two heartbeats on a connection.
    Common::Milliseconds silenceTimeout { 1'500 }; // A connection that answers nothing for so long is replaced.
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
    // In the place of members: addresses of hosts that run some of them. Instances are then named by their peer
    // addresses, which have the port of this instance's own.
    std::vector<Common::Address> seeds;
    bool bootstrap { false }; // The seeds form the group if none of them has one. Only at the very first start.
    int toleratedDiskLosses { 0 }; // Disks that may be lost at once; a change is on one more before it is accepted.
    // Log shard 0 carries the configuration, the others claims of requests that run at most once.
    int claimShards { 3 }; // 0: this system takes no requests that need claims.
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    Common::Milliseconds lease { 4'000 };
    Common::Milliseconds renewal { 1'000 };
    int64_t snapshotEvery { 20'000 }; // Log entries.
    int64_t keptEntries { 1'024 }; // Left in the log below a snapshot, for members that lag a little.
    int64_t rememberedChanges { 20'000 }; // Change ids whose first answer is kept.
    int64_t rememberedClaims { 200'000 }; // Claims kept in each claim shard.
};

struct Entry {
    Common::Milliseconds gossipInterval { 200 };
    Common::Milliseconds announcementTimeout { 5'000 }; // A backend server silent for that long is taken as lost.
    // How long others may take to learn that an instance joined, and to give up connections to backend servers.
    Common::Milliseconds connectionSettle { 5'000 };
    bool hedging { true }; // False: lookups are sent once to each shard, without hedges and retries.
    int attempts { 2 }; // Sub-requests of a shard one after another, hedges aside.
    Common::Milliseconds returnMargin { 5 }; // Kept back from a deadline for the way to the caller.
};

// The relay of callers' requests to backend servers.
struct Relay {
    Common::Milliseconds returnMargin { 10 }; // Kept back from a caller's time for the way of the answer.
    // What all instances may send to a group beyond the first send of each request, in any window.
    Common::Ratio retryRatio { 0.1 };
    double retryMinimum { 20 };
    Common::Milliseconds retryWindow { 10'000 };
};

// Where a control instance hears backend servers.
struct Roster {
    Common::Milliseconds silenceTimeout { 5'000 }; // A backend server that was silent for so long is taken as lost.
};

// What the outside speaks to: a front end that was built in listens here. Empty: not at all.
struct FrontEnd {
    Common::Address callers;
    Common::Address readiness;
    Common::Address control;
    Common::Address metrics;
};

struct Stop {
    // Time that the balancer gets to notice that this instance is not ready.
    Common::Milliseconds balancerWait { 2'000 };
    // Requests still in flight after that are cut off, and logged.
    Common::Milliseconds finishTimeout { 30'000 };
};

struct Log {
    std::string level { "info" };
    std::string file; // Standard error if empty, standard output if "-".
};

struct Daemon {
    Common::InstanceId instance;
    Common::FailureDomain failureDomain;
    bool isEntry { false };
    bool isControl { false };
    bool isRelay { false };
    std::string dataFolder; // Control only.
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

// The peer addresses of control.seeds: their hosts with the port of this instance's own peer address.
std::vector<Common::Address> seedPeers(const Daemon&);

// Reads and checks a whole settings file. The error has a line for each problem, with file, line, field, what was
// found and what was expected.
Common::Result<Daemon> load(const std::string& file);
Common::Result<Daemon> parse(const std::string& file, const std::string& text);

} // namespace Settings
