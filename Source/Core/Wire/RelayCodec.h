#pragma once

#include "Common/Error.h"
#include "Relay/Engine.h"

#include <string>
#include <string_view>
#include <variant>

namespace Wire {

// What instances ask of each other.
using RelayRequest = std::variant<Relay::BundleRequest, Relay::CancelBundle, Limits::RateClaim, Relay::TenantRateClaim>;
std::string encode(const Relay::BundleRequest&);
std::string encode(const Relay::CancelBundle&);
std::string encode(const Limits::RateClaim&);
std::string encode(const Relay::TenantRateClaim&);
Common::Result<RelayRequest> decodeRelayRequest(std::string_view);

std::string encode(const Limits::RateGrant&);
Common::Result<Limits::RateGrant> decodeRateGrant(std::string_view);

// Answers to another instance are Merged or Refusal; any other kind is encoded as an internal error.
std::string encode(const Relay::BundleAnswer&);
Common::Result<Relay::BundleAnswer> decodeBundleAnswer(std::string_view);

} // namespace Wire
