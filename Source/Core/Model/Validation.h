#pragma once

#include "Common/Error.h"
#include "Model/Resources.h"

namespace Model {

inline constexpr size_t maximumNameLength = 128;
inline constexpr Common::Milliseconds maximumDeadline { 60'000 };
inline constexpr size_t maximumShards = 4096;
inline constexpr size_t maximumDocument = size_t { 8 } << 20; // Bytes; one replicated entry has to hold it.

// Checks a resource by itself, without the others. The error's message names the field, what was found, and what
// was expected; its step is "validate" and its reason InvalidInput.
Common::Result<void> validate(const Resource&);

// Checks a name of a resource or an id that others made up: 1 to maximumNameLength of [A-Za-z0-9._:-].
Common::Result<void> validateName(const std::string& field, const std::string& value);

} // namespace Model
