#pragma once

#include "Common/Error.h"
#include "Model/Resources.h"

namespace Model {

inline constexpr size_t maximumNameLength = 128;
inline constexpr Common::Milliseconds maximumDeadline { 60'000 };
inline constexpr size_t maximumShards = 4096;
inline constexpr size_t maximumDocumentBytes = size_t { 8 } << 20; // A document must fit into one replicated log entry.

// Checks a single resource, without its references to others. The error has the step "validate" and the reason
// InvalidInput; its message names the field, the value found and the value expected.
Common::Result<void> validate(const Resource&);

// Checks the name of a resource or an id chosen by a caller: 1 to maximumNameLength characters of [A-Za-z0-9._:-].
Common::Result<void> validateName(const std::string& field, const std::string& value);

} // namespace Model
