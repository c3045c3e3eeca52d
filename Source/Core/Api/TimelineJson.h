#pragma once

#include "Common/Ids.h"
#include "Observe/Timeline.h"

#include <string>
#include <vector>

namespace Api {

// {"events": [...], "silent": [...]}.
std::string encodeTimeline(const std::vector<Observe::TimelineEvent>&, const std::vector<Common::Address>& silent);

} // namespace Api
