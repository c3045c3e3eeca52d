#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <cstdint>
#include <string>
#include <variant>

// At-most-once execution of non-idempotent requests: claims in the replicated log and their outcomes.
namespace Once {

// Wall-clock milliseconds since 1970, as the leader wrote them into the log. The same on every replica.
using LogTime = Common::Quantity<struct LogTimeTag, uint64_t>;

// One attempt of one process to run a request. The attempt number is unique within the owner's incarnation.
struct AttemptRef {
    Common::InstanceId owner;
    Common::Incarnation incarnation;
    Common::AttemptId attempt;

    friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
};

// Command: requests the right to dispatch the request once. Sending the same claim again is idempotent.
struct Claim {
    Common::RequestId id;
    Common::RouteName route;
    Common::Fingerprint body;
    AttemptRef by;

    friend bool operator==(const Claim&, const Claim&) = default;
};

// The complete response of the backend server to a request that ran or may have run.
struct Completed {
    int status { 200 };
    std::string contentType;
    std::string body;
    bool bodyDropped { false }; // The body was longer than Settings::maximumBodyBytes and was not stored.

    friend bool operator==(const Completed&, const Completed&) = default;
};

// The backend server answered 400: it rejected the request permanently and, by its protocol, ran nothing. The caller
// receives the response unchanged.
struct RefusedByBackend {
    int status { 400 };
    std::string contentType;
    std::string body;
    bool bodyDropped { false };

    friend bool operator==(const RefusedByBackend&, const RefusedByBackend&) = default;
};

// The request provably did not run. Releases the claim, so that a resend may claim the id again.
struct NotRun {
    friend bool operator==(const NotRun&, const NotRun&) = default;
};

// The request may have run. Keeps the claim held, so that the request is not run again.
struct Unknown {
    friend bool operator==(const Unknown&, const Unknown&) = default;
};

using OutcomeKind = std::variant<Completed, RefusedByBackend, NotRun, Unknown>;

// Command: the outcome of the attempt. It settles the claim only if that attempt holds it.
struct Outcome {
    Common::RequestId id;
    Common::RouteName route;
    AttemptRef by;
    OutcomeKind kind;

    friend bool operator==(const Outcome&, const Outcome&) = default;
};

// Command: the owner's lease expired or the owner restarted. Its running claims up to this incarnation become Unknown,
// and later claims of these incarnations are refused.
struct Orphan {
    Common::InstanceId owner;
    Common::Incarnation incarnation;

    friend bool operator==(const Orphan&, const Orphan&) = default;
};

// Command: the leader's time. Advances the log time, which never goes back, and drops records older than the retention.
struct Expire {
    LogTime now;

    friend bool operator==(const Expire&, const Expire&) = default;
};

// Replies to a Claim.

// The claiming attempt may dispatch once. It may receive this reply again if the first one was lost.
struct Granted {
    friend bool operator==(const Granted&, const Granted&) = default;
};

// Another attempt holds the claim; resend the claim later.
struct Running {
    AttemptRef by;

    friend bool operator==(const Running&, const Running&) = default;
};

// The recorded response, which is replayed unchanged.
struct Done {
    std::variant<Completed, RefusedByBackend> outcome;

    friend bool operator==(const Done&, const Done&) = default;
};

// Another attempt may have run. The claim may still become Done. This reply ends the claiming attempt.
struct HeldUnknown {
    AttemptRef by;

    friend bool operator==(const HeldUnknown&, const HeldUnknown&) = default;
};

enum class ClaimRefusal {
    OtherBody, // The id was used with another body or route.
    Orphaned, // The incarnation of the claiming owner has ended; the owner needs a higher one.
    Superseded, // This attempt was already abandoned; a new attempt may claim.
    Expired, // The id is older than the retention; whether the request ran is no longer known.
    Full, // A limit of Settings is reached; the claim was not recorded.
};

struct Refused {
    ClaimRefusal why { ClaimRefusal::Full };

    friend bool operator==(const Refused&, const Refused&) = default;
};

using ClaimOutcome = std::variant<Granted, Running, Done, HeldUnknown, Refused>;

// Reply to an Outcome.
enum class RecordResult {
    Recorded,
    AlreadyRecorded, // The same outcome of the same attempt is already recorded.
    Stale, // Another attempt holds the claim, another outcome is recorded, or the id is older than the retention.
};

// "other-body", "orphaned", "superseded", "expired", "full".
const char* refusalCode(ClaimRefusal);

} // namespace Once
