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

// One call from admission to its answer: which groups are asked, when one is asked again, when the answer goes out.
// Pure decisions: events and times come in, effects come out. The caller serialises the events of one query.
namespace Relay {

// What a caller is told whose call has not run: another instance may have room at once.
inline constexpr Common::Milliseconds refusedRetryAfter { 50 };

enum class Purpose {
    First,
    Retry, // An earlier send failed.
    Hedge, // An earlier send is late.
};

// Find a server of the part's group that is not avoided, and call sent(); or call notSent().
struct Send {
    Common::AttemptId attempt;
    size_t part { 0 };
    Purpose purpose { Purpose::First };
    bool isRepeat { false }; // Needs the budget for repeats.
    std::vector<Common::BackendServerId> avoid;
};

// The answer is no longer needed.
struct Abandon {
    Common::AttemptId attempt;
};

// Call wake() then. It replaces the earlier one of this query.
struct WakeAt {
    Common::TimePoint when;
};

// Answer the caller. Once for each query; nothing comes after it but Abandon.
struct Finish {
    Answer answer;
};

// Hand over what a bundle has so far. The query goes on until resume() or the time for that is over.
struct Deliver {
    Merged merged;
};

// Ends a bundle that was delivered and not resumed: there is nobody to answer.
struct Forget { };

using Effect = std::variant<Send, Abandon, WakeAt, Finish, Deliver, Forget>;
using Effects = std::vector<Effect>;

// How the end of an attempt without an answer is to be taken.
enum class Loss {
    NoConnection, // No byte left.
    NotRun, // The server said so.
    Unknown, // It may have run.
};

struct Attempt {
    Common::AttemptId id;
    Purpose purpose { Purpose::First };
    std::optional<Common::TimePoint> sentAt; // Nothing while no server was found.
    Common::BackendServerId server;
};

struct Part {
    enum class State {
        Open,
        In,
        Lost,
    };

    Common::GroupName group;
    State state { State::Open };
    std::vector<Attempt> attempts; // Live ones.
    std::vector<Common::BackendServerId> used;
    int asked { 0 };
    int arrived { 0 }; // Sends that may have reached a server.
    int mayHaveRun { 0 };
    bool hedged { false };
    std::optional<Common::TimePoint> hedgeAt; // Looked at when a send is live.
    std::optional<SubAnswer> answer;
    bool isDelivered { false };
};

struct Times {
    Common::TimePoint arrived;
    Common::TimePoint aim; // An answer that leaves by then is in time.
    Common::TimePoint end; // The caller, or its route, waits no longer.
};

struct Query {
    Routes::TablePtr table; // Keeps the route.
    const Routes::Route* route { nullptr };
    Times times;
    size_t needed { 1 }; // Parts without which there is no success; after resume(), of those not delivered.
    bool isBundle { false };
    bool isDelivered { false };
    bool isResumed { false };
    std::vector<Part> parts;
    size_t open { 0 };
    size_t in { 0 };
    uint64_t nextAttempt { 1 };
    bool finished { false };
    Common::Error lastError;
    Common::TimePoint wakeAt;
};

// The parts are the groups: some of the route's fan, or the one that was chosen among its portions. `needed` of them
// make a success. A bundle is a part of a call: it is delivered at the aim with whatever is in, and goes on for a while
// in case that the whole call lacks too much.
Query makeQuery(Routes::TablePtr, const Routes::Route&, const std::vector<Common::GroupName>&, size_t needed,
    bool isBundle, const Times&);
// Of so many groups, those that a fan's answer needs at least.
size_t neededGroups(const Routes::FanOut&, size_t groups);
// And those that may be left out.
size_t mayMiss(const Routes::FanOut&, size_t groups);

// areRepeats: another instance has, or may have, sent to these groups for the same call, and they may have run once.
Effects start(Query&, Common::TimePoint now, bool areRepeats = false);
// After Deliver: finishes with so many further parts, as soon as they are in.
Effects resume(Query&, size_t needed, Common::TimePoint now);
// A server was found and has a free connection. False if the attempt is no longer wanted: then do not send.
bool sent(Query&, Common::AttemptId, const Common::BackendServerId&, Common::TimePoint now,
    std::optional<Common::Milliseconds> hedgeDelay);
// No server can be asked, or no budget is left for a repeat.
Effects notSent(Query&, Common::AttemptId, const Common::Error&, Common::TimePoint now);
Effects answered(Query&, Common::AttemptId, SubAnswer, Common::TimePoint now);
Effects lost(Query&, Common::AttemptId, Loss, const Common::Error&, Common::TimePoint now);
Effects wake(Query&, Common::TimePoint now);
Effects callerGone(Query&, Common::TimePoint now);

} // namespace Relay
