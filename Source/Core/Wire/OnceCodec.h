#pragma once

#include "Common/Error.h"
#include "Once/Claims.h"

#include <string>
#include <string_view>

namespace Wire {

// The whole state of one log shard of claims. Bad bytes give an error with step "decode" and reason Corrupt. The
// commands themselves are encoded in ControlCodec.h.
std::string encodeSnapshot(const Once::Claims&);
Common::Result<Once::Claims> decodeClaims(std::string_view);

} // namespace Wire
