#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <ostream>
#include <string>
#include <utility>

namespace Common {

// What went wrong, as a caller may act on it.
enum class Reason {
    InvalidInput, // The request itself is at fault; sending it again does not help.
    NotFound,
    Conflict, // Another change won, or an id was used with another body.
    Refused, // The other side said that it did not run the request.
    Overloaded, // No slot, connection or budget; nothing was sent.
    Unavailable, // Nobody to send to, or this instance takes no work now; nothing was sent.
    DeadlineExceeded,
    ConnectionFailed, // No byte of the request can have reached the other side.
    ConnectionLost, // Bytes were sent and no whole answer came: the outcome is unknown.
    Quarantined,
    StorageFailed,
    Corrupt, // Stored or received bytes do not make sense.
    Cancelled,
    Internal,
};

// The lower-case name with hyphens that answers, logs and metrics carry, "deadline-exceeded".
const char* reasonCode(Reason);

// An error with the step at which it arose ("append-log") and the peer involved ("" if none).
struct Error {
    Reason reason { Reason::Internal };
    std::string step;
    std::string peer;
    std::string message;
};

// "step (peer): message [reason-code]".
std::string describe(const Error&);
std::ostream& operator<<(std::ostream&, const Error&);

// A value or an Error. Asking for the wrong one ends the program.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto success() { return boost::outcome_v2::success(); }
// For a Result whose value may itself hold an Error.
template <typename T> auto success(T value) { return boost::outcome_v2::success(std::move(value)); }
inline auto failure(Error error) { return boost::outcome_v2::failure(std::move(error)); }
Error makeError(Reason, std::string step, std::string message, std::string peer = {});

} // namespace Common
