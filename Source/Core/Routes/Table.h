#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// One declaration of all routes and backend groups, decoded. It does not change once it was indexed, so requests share
// the one that they were admitted under.
namespace Routes {

enum class Idempotency {
    Idempotent, // A request may run more than once.
    AtMostOnce, // A request runs at most once.
};

// A share of a route's requests that goes to one backend group.
struct WeightedGroup {
    Common::GroupName group;
    double weight { 1 };
};

// A request goes to one server of each group; the answers are merged.
struct FanOut {
    std::vector<Common::GroupName> groups;
    size_t topRecords { 0 }; // The answer holds that many, the greatest ones.
    Common::Ratio minimumCoverage { 0 }; // Of the groups that must be in the answer.
};

struct Route {
    Common::RouteName name;
    std::string host;
    std::string prefix; // Begins and ends with a slash.
    Idempotency idempotency { Idempotency::AtMostOnce };
    Common::Milliseconds timeout; // The longest that a caller is kept waiting.
    Common::Milliseconds latencyObjective; // Answers that come later are worth less.
    int maximumAttempts { 1 }; // Servers on which one request may run, for each group.
    int priority { 0 }; // 0 is the most urgent.
    std::vector<WeightedGroup> weightedGroups; // Empty if there is a fan.
    std::optional<FanOut> fanOut;
};

struct Group {
    Common::GroupName name;
    Common::Connections connectionLimit { 1 }; // Of one server, over all callers.
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

    // Derived by index(): the routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<size_t>> byHost;
    std::unordered_map<Common::GroupName, size_t> groupAt;
};

using TablePtr = std::shared_ptr<const Table>;

// Names the first field that is wrong; InvalidInput. What it accepts can be served.
Common::Result<void> validate(const Table&);

// Fills the derived members.
void index(Table&);

// The route of this host with the longest prefix that begins the path; nullptr if there is none.
const Route* match(const Table&, const std::string& host, const std::string& path);

const Group* findGroup(const Table&, const Common::GroupName&);

// The portion for the n-th request of a route on this instance: shares are met closely over few requests.
const WeightedGroup& chooseGroup(const Route&, uint64_t n);

} // namespace Routes
