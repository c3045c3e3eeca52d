#pragma once

#include "Common/Ids.h"

#include <optional>

namespace Limits {

// What decides who goes first where capacity is scarce.
struct CallerClass {
    int priority { 0 }; // 0 is the most urgent.
    std::optional<Common::TenantName> tenant;
};

} // namespace Limits
