#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Gather/Answer.h"
#include "Once/Answer.h"

#include <optional>
#include <string>

// JSON of the requests and answers of callers.
namespace Api {

struct QueryBody {
    std::string text;
    std::optional<Common::Milliseconds> deadline;
};

// {"q": "...", "deadline_ms": n}. Errors: InvalidInput, naming the field.
Common::Result<QueryBody> decodeQuery(const std::string& body);

std::string encodeAnswer(const Gather::Answer&, const Common::RequestId&);

// Whether a failed request was executed, as reported with the error.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    RefusedByBackendServer,
};

// {"error": {"reason", "message", "ran", "retry_after_ms"}}.
std::string encodeError(const Common::Error&, ExecutionStatus, std::optional<Common::Milliseconds> retryAfter = {});
// Returns the HTTP status for a request that failed with this reason.
int statusOf(Common::Reason);

// Encodes the error body of a booking that no backend server answered.
std::string encodeBookingError(const Once::Answer&);

} // namespace Api
