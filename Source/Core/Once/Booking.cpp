#include "Once/Booking.h"

#include "Common/Assert.h"

#include <utility>

using Common::Reason;
using Common::TimePoint;

namespace Once {

namespace {

    constexpr int declinedStatus = 400;

    // The moment at which an event is taken.
    struct Moment {
        TimePoint now;
        bool mayTakeWork { false };
    };

    Answer notRun(const Booking& booking, Common::Error error)
    {
        CORIANDERLOCK_INVARIANT(!booking.mayHaveRun, "no 'not run' after a dispatch that may have run");
        return NotRunRefusal { std::move(error) };
    }

    Answer unknown(Common::Error error) { return OutcomeUnknownRefusal { std::move(error), retryUnknownAfter }; }

    Common::Error causeOf(const Booking& booking)
    {
        if (booking.cause)
            return *booking.cause;
        return Common::makeError(Reason::DeadlineExceeded, "booking", "no answer within the caller's deadline");
    }

    bool isLate(const Booking& booking, const Moment& at) { return booking.answered || at.now >= booking.deadline; }

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

    // Gives the answer. A claim in doubt might still be granted, to nobody: it is barred by a NotRun.
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

    // The answer that what is being recorded stands for. `barred` says that the log took the NotRun, which it does only
    // if no other attempt holds the claim.
    Answer recordedAnswer(const Booking& booking, bool barred)
    {
        const OutcomeKind& kind = booking.outcome->kind;
        if (const auto* completed = std::get_if<Completed>(&kind))
            return *completed;
        if (const auto* refused = std::get_if<RefusedByBackend>(&kind))
            return *refused;
        if (std::holds_alternative<NotRun>(kind) && (booking.granted || barred))
            return notRun(booking, causeOf(booking));
        return unknown(causeOf(booking));
    }

    StepResult dispatch(Booking& booking)
    {
        CORIANDERLOCK_INVARIANT(booking.granted, "only a granted claim is dispatched");
        CORIANDERLOCK_INVARIANT(!booking.mayHaveRun, "nothing is dispatched again while it may have run");
        booking.stage = Stage::Dispatching;
        booking.mayHaveRun = true;
        ++booking.dispatches;
        return { Dispatch {}, std::nullopt };
    }

    StepResult giveUp(Booking& booking, Common::Error cause)
    {
        booking.cause = std::move(cause);
        return record(booking, NotRun {});
    }

    StepResult onGranted(Booking& booking, const Moment& at)
    {
        booking.granted = true;
        if (!at.mayTakeWork)
            return giveUp(booking, Common::makeError(Reason::Unavailable, "booking", "the lease ran out"));
        if (isLate(booking, at))
            return giveUp(booking, Common::makeError(Reason::DeadlineExceeded, "claim", "granted too late"));
        return dispatch(booking);
    }

    StepResult onHeldUnknown(Booking& booking, const HeldUnknown& held)
    {
        auto error = Common::makeError(
            Reason::ConnectionLost, "booking", "an earlier attempt may have run", held.by.owner.value());
        // Our claim was granted and orphaned before we knew: we never dispatched, and can prove it.
        if (held.by == booking.claim.by)
            return giveUp(booking, std::move(error));
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
            return finish(
                booking, notRun(booking, Common::makeError(Reason::Overloaded, "claim", "no room for claims")));
        case ClaimRefusal::Orphaned:
        case ClaimRefusal::Superseded:
            break;
        }
        // The log says so only while no attempt holds the claim.
        auto error = Common::makeError(Reason::Unavailable, "claim", refusalCode(refused.why));
        return finish(booking, notRun(booking, std::move(error)));
    }

    struct ClaimVisitor {
        Booking& booking;
        const Moment& at;

        StepResult operator()(const Granted&) const { return onGranted(booking, at); }
        StepResult operator()(const Running& running) const
        {
            booking.stage = Stage::Joined;
            booking.cause
                = Common::makeError(Reason::DeadlineExceeded, "join", "still running", running.by.owner.value());
            if (isLate(booking, at))
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
        const Moment& at;

        StepResult operator()(const ClaimAnswered& event) const
        {
            if (!isClaiming(booking))
                return {};
            return std::visit(ClaimVisitor { booking, at }, event.outcome);
        }

        StepResult operator()(const ClaimFailed& event) const
        {
            if (!isClaiming(booking))
                return {};
            booking.claimInDoubt = true;
            if (isLate(booking, at))
                return giveUp(booking, event.error);
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
            if (booking.dispatches < maximumDispatches && at.mayTakeWork && !isLate(booking, at))
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

StepResult start(Booking& booking, bool mayTakeWork)
{
    if (mayTakeWork)
        return { SendClaim {}, std::nullopt };
    auto error = Common::makeError(Reason::Unavailable, "booking", "this instance takes no work now");
    if (booking.mayBeResend)
        return finish(booking, unknown(std::move(error)));
    return finish(booking, notRun(booking, std::move(error)));
}

StepResult step(Booking& booking, const Event& event, TimePoint now, bool mayTakeWork)
{
    Moment at { now, mayTakeWork };
    return std::visit(EventVisitor { booking, at }, event);
}

DispatchAnswered classifyResponse(int status, std::string contentType, std::string body)
{
    if (status == declinedStatus)
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
        return true;
    default:
        return false;
    }
}

} // namespace Once
