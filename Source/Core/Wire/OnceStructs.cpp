#include "Wire/OnceStructs.h"

#include "Wire/Fields.h"

namespace Wire {

namespace {

    template <typename Answer> void writeAnswer(ControlSchema::BackendAnswer::Builder out, const Answer& answer)
    {
        out.setStatus(answer.status);
        out.setContentType(toText(answer.contentType));
        out.setBody(toData(answer.body));
        out.setBodyDropped(answer.bodyDropped);
    }

    template <typename Answer> Answer readAnswer(ControlSchema::BackendAnswer::Reader in)
    {
        return { in.getStatus(), fromText(in.getContentType()), fromData(in.getBody()), in.getBodyDropped() };
    }

    struct OutcomeKindWriter {
        ControlSchema::Outcome::Builder& out;

        void operator()(const Once::Completed& answer) const { write(out.initCompleted(), answer); }
        void operator()(const Once::RefusedByBackend& answer) const { write(out.initRefused(), answer); }
        void operator()(const Once::NotRun&) const { out.setNotRun(); }
        void operator()(const Once::Unknown&) const { out.setUnknown(); }
    };

    Once::OutcomeKind readKind(ControlSchema::Outcome::Reader in)
    {
        switch (in.which()) {
        case ControlSchema::Outcome::COMPLETED:
            return readCompleted(in.getCompleted());
        case ControlSchema::Outcome::REFUSED:
            return readRefused(in.getRefused());
        case ControlSchema::Outcome::NOT_RUN:
            return Once::NotRun {};
        case ControlSchema::Outcome::UNKNOWN:
            return Once::Unknown {};
        }
        failDecode("unknown kind of outcome");
    }

    struct ClaimOutcomeWriter {
        ControlSchema::ClaimOutcome::Builder& out;

        void operator()(const Once::Granted&) const { out.setGranted(); }
        void operator()(const Once::Running& running) const { write(out.initRunning(), running.by); }
        void operator()(const Once::Done& done) const
        {
            if (const auto* completed = std::get_if<Once::Completed>(&done.outcome))
                write(out.initCompleted(), *completed);
            else
                write(out.initRefusedByBackend(), std::get<Once::RefusedByBackend>(done.outcome));
        }
        void operator()(const Once::HeldUnknown& held) const { write(out.initHeldUnknown(), held.by); }
        void operator()(const Once::Refused& refused) const { out.setRefused(toNumber(refused.why)); }
    };

} // namespace

void write(ControlSchema::Attempt::Builder out, const Once::AttemptRef& by)
{
    out.setOwner(toText(by.owner));
    out.setIncarnation(by.incarnation.value());
    out.setAttempt(by.attempt.value());
}

Once::AttemptRef read(ControlSchema::Attempt::Reader in)
{
    return { fromText<Common::InstanceId>(in.getOwner()), Common::Incarnation(in.getIncarnation()),
        Common::AttemptId(in.getAttempt()) };
}

void write(ControlSchema::Claim::Builder out, const Once::Claim& claim)
{
    out.setId(toText(claim.id));
    out.setRoute(toText(claim.route));
    out.setBody(claim.body.value());
    write(out.initBy(), claim.by);
}

Once::Claim read(ControlSchema::Claim::Reader in)
{
    return { fromText<Common::RequestId>(in.getId()), fromText<Common::RouteName>(in.getRoute()),
        Common::Fingerprint(in.getBody()), read(in.getBy()) };
}

void write(ControlSchema::BackendAnswer::Builder out, const Once::Completed& answer) { writeAnswer(out, answer); }

void write(ControlSchema::BackendAnswer::Builder out, const Once::RefusedByBackend& answer)
{
    writeAnswer(out, answer);
}

Once::Completed readCompleted(ControlSchema::BackendAnswer::Reader in) { return readAnswer<Once::Completed>(in); }

Once::RefusedByBackend readRefused(ControlSchema::BackendAnswer::Reader in)
{
    return readAnswer<Once::RefusedByBackend>(in);
}

void write(ControlSchema::Outcome::Builder out, const Once::Outcome& outcome)
{
    out.setId(toText(outcome.id));
    out.setRoute(toText(outcome.route));
    write(out.initBy(), outcome.by);
    std::visit(OutcomeKindWriter { out }, outcome.kind);
}

Once::Outcome read(ControlSchema::Outcome::Reader in)
{
    return { fromText<Common::RequestId>(in.getId()), fromText<Common::RouteName>(in.getRoute()), read(in.getBy()),
        readKind(in) };
}

void write(ControlSchema::Orphan::Builder out, const Once::Orphan& orphan)
{
    out.setOwner(toText(orphan.owner));
    out.setIncarnation(orphan.incarnation.value());
}

Once::Orphan read(ControlSchema::Orphan::Reader in)
{
    return { fromText<Common::InstanceId>(in.getOwner()), Common::Incarnation(in.getIncarnation()) };
}

void write(ControlSchema::ClaimOutcome::Builder out, const Once::ClaimOutcome& outcome)
{
    std::visit(ClaimOutcomeWriter { out }, outcome);
}

Once::ClaimOutcome read(ControlSchema::ClaimOutcome::Reader in)
{
    switch (in.which()) {
    case ControlSchema::ClaimOutcome::GRANTED:
        return Once::Granted {};
    case ControlSchema::ClaimOutcome::RUNNING:
        return Once::Running { read(in.getRunning()) };
    case ControlSchema::ClaimOutcome::COMPLETED:
        return Once::Done { readCompleted(in.getCompleted()) };
    case ControlSchema::ClaimOutcome::REFUSED_BY_BACKEND:
        return Once::Done { readRefused(in.getRefusedByBackend()) };
    case ControlSchema::ClaimOutcome::HELD_UNKNOWN:
        return Once::HeldUnknown { read(in.getHeldUnknown()) };
    case ControlSchema::ClaimOutcome::REFUSED:
        return Once::Refused { fromNumber(in.getRefused(), Once::ClaimRefusal::Full) };
    }
    failDecode("unknown kind of claim outcome");
}

} // namespace Wire
