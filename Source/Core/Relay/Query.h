#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Relay/Call.h"
#include "Routes/Table.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

// State machine of one call from admission to answer: which groups are requested, when to retry or hedge, and when to
// answer. It does no I/O: events and times come in, effects come out. The caller serialises the events of one query.
namespace Relay {

// Sent to a caller whose call has not run. Another instance may have capacity at once.
inline constexpr Common::Milliseconds refusedRetryAfter { 50 };

enum class Purpose {
    First,
    Retry, // An earlier send failed.
    Hedge, // An earlier send is slow.
};

// Send to a server of the part's group that is not in `avoid` and call sent(), or call notSent().
struct Send {
    Common::AttemptId attempt;
    size_t part { 0 };
    Purpose purpose { Purpose::First };
    bool needsRetryBudget { false }; // Takes from the retry budget.
    std::vector<Common::BackendServerId> avoid;
};

// The attempt's answer is no longer needed.
struct Abandon {
    Common::AttemptId attempt;
};

// Call wake() at this time. Replaces the earlier timer of this query.
struct WakeAt {
    Common::TimePoint when;
};

// Answer the caller. Emitted once per query; only Abandon may follow it.
struct Finish {
    Answer answer;
};

// Deliver the bundle's answers so far. The query stays active until resume() or the resume deadline.
struct Deliver {
    Merged merged;
};

// Drop a bundle that was delivered and not resumed. No answer is sent.
struct Expire { };

using Effect = std::variant<Send, Abandon, WakeAt, Finish, Deliver, Expire>;
using Effects = std::vector<Effect>;

// What is known about an attempt that ended without an answer.
enum class SendFailure {
    NoConnection, // No byte was sent.
    NotRun, // The server reported that it did not run the request.
    Unknown, // The request may have run.
};

struct Attempt {
    Common::AttemptId id;
    Purpose purpose { Purpose::First };
    std::optional<Common::TimePoint> sentAt; // Empty until a server has been found.
    Common::BackendServerId server;
};

struct Part {
    enum class State {
        Open,
        Answered,
        Failed,
    };

    Common::GroupName group;
    State state { State::Open };
    std::vector<Attempt> attempts; // In progress.
    std::vector<Common::BackendServerId> usedServers;
    int sends { 0 };
    int mayHaveArrived { 0 }; // Sends that may have reached a server.
    int mayHaveRun { 0 };
    bool hedged { false };
    std::optional<Common::TimePoint> hedgeAt; // When to hedge the send in progress.
    std::optional<SubAnswer> answer;
    bool isDelivered { false };
    std::optional<Purpose> held; // A send that waits for the outcome of the query's trial.
};

struct Times {
    Common::TimePoint arrived;
    Common::TimePoint objective; // An answer sent by this time is in time.
    Common::TimePoint deadline; // The caller's or the route's time limit.
};

// Whether a call should have ended a while ago.
bool isOverdue(const Times&, Common::TimePoint now);

struct Query {
    Routes::TablePtr table; // Keeps `route` alive.
    const Routes::Route* route { nullptr };
    Times times;
    size_t needed { 1 }; // Answered parts required for success; after resume(), counted over those not yet delivered.
    bool isBundle { false };
    bool isDelivered { false };
    bool isResumed { false };
    std::vector<Part> parts;
    size_t openParts { 0 };
    size_t answeredParts { 0 };
    uint64_t nextAttempt { 1 };
    bool finished { false };
    Common::Error lastError;
    Common::Milliseconds retryAfter { refusedRetryAfter }; // For a refusal.
    Common::TimePoint wakeAt;
    std::optional<Common::TimePoint> stopAt; // When this instance stops. The query ends by then.
    // A call under which servers were lost may crash each server that runs it. So one send goes first: if it is
    // answered, the held ones follow; if its server is lost too, nothing more is sent.
    std::optional<Common::AttemptId> trial;
    size_t heldParts { 0 };
    bool isHarmless { false }; // The trial was answered.
    bool hasCrashed { false }; // The trial's server was lost.
};

// Creates a query with one part per group: groups of the route's fan-out, or the one group chosen by weight. Success
// requires `needed` answered parts. A bundle is a subset of a call's groups: it is delivered at the latency objective
// with the answers so far, and stays active for a while in case the call as a whole lacks too many groups.
Query makeQuery(Routes::TablePtr, const Routes::Route&, const std::vector<Common::GroupName>&, size_t needed,
    bool isBundle, const Times&);
// The number of groups that a fan-out's answer requires.
size_t neededGroups(const Routes::FanOut&, size_t groups);
// The number of groups that may be missing.
size_t allowedMissing(const Routes::FanOut&, size_t groups);

struct StartOptions {
    // Another instance has sent, or may have sent, to these groups for the same call, so each may have run once. A
    // group without another attempt is not sent.
    bool mayHaveBeenSent { false };
    bool isSuspect { false }; // The first part is sent as a trial.
};

Effects start(Query&, Common::TimePoint now, const StartOptions& = {});
// After Deliver: finishes as soon as this many further parts have answered.
Effects resume(Query&, size_t needed, Common::TimePoint now);
// A server with a free connection was found. Returns false if the attempt is no longer wanted and must not be sent.
bool sent(Query&, Common::AttemptId, const Common::BackendServerId&, Common::TimePoint now,
    std::optional<Common::Milliseconds> hedgeDelay);
// No server is available, or the retry budget is exhausted. retryAfter: when a server takes requests again, if known.
Effects notSent(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now,
    std::optional<Common::Milliseconds> retryAfter = {});
Effects answered(Query&, Common::AttemptId, SubAnswer, Common::TimePoint now);
Effects sendFailed(Query&, Common::AttemptId, SendFailure, const Common::Error&, Common::TimePoint now);
Effects wake(Query&, Common::TimePoint now);
Effects callerGone(Query&, Common::TimePoint now);
// Ends the query by this time with what has been answered by then, because the instance stops.
Effects stopBy(Query&, Common::TimePoint stopAt, Common::TimePoint now);
// The purpose of an attempt in progress; empty if it has ended.
std::optional<Purpose> purposeOf(const Query&, Common::AttemptId);

} // namespace Relay
