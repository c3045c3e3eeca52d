#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Once/Commands.h"

#include <optional>
#include <string>
#include <variant>

// The answers that callers of a non-idempotent request can receive.
namespace Once {

inline constexpr Common::Milliseconds retryNotRunAfter { 500 };
inline constexpr Common::Milliseconds retryUnknownAfter { 1'000 };

// The request did not run. Resending it with the same id is safe.
struct NotRunRefusal {
    Common::Error error;
    Common::Milliseconds retryAfter { retryNotRunAfter };
};

// The request may have run. Resending it with the same id is safe and may return the outcome.
struct OutcomeUnknownRefusal {
    Common::Error error;
    std::optional<Common::Milliseconds> retryAfter; // Empty if the outcome can no longer become known.
};

// The id belongs to another request. The answer does not say whether that request ran.
struct IdReusedRefusal {
    Common::Error error;
};

using Answer = std::variant<Completed, RefusedByBackend, NotRunRefusal, OutcomeUnknownRefusal, IdReusedRefusal>;

// The HTTP status: that of the backend server for Completed and RefusedByBackend, else 503, 504 or 422.
int statusOf(const Answer&);
// "completed", "refused-by-backend", "not-run", "outcome-unknown", "id-reused".
const char* answerCode(const Answer&);
// The delay before a resend with the same id; empty if a resend can't help.
std::optional<Common::Milliseconds> retryAfterOf(const Answer&);
// Null for Completed and RefusedByBackend.
const Common::Error* errorOf(const Answer&);

} // namespace Once
