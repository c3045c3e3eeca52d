#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <cstdint>
#include <string>
#include <variant>

// Requests that may not be repeated: claims in the replicated log, and what each of them came to.
namespace Once {

// Wall-clock milliseconds since 1970 as the leader wrote them into the log: the same on each replica.
using LogTime = Common::Quantity<struct LogTimeTag, uint64_t>;

// One try of one process to run a request. The attempt number is unique within the owner's incarnation.
struct AttemptRef {
    Common::InstanceId owner;
    Common::Incarnation incarnation;
    Common::AttemptId attempt;

    friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
};

// Command: asks for the right to dispatch the request once. Sending the same claim again is harmless.
struct Claim {
    Common::RequestId id;
    Common::RouteName route;
    Common::Fingerprint body;
    AttemptRef by;

    friend bool operator==(const Claim&, const Claim&) = default;
};

// The backend server's whole answer to a request that ran, or may have.
struct Completed {
    int status { 200 };
    std::string contentType;
    std::string body;
    bool bodyDropped { false }; // The body was longer than Settings::maximumBodyBytes and was not kept.

    friend bool operator==(const Completed&, const Completed&) = default;
};

// The backend server answered 400: it declined the request for good, and by its protocol nothing ran. The caller is
// given the answer as it is.
struct RefusedByBackend {
    int status { 400 };
    std::string contentType;
    std::string body;
    bool bodyDropped { false };

    friend bool operator==(const RefusedByBackend&, const RefusedByBackend&) = default;
};

// Proved not to have run: releases the claim, so that a resend may claim anew.
struct NotRun {
    friend bool operator==(const NotRun&, const NotRun&) = default;
};

// It may have run. Holds the claim, so that nothing runs it again.
struct Unknown {
    friend bool operator==(const Unknown&, const Unknown&) = default;
};

using OutcomeKind = std::variant<Completed, RefusedByBackend, NotRun, Unknown>;

// Command: what the attempt came to. Only the attempt that holds the claim is heard.
struct Outcome {
    Common::RequestId id;
    Common::RouteName route;
    AttemptRef by;
    OutcomeKind kind;

    friend bool operator==(const Outcome&, const Outcome&) = default;
};

// Command: the owner's lease ran out or it started anew. Its claims up to this incarnation that still run become
// Unknown, and later claims of such an incarnation are refused.
struct Orphan {
    Common::InstanceId owner;
    Common::Incarnation incarnation;

    friend bool operator==(const Orphan&, const Orphan&) = default;
};

// Command: the leader's time. Moves log time on (never back) and drops what is older than the retention.
struct Expire {
    LogTime now;

    friend bool operator==(const Expire&, const Expire&) = default;
};

// Answers to a Claim.

// The claimer may dispatch once. The same attempt may be told so again when its answer was lost.
struct Granted {
    friend bool operator==(const Granted&, const Granted&) = default;
};

// Another attempt holds the claim; ask again later.
struct Running {
    AttemptRef by;

    friend bool operator==(const Running&, const Running&) = default;
};

// The recorded answer, to be replayed whole.
struct Done {
    std::variant<Completed, RefusedByBackend> outcome;

    friend bool operator==(const Done&, const Done&) = default;
};

// Another attempt may or may not have run; it may still become Done. The claiming attempt ends by this answer.
struct HeldUnknown {
    AttemptRef by;

    friend bool operator==(const HeldUnknown&, const HeldUnknown&) = default;
};

enum class ClaimRefusal {
    OtherBody, // The id was used with another body or route.
    Orphaned, // The claimer's incarnation has ended: it must take a higher one.
    Superseded, // This attempt gave up already; a new attempt may claim.
    Expired, // The id is older than the retention: whether it ran is no longer known.
    Full, // No room for another claim; this one was not recorded.
};

struct Refused {
    ClaimRefusal why { ClaimRefusal::Full };

    friend bool operator==(const Refused&, const Refused&) = default;
};

using ClaimOutcome = std::variant<Granted, Running, Done, HeldUnknown, Refused>;

// Answer to an Outcome.
enum class RecordResult {
    Recorded,
    AlreadyRecorded, // The same outcome of the same attempt stands.
    Stale, // Another attempt or another outcome stands, or the id is older than the retention. Nothing changed.
};

// "other-body", "orphaned", "superseded", "expired", "full".
const char* refusalCode(ClaimRefusal);

} // namespace Once
