#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Common/Units.h"

#include <string>
#include <variant>
#include <vector>

// The resources of the administration API as plain structs.
namespace Model {

// Whether a route's requests may be sent to more than one backend server.
enum class RouteKind {
    Lookup, // Scattered to all shards; may be retried and hedged.
    RunOnce, // A booking or pickup: dispatched at most once per request id.
};

// What callers name when they ask: "which backend group serves it, from which index version, how long it may take".
struct QueryRoute {
    Common::RouteName name;
    Common::GroupName group;
    RouteKind kind { RouteKind::Lookup };
    Common::IndexVersion version; // Lookup routes only.
    Common::Milliseconds deadline { 1000 };
    Common::Ratio minimumCoverage { 0 }; // Below it the caller gets a refusal in place of a partial answer.

    friend bool operator==(const QueryRoute&, const QueryRoute&) = default;
};

// Backend servers of one kind and what each of them bears.
struct BackendGroup {
    Common::GroupName name;
    Common::Slots slots { 2 }; // Requests that one server runs at a time.
    Common::Connections connectionLimit { 25 }; // Connections that one server accepts, over all our instances.
    Common::Milliseconds connectTime { 6 }; // How long a new connection usually takes.

    friend bool operator==(const BackendGroup&, const BackendGroup&) = default;
};

struct Shard {
    Common::ShardId id;
    Common::KeyRange range;

    friend bool operator==(const Shard&, const Shard&) = default;
};

// One version of a group's index with its shard map. The ranges cover the key space and do not overlap.
struct IndexVersionMap {
    Common::GroupName group;
    Common::IndexVersion version;
    std::vector<Shard> shards;

    friend bool operator==(const IndexVersionMap&, const IndexVersionMap&) = default;
};

// One of our own processes, as operators see and drain it.
struct Instance {
    Common::InstanceId id;
    Common::FailureDomain domain;
    Common::Address address;
    bool draining { false };

    friend bool operator==(const Instance&, const Instance&) = default;
};

// All routes and services of a front end, declared as one document. The front end that took it can read it; here only
// its number counts: the highest one is in force.
struct RouteTable {
    Common::TableNumber number;
    std::string document;

    friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

inline constexpr const char* routeTableName = "routes"; // There is one.

using Resource = std::variant<QueryRoute, BackendGroup, IndexVersionMap, Instance, RouteTable>;

enum class Kind {
    QueryRoute,
    BackendGroup,
    IndexVersion,
    Instance,
    RouteTable,
};

inline constexpr Kind allKinds[]
    = { Kind::QueryRoute, Kind::BackendGroup, Kind::IndexVersion, Kind::Instance, Kind::RouteTable };

// "query-route", "backend-group", "index-version", "instance", "route-table".
const char* kindName(Kind);
// Returns false if no kind has this name.
bool parseKind(const std::string&, Kind&);

// Names a resource over all kinds. An index version is named "GROUP@VERSION".
struct ResourceKey {
    Kind kind { Kind::QueryRoute };
    std::string name;

    friend auto operator<=>(const ResourceKey&, const ResourceKey&) = default;
};

ResourceKey keyOf(const Resource&);
std::string indexVersionName(const Common::GroupName&, Common::IndexVersion);

} // namespace Model
