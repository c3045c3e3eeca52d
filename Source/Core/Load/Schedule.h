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
    Booking, // Not idempotent, so each carries a request id.
};

struct Options {
    std::vector<Common::Address> entries; // Used round robin.
    Common::RouteName route;
    Mode mode { Mode::Query };
    double ratePerSecond { 100 };
    Common::Milliseconds duration { 10'000 };
    uint64_t seed { 1 };
    std::vector<std::string> queries; // Texts of queries or bookings, drawn at random.
    std::optional<Common::Milliseconds> deadline; // Sent to the entry instance.
    Common::Milliseconds timeout { 5000 }; // Of each attempt.
    size_t maximumInFlight { 1000 };
    std::string requestIdPrefix { "load" };
    int maximumResends { 0 }; // Of each booking whose answer was lost; each resend uses the next entry instance.
};

// A scheduled request.
struct Arrival {
    Common::Milliseconds at; // Scheduled send time, since the start of the run.
    size_t query { 0 };
    size_t entry { 0 };
    Common::RequestId request;
};

// Returns Poisson arrivals for the duration. The same options give the same schedule. The schedule is empty if there
// are no entries or queries, or the rate is not positive.
std::vector<Arrival> schedule(const Options&);

} // namespace Load
