#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <optional>
#include <vector>

// Keeps the requests of all instances together within one rate. One instance, the keeper of the subject, has a token
// bucket; the others ask it for tokens before each request. So the rate is used by whoever has the callers, however
// unevenly they are spread. Which instance is the keeper is decided elsewhere.
namespace Limits {

// How this instance gets the right to send a request.
enum class RateRole {
    Keeper, // It gives out the tokens.
    Settling, // It has just become the keeper, and gives out its reserve only.
    Asker, // It asks the keeper.
    Substitute, // As an asker; it gives out its reserve to those that do not reach the keeper.
    Alone, // It reaches no keeper, or does not know the other instances.
};

// What differs between the kinds of shared rates.
struct SharedRateRule {
    double keeperShare { 1 }; // Of the rate, given out by a settled keeper.
    double aloneShare { 0 }; // Of the rate, used by all instances without a keeper together.
    size_t reserveTokens { 0 }; // Given out by one instance in any window, as a substitute or while it settles.
    Common::Milliseconds reserveWindow;
    size_t largestClaim { 1 }; // Tokens.
    Common::Milliseconds tokenLifetime { 500 }; // Of a grant, from the claim.
};

// A bucket with at least one token: without it, a limit would admit nothing.
struct RateLimit {
    Common::RequestRate rate;
    double depth { 1 };
};

// Tokens of this instance, one for each request.
struct RateBucket {
    double tokens { 0 };
    Common::TimePoint filledAt; // Empty before its first use.
};

// What one instance knows of one subject. Plain data: the caller keeps it under a lock.
struct SharedRate {
    RateBucket bucket; // As the keeper, or alone.
    std::vector<Common::TimePoint> reserveTakenAt; // In the last window, in order.
    Common::TimePoint promisedUntil; // As the keeper: the tokens until then are expected by those that it has denied.
    size_t granted { 0 }; // Tokens from the keeper or the substitute.
    Common::TimePoint grantedUntil; // Later they are void: the keeper counts a token when it gives it out.
    Common::Address grantedBy;
    Common::Incarnation grantorIncarnation;
    bool isAsking { false };
    Common::TimePoint askedAt;
    Common::TimePoint deniedUntil; // By the keeper.
    Common::TimePoint keeperSilentUntil;
    Common::TimePoint substituteClosedUntil; // It has no token or did not answer.
};

// Whom a claim is sent to.
struct RateGrantor {
    Common::Address address;
    bool isSubstitute { false };
};

// The answer to a claim.
struct RateGrant {
    size_t tokens { 0 };
    Common::Milliseconds retryIn {}; // For the requests that got no token.
    Common::Milliseconds closedFor {}; // No token is left for this time, so a claim before its end is in vain.
    bool isKeeper { true }; // Settled. A denial by another instance does not mean that the rate is exceeded.
    Common::Incarnation incarnation {}; // Of the granting instance.
};

// The tokens in the bucket.
double tokensAt(const RateBucket&, const RateLimit&, Common::TimePoint now);
// Empties the bucket as of this time if it was last used before.
void emptyBucket(SharedRate&, Common::TimePoint);
size_t takeTokens(RateBucket&, const RateLimit&, size_t wanted, Common::TimePoint now);
Common::Milliseconds untilToken(const RateBucket&, const RateLimit&, Common::TimePoint now);

// Takes tokens for other instances or for this one, as far as the role allows it.
RateGrant grant(SharedRate&, const SharedRateRule&, const RateLimit&, RateRole, size_t wanted, Common::TimePoint now);

// Starts a claim for at most this many tokens; empty if a token is left, a claim is under way, or the keeper has just
// denied one.
std::optional<size_t> ask(SharedRate&, const SharedRateRule&, size_t wanted, Common::TimePoint now);
// Ends the claim; the answer is empty if none came. Grants expire by the time at which the claim was sent, since the
// time at which they were issued is not known.
void answerAsk(
    SharedRate&, const SharedRateRule&, const RateGrantor&, const std::optional<RateGrant>&, Common::TimePoint now);
bool hasGrantedToken(const SharedRate&, Common::TimePoint now);
bool takeGrantedToken(SharedRate&, Common::TimePoint now);

// Whether nothing is lost when the state is deleted and created again with a bucket that was empty at the same time as
// this one.
bool isAtRest(const SharedRate&, const SharedRateRule&, const RateLimit&, Common::TimePoint now);

} // namespace Limits
