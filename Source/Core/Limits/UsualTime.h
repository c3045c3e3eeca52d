#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Limits {

// The time that one server usually takes, by route: routes differ in their work by a factor of four, which must not
// look like a slow server. Plain data: the caller keeps it under a lock.
struct UsualTimes {
    struct Entry {
        Common::RouteName route;
        Common::Milliseconds recent; // Moving average over few answers, so that it follows the load of the group.
        Common::Milliseconds longTerm; // Over many: a slow period of some seconds hardly changes it.
        size_t answers { 0 };
    };

    std::vector<Entry> entries; // Of the routes that were used last, a bounded number.
};

void recordAnswer(UsualTimes&, const Common::RouteName&, Common::Milliseconds took);
// Empty before a few answers.
std::optional<Common::Milliseconds> recentTime(const UsualTimes&, const Common::RouteName&);
std::optional<Common::Milliseconds> longTermTime(const UsualTimes&, const Common::RouteName&);

// The lower median of the times of the group's other servers; empty if there are none.
std::optional<Common::Milliseconds> medianTime(std::vector<Common::Milliseconds>);

} // namespace Limits
