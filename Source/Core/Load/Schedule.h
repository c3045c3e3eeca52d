#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Load {

enum class Mode {
    Query,
    Booking, // May not be repeated: carries a request id.
};

struct Options {
    std::vector<Common::Address> entries; // Taken in turns.
    Common::RouteName route;
    Mode mode { Mode::Query };
    double ratePerSecond { 100 };
    Common::Milliseconds duration { 10'000 };
    uint64_t seed { 1 };
    std::vector<std::string> queries; // Drawn at random; also what is booked.
    std::optional<Common::Milliseconds> deadline; // Told to the entry instance.
    Common::Milliseconds timeout { 5000 }; // Of one attempt.
    size_t maximumInFlight { 1000 };
    std::string requestIdPrefix { "load" };
    int maximumResends { 0 }; // Of one booking, through other entries, after its answer was lost.
};

// One request of the schedule.
struct Arrival {
    Common::Milliseconds at; // Since the start of the run: when it is meant to be sent.
    size_t query { 0 };
    size_t entry { 0 };
    Common::RequestId request;
};

// Poisson arrivals for the duration. The same options give the same schedule. Empty if there is no entry, query or
// rate.
std::vector<Arrival> schedule(const Options&);

} // namespace Load
