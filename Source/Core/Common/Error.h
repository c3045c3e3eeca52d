#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <ostream>
#include <string>
#include <utility>

namespace Common {

// The kind of an error, as far as a caller may act on it.
enum class Reason {
    InvalidInput, // The request itself is invalid; a retry does not help.
    NotFound,
    Conflict, // A concurrent change won, or an id was reused with another body.
    Refused, // The peer reported that it did not run the request.
    Overloaded, // No free slot, connection or budget; nothing was sent.
    Unavailable, // No target, or this instance accepts no work now; nothing was sent.
    DeadlineExceeded,
    ConnectionFailed, // No byte of the request can have reached the peer.
    ConnectionLost, // Bytes were sent, but no complete answer arrived: the outcome is unknown.
    Quarantined,
    StorageFailed,
    Corrupt, // Stored or received bytes can't be decoded.
    Cancelled,
    Internal,
    Unauthenticated, // The caller gave no valid key.
    QuotaExceeded, // The caller's tenant is over its quota; nothing was sent.
};

// The last value, by which decoders recognise reasons of later versions.
inline constexpr Reason lastReason = Reason::QuotaExceeded;

// The name used in answers, logs and metrics, such as "deadline-exceeded".
const char* reasonCode(Reason);

// An error with the step at which it occurred ("append-file") and the peer involved ("" if none).
struct Error {
    Reason reason { Reason::Internal };
    std::string step;
    std::string peer;
    std::string message;
};

// Formats an error as "step (peer): message [reason-code]".
std::string describe(const Error&);
std::ostream& operator<<(std::ostream&, const Error&);

// A value or an Error. Accessing the one that it does not hold terminates the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto success() { return boost::outcome_v2::success(); }
// For a Result whose value type can itself hold an Error.
template <typename T> auto success(T value) { return boost::outcome_v2::success(std::move(value)); }
inline auto failure(Error error) { return boost::outcome_v2::failure(std::move(error)); }
Error makeError(Reason, std::string step, std::string message, std::string peer = {});

} // namespace Common
