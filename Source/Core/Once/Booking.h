#pragma once

#include "Common/Clock.h"
#include "Once/Answer.h"
#include "Once/Commands.h"

#include <optional>
#include <string>
#include <variant>

// One request that may not be repeated, on the entry instance that took it: claim, dispatch, record, answer.
namespace Once {

inline constexpr Common::Milliseconds claimRetryInterval { 50 };
inline constexpr Common::Milliseconds joinPollInterval { 100 };
inline constexpr Common::Milliseconds recordRetryInterval { 200 };
inline constexpr int maximumDispatches = 3;

enum class Stage {
    Claiming, // Our claim is under way or about to be.
    Joined, // Another attempt holds the claim; we ask again from time to time.
    Dispatching,
    Recording,
    Finished,
};

struct Booking {
    Claim claim;
    Common::TimePoint deadline; // Of the caller: an answer is given by then.
    Stage stage { Stage::Claiming };
    bool mayBeResend { true }; // False only if the caller said that it never sent this id before.
    bool granted { false };
    bool claimInDoubt { false }; // A claim was sent and its answer was lost.
    bool mayHaveRun { false }; // A dispatch is out, or one ended without proof that it did not run.
    bool answered { false };
    int dispatches { 0 };
    std::optional<Outcome> outcome; // While Recording.
    std::optional<Common::Error> cause; // Why the request was not run or its outcome is unknown.
};

// What happened. Each comes with the time and with whether this instance's lease holds (Control::mayTakeWork).
struct ClaimAnswered {
    ClaimOutcome outcome;
};
struct ClaimFailed {
    Common::Error error; // No answer came from control; the claim may have been recorded.
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

// What to do next. After it is done its event is due.
struct Idle { };
struct SendClaim {
    Common::Milliseconds delay { 0 };
};
struct Dispatch { };
struct SendRecord {
    Common::Milliseconds delay { 0 };
};

using Action = std::variant<Idle, SendClaim, Dispatch, SendRecord>;

// The answer, if it is due now, goes to the caller before the action is taken. Each booking answers exactly once.
struct StepResult {
    Action action;
    std::optional<Answer> answer;
};

// The first step. Without a lease nothing is claimed: a first send is refused as not run; of a resend that would be a
// guess, since an earlier send may have run through another instance, so its outcome is unknown.
StepResult start(Booking&, bool mayTakeWork);
// Takes one event. Late and repeated events are harmless. The booking may be dropped once it is Finished: until then a
// record may still be under way after the answer was given.
StepResult step(Booking&, const Event&, Common::TimePoint now, bool mayTakeWork);

// What a backend server's whole answer means. Its protocol promises for 400 alone that nothing ran; any other status is
// its answer to a request that may have run, and is replayed as such.
DispatchAnswered classifyResponse(int status, std::string contentType, std::string body);

// Whether the error of a dispatch proves that no backend server ran the request.
bool provesNotRun(Common::Reason);

} // namespace Once
