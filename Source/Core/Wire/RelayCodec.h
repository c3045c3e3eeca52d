#pragma once

#include "Common/Error.h"
#include "Relay/Engine.h"

#include <string>
#include <string_view>

namespace Wire {

std::string encode(const Relay::BundleRequest&);
Common::Result<Relay::BundleRequest> decodeBundleRequest(std::string_view);
// Merged and Refusal only: nothing else is answered to another instance.
std::string encode(const Relay::Answer&);
Common::Result<Relay::Answer> decodeAnswer(std::string_view);

} // namespace Wire
