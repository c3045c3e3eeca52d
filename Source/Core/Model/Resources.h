#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Common/Units.h"

#include <string>
#include <variant>
#include <vector>

// The resources of the administration API, as plain structs.
namespace Model {

// Whether a request of a route may be sent to more than one backend server.
enum class RouteKind {
    Lookup, // Scattered to all shards; may be retried and hedged.
    RunOnce, // Bookings and pickups: dispatched at most once for each request id.
};

// A route that callers name in requests: the backend group and index version that serve it, and its deadline.
struct QueryRoute {
    Common::RouteName name;
    Common::GroupName group;
    RouteKind kind { RouteKind::Lookup };
    Common::IndexVersion version; // Lookup routes only.
    Common::Milliseconds deadline { 1000 };
    Common::Ratio minimumCoverage { 0 }; // Partial answers with less coverage are refused.

    friend bool operator==(const QueryRoute&, const QueryRoute&) = default;
};

// A group of equivalent backend servers and the load that each of them accepts.
struct BackendGroup {
    Common::GroupName name;
    Common::Slots slots { 2 }; // Concurrent requests on one server.
    Common::Connections connectionLimit { 25 }; // Connections that one server accepts from all instances.
    Common::Milliseconds connectTime { 6 }; // The usual time to open a connection.

    friend bool operator==(const BackendGroup&, const BackendGroup&) = default;
};

// A shard of the index: it holds the keys of one range of the key space.
struct Shard {
    Common::ShardId id;
    Common::KeyRange range;

    friend bool operator==(const Shard&, const Shard&) = default;
};

// The shard map of one version of a group's index. The ranges cover the key space and do not overlap.
struct IndexVersionMap {
    Common::GroupName group;
    Common::IndexVersion version;
    std::vector<Shard> shards;

    friend bool operator==(const IndexVersionMap&, const IndexVersionMap&) = default;
};

// An instance, as operators see it and drain it.
struct Instance {
    Common::InstanceId id;
    Common::FailureDomain domain;
    Common::Address address;
    bool draining { false };

    friend bool operator==(const Instance&, const Instance&) = default;
};

// All routes and services of a front end in one document. Only the front end that accepted it can parse it; elsewhere
// only its number matters: the table with the highest number is in force.
struct RouteTable {
    Common::TableNumber number;
    std::string document;

    friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

// Whether an operator has evacuated a failure domain: its backend servers get no requests.
struct DomainEvacuation {
    Common::FailureDomain domain;
    bool isEvacuated { false };

    friend bool operator==(const DomainEvacuation&, const DomainEvacuation&) = default;
};

// The resource name of the only route table.
inline constexpr const char* routeTableName = "routes";

using Resource = std::variant<QueryRoute, BackendGroup, IndexVersionMap, Instance, RouteTable, DomainEvacuation>;

enum class Kind {
    QueryRoute,
    BackendGroup,
    IndexVersion,
    Instance,
    RouteTable,
    DomainEvacuation,
};

inline constexpr Kind allKinds[] = { Kind::QueryRoute, Kind::BackendGroup, Kind::IndexVersion, Kind::Instance,
    Kind::RouteTable, Kind::DomainEvacuation };

// The last value, by which decoders recognise kinds of later versions.
inline constexpr Kind lastKind = Kind::DomainEvacuation;

// The external name: "query-route", "backend-group", "index-version", "instance", "route-table" or
// "domain-evacuation".
const char* kindName(Kind);
// Returns false if no kind has the name.
bool parseKind(const std::string&, Kind&);

// Identifies a resource among all kinds. The name of an index version is "GROUP@VERSION".
struct ResourceKey {
    Kind kind { Kind::QueryRoute };
    std::string name;

    friend auto operator<=>(const ResourceKey&, const ResourceKey&) = default;
};

ResourceKey keyOf(const Resource&);
std::string indexVersionName(const Common::GroupName&, Common::IndexVersion);

} // namespace Model
