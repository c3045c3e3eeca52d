#pragma once

#include "Common/Error.h"
#include "Relay/Engine.h"

#include <string>
#include <string_view>

namespace Wire {

std::string encode(const Relay::BundleRequest&);
Common::Result<Relay::BundleRequest> decodeBundleRequest(std::string_view);
// Answers to another instance are Merged or Refusal; any other kind is encoded as an internal error.
std::string encode(const Relay::BundleAnswer&);
Common::Result<Relay::BundleAnswer> decodeBundleAnswer(std::string_view);

} // namespace Wire
