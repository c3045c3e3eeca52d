#pragma once

#include <string>

// Names the part of a route table that a finding or a difference is about.
namespace Review {

struct Subject {
    enum class Kind { Table, Route, Group, Tenant };

    Kind kind { Kind::Table };
    std::string name; // Empty for the table.

    friend bool operator==(const Subject&, const Subject&) = default;
};

// The encoding of a table has its own names for these.
enum class Field {
    Number,
    Routes,
    Tenants,
    HeadLimit,
    BodyLimit,
    HeadTimeout,
    IdleTimeout,
    Name,
    Host,
    Prefix,
    Idempotency,
    Timeout,
    LatencyObjective,
    MaximumAttempts,
    Priority,
    AllowsAnonymous,
    WeightedGroups,
    FanOutGroups,
    TopRecords,
    MinimumCoverage,
    ConnectionLimit,
    Warmup, // In seconds.
    WarmupRate,
    Keys,
    Rate,
    Burst,
};

// The shortest text that reads back as the same number.
std::string textOf(double);

} // namespace Review
