#pragma once

#include "Common/Clock.h"
#include "Once/Answer.h"
#include "Once/Commands.h"

#include <optional>
#include <string>
#include <variant>

// State machine of one non-idempotent request on the entry instance that received it. It claims the request id in the
// replicated log, dispatches the request to a backend server at most once, records the outcome and answers the caller.
namespace Once {

inline constexpr Common::Milliseconds claimRetryInterval { 50 };
inline constexpr Common::Milliseconds joinPollInterval { 100 };
inline constexpr Common::Milliseconds recordRetryInterval { 200 };
inline constexpr int maximumDispatches = 3;

enum class Stage {
    Claiming, // The claim is being sent to the log.
    Joined, // Another attempt holds the claim; the claim is resent every joinPollInterval.
    Dispatching,
    Recording,
    Finished,
};

struct Booking {
    Claim claim;
    Common::TimePoint deadline; // Of the caller, who is answered by then.
    Stage stage { Stage::Claiming };
    bool mayBeResend { true }; // False only if the caller declared that it never sent this id before.
    bool granted { false };
    bool claimInDoubt { false }; // A claim was sent but its reply was lost.
    bool mayHaveRun { false }; // A dispatch is in flight, or one ended without proof that the request did not run.
    bool answered { false };
    int dispatches { 0 };
    std::optional<Outcome> outcome; // While Recording.
    std::optional<Common::Error> cause; // Why the request was not run or its outcome is unknown.
};

// Events of a booking. step() also receives the time and whether this instance holds a valid lease.
struct ClaimAnswered {
    ClaimOutcome outcome;
};
struct ClaimFailed {
    Common::Error error; // Control did not reply; the claim may have been recorded.
};
struct DispatchAnswered {
    std::variant<Completed, RefusedByBackend> outcome;
};
struct DispatchFailed {
    Common::Error error;
};
struct RecordAnswered {
    RecordResult result;
};
struct RecordFailed {
    Common::Error error;
};
struct DeadlinePassed { };

using Event = std::variant<ClaimAnswered, ClaimFailed, DispatchAnswered, DispatchFailed, RecordAnswered, RecordFailed,
    DeadlinePassed>;

// What the caller of step() does next. It reports the result as the matching event.
struct Idle { };
struct SendClaim {
    Common::Milliseconds delay { 0 };
};
struct Dispatch { };
struct SendRecord {
    Common::Milliseconds delay { 0 };
};

using Action = std::variant<Idle, SendClaim, Dispatch, SendRecord>;

// The answer, if set, goes to the caller before the action is taken. Each booking answers exactly once.
struct StepResult {
    Action action;
    std::optional<Answer> answer;
};

// Starts the booking. Without a valid lease nothing is claimed. A first send is then refused as not run. A resend is
// answered as outcome unknown, since an earlier send may have run through another instance.
StepResult start(Booking&, bool hasLease);
// Handles one event. Late and duplicate events are ignored. The booking must be kept until it is Finished, because the
// outcome may still have to be recorded after the caller was answered.
StepResult step(Booking&, const Event&, Common::TimePoint now, bool hasLease);

// Classifies a complete response of a backend server. Only status 400 guarantees that the request did not run. Any
// other status is recorded as the outcome of a request that may have run, and is replayed to resends.
DispatchAnswered classifyResponse(int status, std::string contentType, std::string body);

// Whether a dispatch error proves that no backend server ran the request.
bool provesNotRun(Common::Reason);

} // namespace Once
