#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Gather/Answer.h"
#include "Once/Answer.h"

#include <optional>
#include <string>

// The JSON that callers see.
namespace Api {

struct QueryBody {
    std::string text;
    std::optional<Common::Milliseconds> deadline;
};

// {"q": "...", "deadline_ms": n}. Errors: InvalidInput, naming the field.
Common::Result<QueryBody> decodeQuery(const std::string& body);

std::string encodeAnswer(const Gather::Answer&, const Common::RequestId&);

// What is said of whether a request ran, next to an error.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    RefusedByBackendServer,
};

// {"error": {"reason", "message", "ran", "retry_after_ms"}}.
std::string encodeError(const Common::Error&, ExecutionStatus, std::optional<Common::Milliseconds> retryAfter = {});
// The status of a request that got no answer.
int statusOf(Common::Reason);

// The body of an answer to a booking that is not the backend server's own.
std::string encodeBookingError(const Once::Answer&);

} // namespace Api
