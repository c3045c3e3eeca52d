#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Once/Commands.h"

#include <optional>
#include <string>
#include <variant>

// What a caller is told about a request that may not be repeated.
namespace Once {

inline constexpr Common::Milliseconds retryNotRunAfter { 500 };
inline constexpr Common::Milliseconds retryUnknownAfter { 1'000 };

// The request did not run. Sending it again with the same id is safe.
struct NotRunRefusal {
    Common::Error error;
    Common::Milliseconds retryAfter { retryNotRunAfter };
};

// The request may have run. Sending it again with the same id is safe, and may bring the outcome.
struct OutcomeUnknownRefusal {
    Common::Error error;
    std::optional<Common::Milliseconds> retryAfter; // Nothing if it can't become known any more.
};

// The id belongs to another request. Whether that one ran is not said.
struct IdReusedRefusal {
    Common::Error error;
};

using Answer = std::variant<Completed, RefusedByBackend, NotRunRefusal, OutcomeUnknownRefusal, IdReusedRefusal>;

// The HTTP status: the backend server's own for Completed and RefusedByBackend, else 503, 504 or 422.
int statusOf(const Answer&);
// "completed", "refused-by-backend", "not-run", "outcome-unknown", "id-reused".
const char* answerCode(const Answer&);
// When to send again with the same id, if that helps.
std::optional<Common::Milliseconds> retryAfterOf(const Answer&);
// Nothing for Completed and RefusedByBackend.
const Common::Error* errorOf(const Answer&);

} // namespace Once
