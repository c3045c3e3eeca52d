#pragma once

#include <cstddef>

namespace Observe {

// MetricNames.cpp has the exported name, help text and label of each metric; the comments here name the label.

enum class Counter {
    Queries, // outcome
    Bookings, // outcome
    FirstSends, // group
    Retries, // group
    Hedges, // group
    Cancellations, // group
    LateAnswers, // group
    Refusals, // reason
    ConnectionsReplaced, // server
    Quarantines,
    Departures, // outcome
    OverdueCalls, // what
    StoppedCalls, // outcome
    LimitedSends, // purpose
    UnusableLimits, // group
    TenantAdmitted, // tenant
    TenantRefused, // tenant
    GossipBytesSent,
    GossipBytesReceived,
    GossipMessages, // direction
    Count,
};

enum class Gauge {
    RevisionInForce,
    RevisionApplied,
    Connections, // server
    InFlight, // server
    QueriesInFlight, // route
    RelayWork, // kind
    PacedServers,
    Claims, // state
    Leader, // log shard; 1 while this process leads it
    LogBehind, // log shard
    WritePending, // log shard
    Voter, // log shard
    ServersKnown, // state
    InstancesKnown, // state
    Draining,
    DomainsEvacuated,
    Count,
};

// Histograms in milliseconds.
enum class Latency {
    Query, // route
    Booking, // route
    SubRequest, // group
    Commit, // log shard
    AcceptedToInForce,
    Departure,
    Count,
};

// Histograms of ratios between 0 and 1.
enum class Share {
    Coverage, // route
    Count,
};

struct MetricText {
    const char* name;
    const char* help;
    const char* label; // "" if the metric has none.
};

const MetricText& textOf(Counter);
const MetricText& textOf(Gauge);
const MetricText& textOf(Latency);
const MetricText& textOf(Share);

} // namespace Observe
