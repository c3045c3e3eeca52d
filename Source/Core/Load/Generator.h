#pragma once

#include "Load/Report.h"
#include "Load/Schedule.h"
#include "Load/Transport.h"

namespace Load {

// Sends the schedule, waits for the answers, and reports. Open loop: a request is sent when it is due, whatever the
// earlier ones do, unless too many are in flight. Blocks for the duration, and some time for the last answers.
Report generate(const Options&, const Transport&);

} // namespace Load
