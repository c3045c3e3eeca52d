#include "Once/Booking.h"

#include "Common/Assert.h"

#include <utility>

using Common::Reason;
using Common::TimePoint;

namespace Once {

namespace {

    constexpr int badRequestStatus = 400;

    // The conditions under which an event is handled.
    struct StepContext {
        TimePoint now;
        bool hasLease { false };
    };

    Answer notRun(const Booking& booking, Common::Error error)
    {
        CORIANDERLOCK_INVARIANT(!booking.mayHaveRun, "a request that may have run is not reported as not run");
        return NotRunRefusal { std::move(error) };
    }

    Answer unknown(Common::Error error) { return OutcomeUnknownRefusal { std::move(error), retryUnknownAfter }; }

    Common::Error causeOf(const Booking& booking)
    {
        if (booking.cause)
            return *booking.cause;
        return Common::makeError(Reason::DeadlineExceeded, "booking", "no answer within the caller's deadline");
    }

    bool isLate(const Booking& booking, const StepContext& context)
    {
        return booking.answered || context.now >= booking.deadline;
    }

    std::optional<Answer> answerOnce(Booking& booking, Answer answer)
    {
        if (std::exchange(booking.answered, true))
            return std::nullopt;
        return answer;
    }

    StepResult record(Booking& booking, OutcomeKind kind)
    {
        CORIANDERLOCK_INVARIANT(!booking.mayHaveRun || !std::holds_alternative<NotRun>(kind),
            "a claim is not released after a dispatch that may have run");
        booking.stage = Stage::Recording;
        booking.outcome = Outcome { booking.claim.id, booking.claim.route, booking.claim.by, std::move(kind) };
        return { SendRecord {}, std::nullopt };
    }

    // Answers the caller. If it is unknown whether the claim was granted, a NotRun is recorded as well: a delayed
    // copy of the claim could otherwise be granted after the booking ended, and nothing would release it.
    StepResult finish(Booking& booking, Answer answer)
    {
        auto due = answerOnce(booking, std::move(answer));
        if (!booking.claimInDoubt || booking.granted) {
            booking.stage = Stage::Finished;
            return { Idle {}, std::move(due) };
        }
        StepResult next = record(booking, NotRun {});
        next.answer = std::move(due);
        return next;
    }

    // The answer that corresponds to the outcome being recorded. `notRunAccepted` means that the log recorded the
    // NotRun, which it does only if no other attempt holds the claim.
    Answer recordedAnswer(const Booking& booking, bool notRunAccepted)
    {
        const OutcomeKind& kind = booking.outcome->kind;
        if (const auto* completed = std::get_if<Completed>(&kind))
            return *completed;
        if (const auto* refused = std::get_if<RefusedByBackend>(&kind))
            return *refused;
        if (std::holds_alternative<NotRun>(kind) && (booking.granted || notRunAccepted))
            return notRun(booking, causeOf(booking));
        return unknown(causeOf(booking));
    }

    StepResult dispatch(Booking& booking)
    {
        CORIANDERLOCK_INVARIANT(booking.granted, "only a granted claim is dispatched");
        CORIANDERLOCK_INVARIANT(!booking.mayHaveRun, "a request that may have run is not dispatched again");
        booking.stage = Stage::Dispatching;
        booking.mayHaveRun = true;
        ++booking.dispatches;
        return { Dispatch {}, std::nullopt };
    }

    StepResult releaseClaim(Booking& booking, Common::Error cause)
    {
        booking.cause = std::move(cause);
        return record(booking, NotRun {});
    }

    StepResult onGranted(Booking& booking, const StepContext& context)
    {
        booking.granted = true;
        if (!context.hasLease)
            return releaseClaim(booking, Common::makeError(Reason::Unavailable, "booking", "the lease expired"));
        if (isLate(booking, context))
            return releaseClaim(booking,
                Common::makeError(Reason::DeadlineExceeded, "claim", "the claim was granted after the deadline"));
        return dispatch(booking);
    }

    StepResult onHeldUnknown(Booking& booking, const HeldUnknown& held)
    {
        auto error = Common::makeError(
            Reason::ConnectionLost, "booking", "an earlier attempt may have run", held.by.owner.value());
        // This attempt's own claim was granted and then orphaned before the reply arrived. The request was never
        // dispatched, so the claim can be released.
        if (held.by == booking.claim.by)
            return releaseClaim(booking, std::move(error));
        return finish(booking, unknown(std::move(error)));
    }

    StepResult onRefused(Booking& booking, const Refused& refused)
    {
        switch (refused.why) {
        case ClaimRefusal::OtherBody: {
            auto error = Common::makeError(Reason::Conflict, "claim", "the id was used with another body or route");
            return finish(booking, IdReusedRefusal { std::move(error) });
        }
        case ClaimRefusal::Expired: {
            auto error = Common::makeError(Reason::NotFound, "claim", "the id is older than the retention");
            return finish(booking, OutcomeUnknownRefusal { std::move(error), std::nullopt });
        }
        case ClaimRefusal::Full:
            return finish(booking,
                notRun(booking,
                    Common::makeError(Reason::Overloaded, "claim", "the log shard has no capacity for another claim")));
        case ClaimRefusal::Orphaned:
        case ClaimRefusal::Superseded:
            break;
        }
        // The log returns these refusals only while no attempt holds the claim, so the request has not run.
        auto error = Common::makeError(Reason::Unavailable, "claim", refusalCode(refused.why));
        return finish(booking, notRun(booking, std::move(error)));
    }

