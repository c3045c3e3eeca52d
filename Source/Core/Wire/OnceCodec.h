#pragma once

#include "Common/Error.h"
#include "Once/Claims.h"

#include <string>
#include <string_view>

namespace Wire {

// Encodes the complete state of one log shard of claims. Malformed bytes give an error with step "decode" and
// Reason::Corrupt. ControlCodec.h encodes the commands.
std::string encodeSnapshot(const Once::Claims&);
Common::Result<Once::Claims> decodeClaims(std::string_view);

} // namespace Wire
