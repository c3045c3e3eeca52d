#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Limits/ServerNotice.h"
#include "Limits/SharedRate.h"

#include <cstddef>
#include <optional>

// Keeps the requests to a server within the rate that it names for all instances together, as a shared rate. An
// instance that does not know the others sends less.
//
// Answers the load of servers that name less than they get. What holds when instances disagree on the keeper: a keeper
// gives out nine tenths of the rate, so two of them, for as long as 2.5 s of any 4 s, stay within one and a half times
// the rate. Instances that reach no keeper send a quarter of the rate together.
namespace Limits {

// What one instance knows of the rate that a server names. Plain data: the caller keeps it under a lock.
struct NamedRate {
    Common::Incarnation incarnation; // Of the server.
    std::optional<Common::RequestRate> rate; // Bounded: never so low that the server could not report its end.
    Common::TimePoint at; // Of the last answer.
};

// Applies the notice of an answer. hasRun: the server ran the request, so an answer without a limit ends it. Returns
// whether the rate has changed.
bool recordRate(NamedRate&, Common::Incarnation, const ServerNotice&, bool hasRun, Common::TimePoint now);
// Applies what another instance knows.
void mergeRate(NamedRate&, Common::Incarnation, Common::RequestRate, Common::TimePoint at);
// Empty if this incarnation has named no rate.
std::optional<Common::RequestRate> rateOf(const NamedRate&, Common::Incarnation);

// The rate that binds a server until it is warm, in addition to the one that it names.
struct ColdRate {
    Common::RequestRate rate;
    Common::TimePoint until;
};

// What this instance may send to one server. Plain data: the caller keeps it under a lock.
struct ServerRate {
    NamedRate named;
    Common::Incarnation coldIncarnation;
    std::optional<ColdRate> cold; // Of coldIncarnation.
    SharedRate shared;
};

// Sets the cold rate of the server, or ends it. At the start of a cold phase there are no tokens, also at the keeper.
void setCold(ServerRate&, Common::Incarnation, const std::optional<ColdRate>&, Common::TimePoint now);
bool isCold(const ServerRate&, Common::Incarnation, Common::TimePoint now);
// The lower of the rate that the server names and its cold rate; empty if neither binds.
std::optional<Common::RequestRate> rateInForce(const ServerRate&, Common::Incarnation, Common::TimePoint now);

// The role, given who keeps the server's tokens: a keeper that did not answer is left alone for a while.
RateRole roleOf(const ServerRate&, RateRole intended, Common::TimePoint now);

// Takes a token. True for a server that has no rate. An instance that is alone gets none for a cold server: a quarter
// of the rate, sent by instances that don't know of each other, is not bounded by the cold rate.
bool tryTakeToken(ServerRate&, Common::Incarnation, RateRole, size_t instances, Common::TimePoint now);
// Whether a request could be sent now or after asking the keeper.
bool isWithinRate(const ServerRate&, Common::Incarnation, RateRole, size_t instances, Common::TimePoint now);
// How long until isWithinRate() may become true; empty if it is true.
std::optional<Common::Milliseconds> rateReopensIn(
    const ServerRate&, Common::Incarnation, RateRole, size_t instances, Common::TimePoint now);

// A question to the keeper.
struct RateClaim {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    Common::RequestRate rate; // That the server named to the asker; 0 if none, for a cold server.
    Common::Milliseconds age; // Of that knowledge.
    size_t wanted { 1 };
};

// Starts a question; empty if no rate is in force, a token is left, a question is under way, or the keeper has just
// denied.
std::optional<RateClaim> ask(
    ServerRate&, const Common::BackendServerId&, Common::Incarnation, size_t wanted, Common::TimePoint now);
// The keeper's answer; empty if it gave none.
void answerAsk(ServerRate&, const std::optional<RateGrant>&, Common::TimePoint now);
// At the keeper. An instance that does not consider itself the keeper gives nothing, and so does one that does not know
// that the server is cold if the asker knows of no other rate.
RateGrant grant(ServerRate&, const RateClaim&, RateRole, Common::TimePoint now);

} // namespace Limits
