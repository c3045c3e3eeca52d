#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Routes/Tenants.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The decoded route configuration: all routes and backend groups of one version. It is immutable after index(), so a
// request keeps the table under which it was admitted.
namespace Routes {

enum class Idempotency {
    Idempotent, // A request may run more than once.
    AtMostOnce, // A request runs at most once.
};

// A backend group that receives a share of a route's requests.
struct WeightedGroup {
    Common::GroupName group;
    double weight { 1 };
};

// Scatter/gather: a request is sent to one server of each group, and the answers are merged.
struct FanOut {
    std::vector<Common::GroupName> groups;
    size_t topRecords { 0 }; // The merged answer holds this many of the greatest records.
    Common::Ratio minimumCoverage { 0 }; // The smallest share of groups that a successful answer covers.
};

struct Route {
    Common::RouteName name;
    std::string host;
    std::string prefix; // Begins and ends with a slash.
    Idempotency idempotency { Idempotency::AtMostOnce };
    Common::Milliseconds timeout; // The caller gets an answer or an error within this time.
    Common::Milliseconds latencyObjective; // Target for the total latency. Late answers count less.
    int maximumAttempts { 1 }; // Servers on which one request may run, per group.
    int priority { 0 }; // 0 is the most urgent. A tenant's priority takes precedence.
    bool allowsAnonymous { false }; // Without a key, if the table has tenants.
    std::vector<WeightedGroup> weightedGroups; // Empty if fanOut is set.
    std::optional<FanOut> fanOut;
};

struct Group {
    Common::GroupName name;
    Common::Connections connectionLimit { 1 }; // Per server, over all instances.
    Common::Milliseconds warmup; // How long a cold phase of a server usually lasts.
    Common::RequestRate warmupRate; // That a cold server takes from all instances together; 0: no limit.
};

struct CallerLimits {
    Common::Bytes head { 16 << 10 };
    Common::Bytes body { 256 << 10 };
    Common::Milliseconds headTimeout { 3'000 };
    Common::Milliseconds idleTimeout { 15'000 };
};

struct Table {
    Common::TableNumber number;
    std::vector<Route> routes;
    std::vector<Group> groups;
    CallerLimits limits;
    std::optional<std::vector<Tenant>> tenants; // If set, even if empty, requests need the key of a tenant.

    // Filled by index(). Route indexes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<size_t>> byHost;
    std::unordered_map<Common::GroupName, size_t> groupAt;
    std::unordered_map<Common::TenantName, size_t> tenantAt;
    std::unordered_map<KeyDigest, size_t> tenantOfKey;
};

using TablePtr = std::shared_ptr<const Table>;

// Returns InvalidInput with the first invalid field. A table that passes can be served.
Common::Result<void> validate(const Table&);

// Fills the members that are derived from the others.
void index(Table&);

// The route of this host with the longest matching prefix, or nullptr.
const Route* match(const Table&, const std::string& host, const std::string& path);

const Group* findGroup(const Table&, const Common::GroupName&);

// The group for the n-th request of a route on this instance. The weights are met closely over few requests.
const WeightedGroup& chooseGroup(const Route&, uint64_t n);

} // namespace Routes
