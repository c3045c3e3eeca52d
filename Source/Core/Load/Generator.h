#pragma once

#include "Load/Report.h"
#include "Load/Schedule.h"
#include "Load/Transport.h"

namespace Load {

// Sends the scheduled requests, waits for the answers and returns the report. The load is open loop: each request is
// sent at its scheduled time, whether or not earlier ones have finished. A request is skipped if maximumInFlight
// requests are in flight. Blocks for the duration and until the last answers arrive or time out.
Report generate(const Options&, const Transport&);

} // namespace Load