    struct ClaimVisitor {
        Booking& booking;
        const StepContext& context;

        StepResult operator()(const Granted&) const { return onGranted(booking, context); }
        StepResult operator()(const Running& running) const
        {
            booking.stage = Stage::Joined;
            booking.cause = Common::makeError(
                Reason::DeadlineExceeded, "join", "another attempt is still running", running.by.owner.value());
            if (isLate(booking, context))
                return finish(booking, unknown(causeOf(booking)));
            return { SendClaim { joinPollInterval }, std::nullopt };
        }
        StepResult operator()(const Done& done) const
        {
            return std::visit([&](const auto& it) { return finish(booking, it); }, done.outcome);
        }
        StepResult operator()(const HeldUnknown& held) const { return onHeldUnknown(booking, held); }
        StepResult operator()(const Refused& refused) const { return onRefused(booking, refused); }
    };

    bool isClaiming(const Booking& booking)
    {
        return booking.stage == Stage::Claiming || booking.stage == Stage::Joined;
    }

    struct EventVisitor {
        Booking& booking;
        const StepContext& context;

        StepResult operator()(const ClaimAnswered& event) const
        {
            if (!isClaiming(booking))
                return {};
            return std::visit(ClaimVisitor { booking, context }, event.outcome);
        }

        StepResult operator()(const ClaimFailed& event) const
        {
            if (!isClaiming(booking))
                return {};
            booking.claimInDoubt = true;
            if (isLate(booking, context))
                return releaseClaim(booking, event.error);
            return { SendClaim { claimRetryInterval }, std::nullopt };
        }

        StepResult operator()(const DispatchAnswered& event) const
        {
            if (booking.stage != Stage::Dispatching)
                return {};
            return std::visit([&](const auto& it) { return record(booking, it); }, event.outcome);
        }

        StepResult operator()(const DispatchFailed& event) const
        {
            if (booking.stage != Stage::Dispatching)
                return {};
            booking.cause = event.error;
            if (!provesNotRun(event.error.reason))
                return record(booking, Unknown {});
            booking.mayHaveRun = false;
            bool mayHelp = event.error.reason != Reason::Quarantined;
            if (mayHelp && booking.dispatches < maximumDispatches && context.hasLease && !isLate(booking, context))
                return dispatch(booking);
            return record(booking, NotRun {});
        }

        StepResult operator()(const RecordAnswered& event) const
        {
            if (booking.stage != Stage::Recording)
                return {};
            booking.stage = Stage::Finished;
            return { Idle {}, answerOnce(booking, recordedAnswer(booking, event.result != RecordResult::Stale)) };
        }

        StepResult operator()(const RecordFailed&) const
        {
            if (booking.stage != Stage::Recording)
                return {};
            return { SendRecord { recordRetryInterval }, std::nullopt };
        }

        StepResult operator()(const DeadlinePassed&) const
        {
            if (booking.answered || booking.stage == Stage::Finished)
                return {};
            if (booking.stage == Stage::Recording)
                return { Idle {}, answerOnce(booking, recordedAnswer(booking, false)) };
            auto due = answerOnce(booking, unknown(causeOf(booking)));
            if (booking.stage == Stage::Dispatching)
                return { Idle {}, std::move(due) };
            StepResult next = record(booking, NotRun {});
            next.answer = std::move(due);
            return next;
        }
    };

} // namespace

StepResult start(Booking& booking, bool hasLease)
{
    if (hasLease)
        return { SendClaim {}, std::nullopt };
    auto error = Common::makeError(Reason::Unavailable, "booking", "this instance holds no valid lease");
    if (booking.mayBeResend)
        return finish(booking, unknown(std::move(error)));
    return finish(booking, notRun(booking, std::move(error)));
}

StepResult step(Booking& booking, const Event& event, TimePoint now, bool hasLease)
{
    StepContext context { now, hasLease };
    return std::visit(EventVisitor { booking, context }, event);
}

DispatchAnswered classifyResponse(int status, std::string contentType, std::string body)
{
    if (status == badRequestStatus)
        return { RefusedByBackend { status, std::move(contentType), std::move(body), false } };
    return { Completed { status, std::move(contentType), std::move(body), false } };
}

bool provesNotRun(Reason reason)
{
    switch (reason) {
    case Reason::ConnectionFailed:
    case Reason::Refused:
    case Reason::Overloaded:
    case Reason::Unavailable:
    case Reason::Quarantined:
        return true;
    default:
        return false;
    }
}

} // namespace Once
