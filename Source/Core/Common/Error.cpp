#include "Common/Error.h"

#include <utility>

namespace Common {

const char* reasonCode(Reason reason)
{
    switch (reason) {
    case Reason::InvalidInput:
        return "invalid-input";
    case Reason::NotFound:
        return "not-found";
    case Reason::Conflict:
        return "conflict";
    case Reason::Refused:
        return "refused";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::Unavailable:
        return "unavailable";
    case Reason::DeadlineExceeded:
        return "deadline-exceeded";
    case Reason::ConnectionFailed:
        return "connection-failed";
    case Reason::ConnectionLost:
        return "connection-lost";
    case Reason::Quarantined:
        return "quarantined";
    case Reason::StorageFailed:
        return "storage-failed";
    case Reason::Corrupt:
        return "corrupt";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::Internal:
        return "internal";
    case Reason::Unauthenticated:
        return "unauthenticated";
    case Reason::QuotaExceeded:
        return "quota-exceeded";
    }
    return "internal";
}

std::string describe(const Error& error)
{
    std::string text = error.step;
    if (!error.peer.empty())
        text += " (" + error.peer + ")";
    return text + ": " + error.message + " [" + reasonCode(error.reason) + "]";
}

std::ostream& operator<<(std::ostream& out, const Error& error) { return out << describe(error); }

Error makeError(Reason reason, std::string step, std::string message, std::string peer)
{
    return Error { reason, std::move(step), std::move(peer), std::move(message) };
}

} // namespace Common
