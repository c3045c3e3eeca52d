#include "Entry/BookingEngine.h"

#include "Common/ContentDigest.h"
#include "Common/Hash.h"
#include "Common/ShardedMap.h"
#include "Once/Claims.h"

#include <atomic>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::TimePoint;
using Observe::EventKind;

namespace Entry {

namespace {

    using BookingId = Common::AttemptId; // The attempt number that the claim carries.

    // For one claim or outcome record. Afterwards Once gets ClaimFailed or RecordFailed.
    constexpr Milliseconds controlCallTimeout { 2'000 };
    constexpr Milliseconds slotRetryInterval { 5 }; // Between two attempts to acquire a slot.

    struct RunningBooking {
        Once::Booking booking;
        BookingRequest request;
        ResolvedRoute route;
        BookingEngine::Done done;
        TimePoint admitted;
        Common::Fingerprint content; // Equal for all bookings with this route and body, whatever their id.
    };

    Common::Fingerprint contentOf(const BookingRequest& request)
    {
        return Common::Fingerprint(Common::digestOf({ "booking", request.route.value(), request.body }).low);
    }

    Common::Error quarantineError()
    {
        return Common::makeError(
            Reason::Quarantined, "dispatch", "servers were lost each time that a booking with this content ran");
    }

    Limits::Completion completionOf(const Common::Result<Backend::RunAnswer>& answer)
    {
        if (answer)
            return Limits::Completion::Ok;
        if (answer.error().reason == Reason::Refused)
            return Limits::Completion::Shed;
        return answer.error().reason == Reason::DeadlineExceeded ? Limits::Completion::TimedOut
                                                                 : Limits::Completion::Failed;
    }

} // namespace

struct BookingEngine::Private : std::enable_shared_from_this<BookingEngine::Private> {
    explicit Private(BookingDependencies d)
        : dependencies(std::move(d))
    {
    }

    BookingDependencies dependencies;
    std::atomic<uint64_t> nextId { 1 };
    Common::ShardedMap<BookingId, std::unique_ptr<RunningBooking>> bookings;

    template <typename Function> void decideAndPerform(BookingId, Function&&);
    void step(BookingId, const Once::Event&);
    void perform(BookingId, const Once::Action&);
    void runAfter(Milliseconds, std::function<void(Private&)>);
    void recordAnswer(RunningBooking&, const Once::Answer&);
    void sendClaim(BookingId);
    void sendRecord(BookingId);
    void propose(
        const Common::RequestId&, Control::Command, std::function<void(Common::Result<Control::CommandOutcome>)>);
    void dispatch(BookingId);
    void dispatchTo(BookingId, const Membership::Candidate&, Backend::RunRequest, const Common::GroupName&,
        Common::Fingerprint content);
};

template <typename Function> void BookingEngine::Private::decideAndPerform(BookingId id, Function&& decide)
{
    Once::StepResult next { Once::Idle {}, {} };
    Done done;
    bool finished = false;
    bookings.ifPresent(id, [&](std::unique_ptr<RunningBooking>& running) {
        next = decide(*running, dependencies.lease.mayTakeWork());
        if (next.answer) {
            recordAnswer(*running, *next.answer);
            done = std::move(running->done);
        }
        finished = running->booking.stage == Once::Stage::Finished;
    });
    if (finished)
        bookings.take(id);
    if (done)
        done(*next.answer);
    if (!finished)
        perform(id, next.action);
}

void BookingEngine::Private::step(BookingId id, const Once::Event& event)
{
    decideAndPerform(id, [&](RunningBooking& running, bool mayTakeWork) {
        return Once::step(running.booking, event, Clock::now(), mayTakeWork);
    });
}

void BookingEngine::Private::runAfter(Milliseconds delay, std::function<void(Private&)> function)
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(delay, [weak, function = std::move(function)] {
        if (auto self = weak.lock())
            function(*self);
    });
}

void BookingEngine::Private::perform(BookingId id, const Once::Action& action)
{
    if (auto claim = std::get_if<Once::SendClaim>(&action))
        runAfter(claim->delay, [id](Private& p) { p.sendClaim(id); });
    else if (auto record = std::get_if<Once::SendRecord>(&action))
        runAfter(record->delay, [id](Private& p) { p.sendRecord(id); });
    else if (std::holds_alternative<Once::Dispatch>(action))
        dispatch(id);
}

void BookingEngine::Private::recordAnswer(RunningBooking& running, const Once::Answer& answer)
{
    dependencies.metrics.count(Observe::Counter::Bookings, Once::answerCode(answer));
    dependencies.metrics.observe(
        Observe::Latency::Booking, Clock::now() - running.admitted, running.request.route.value());
    bool isReplay = !running.booking.dispatches && std::holds_alternative<Once::Completed>(answer);
    dependencies.timeline.record(isReplay ? EventKind::RequestReplayed : EventKind::RequestFinished,
        running.request.id.value(), Once::answerCode(answer));
}

void BookingEngine::Private::propose(const Common::RequestId& id, Control::Command command,
    std::function<void(Common::Result<Control::CommandOutcome>)> done)
{
    auto shard = Once::logShardOf(id, dependencies.claimShards);
    dependencies.control.call(shard, Control::ProposeRequest { shard, std::move(command) },
        Clock::now() + controlCallTimeout, [done = std::move(done)](const Common::Result<Control::Reply>& result) {
            if (!result) {
                done(Common::failure(result.error()));
                return;
            }
            auto reply = std::get_if<Control::ProposeReply>(&result.value());
            if (!reply)
                done(Common::failure(
                    Common::makeError(Reason::Corrupt, "propose", "control sent a reply of the wrong type")));
            else if (auto error = std::get_if<Common::Error>(&reply->result))
                done(Common::failure(*error));
            else
                done(Common::success(std::get<Control::CommandOutcome>(reply->result)));
        });
}

void BookingEngine::Private::sendClaim(BookingId id)
{
    std::optional<Once::Claim> claim;
    bookings.ifPresent(id, [&](std::unique_ptr<RunningBooking>& running) { claim = running->booking.claim; });
    if (!claim)
        return;
    auto self = shared_from_this();
    propose(claim->id, *claim, [self, id, subject = claim->id](const Common::Result<Control::CommandOutcome>& result) {
        if (!result) {
            self->step(id, Once::ClaimFailed { result.error() });
            return;
        }
        auto outcome = std::get_if<Once::ClaimOutcome>(&result.value());
        if (!outcome) {
            self->step(id,
                Once::ClaimFailed { Common::makeError(Reason::Internal, "claim", "control did not apply the claim") });
            return;
        }
        if (std::holds_alternative<Once::Granted>(*outcome))
            self->dependencies.timeline.record(EventKind::RequestClaimed, subject.value());
        self->step(id, Once::ClaimAnswered { *outcome });
    });
}

void BookingEngine::Private::sendRecord(BookingId id)
{
    std::optional<Once::Outcome> outcome;
    bookings.ifPresent(id, [&](std::unique_ptr<RunningBooking>& running) { outcome = running->booking.outcome; });
    if (!outcome)
        return;
    auto self = shared_from_this();
    propose(outcome->id, *outcome, [self, id](const Common::Result<Control::CommandOutcome>& result) {
        if (!result) {
            self->step(id, Once::RecordFailed { result.error() });
            return;
        }
        if (auto recorded = std::get_if<Once::RecordResult>(&result.value()))
            self->step(id, Once::RecordAnswered { *recorded });
        else
            self->step(id,
                Once::RecordFailed {
                    Common::makeError(Reason::Internal, "record", "control did not record the outcome") });
    });
}

// Waits for a free slot in this process, not in the backend server's queue. Nothing is sent without a slot.
void BookingEngine::Private::dispatch(BookingId id)
{
    std::optional<Backend::RunRequest> request;
    ResolvedRoute route;
    Common::Fingerprint content;
    bookings.ifPresent(id, [&](std::unique_ptr<RunningBooking>& running) {
        request = Backend::RunRequest { running->request.id, running->request.body, running->request.contentType,
            running->booking.deadline - Clock::now() };
        route = running->route;
        content = running->content;
    });
    if (!request)
        return;
    // Checked after the claim: a resend of a booking that has run is answered with its outcome.
    if (dependencies.membership.isQuarantined(content)) {
        step(id, Once::DispatchFailed { quarantineError() });
        return;
    }
    const auto& group = route.group.name;
    auto set = dependencies.servers.candidates(group, Common::IndexVersion());
    std::optional<size_t> server;
    if (!set->all.empty() && request->timeLeft > Milliseconds(0) && dependencies.lease.mayTakeWork())
        server = dependencies.servers.acquire(*set, set->all, {}, Clock::now());
    if (server) {
        dispatchTo(id, set->servers[*server], *std::move(request), group, content);
        return;
    }
    if (request->timeLeft > slotRetryInterval && dependencies.lease.mayTakeWork() && !set->all.empty()) {
        runAfter(slotRetryInterval, [id](Private& p) { p.dispatch(id); });
        return;
    }
    // Once interprets ConnectionFailed as proof that nothing was sent.
    std::string detail = set->all.empty() ? "the group has no backend server" : "no slot became free in time";
    step(id, Once::DispatchFailed { Common::makeError(Reason::ConnectionFailed, "dispatch", detail, group.value()) });
}

void BookingEngine::Private::dispatchTo(BookingId id, const Membership::Candidate& server, Backend::RunRequest request,
    const Common::GroupName& group, Common::Fingerprint content)
{
    dependencies.timeline.record(EventKind::RequestDispatched, request.id.value(), "to " + server.server.value());
    auto self = shared_from_this();
    auto sentAt = Clock::now();
    Backend::Target target { server.server, server.address, group };
    dependencies.backend.run(target, std::move(request),
        [self, id, sentAt, target, incarnation = server.incarnation, content](
            const Common::Result<Backend::RunAnswer>& result) {
            auto now = Clock::now();
            self->dependencies.servers.release(target.server, completionOf(result), now - sentAt, now);
            if (result) {
                auto answered
                    = Once::classifyResponse(result.value().status, result.value().contentType, result.value().body);
                if (std::holds_alternative<Once::Completed>(answered.outcome))
                    self->dependencies.membership.reportCompletion(content);
                self->step(id, answered);
                return;
            }
            if (result.error().reason == Reason::ConnectionLost)
                self->dependencies.losses.onConnectionLost(target, incarnation, content, [](bool) {});
            if (result.error().reason == Reason::Overloaded)
                self->runAfter(slotRetryInterval, [id](Private& p) { p.dispatch(id); });
            else
                self->step(id, Once::DispatchFailed { result.error() });
        });
}

BookingEngine::BookingEngine(BookingDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

BookingEngine::~BookingEngine() = default;

void BookingEngine::run(BookingRequest request, Done done)
{
    auto self = m_private;
    auto route = self->dependencies.configuration.resolve(request.route);
    if (!route || route.value().route.kind != Model::RouteKind::RunOnce) {
        auto error = route ? Common::makeError(Reason::InvalidInput, "admit-booking",
                         "route " + request.route.value() + " is for lookups: send to /v1/query")
                           : route.error();
        // A resend may have run earlier, while the route still existed, so its outcome is unknown.
        if (request.mayBeResend)
            done(Once::OutcomeUnknownRefusal { error, std::nullopt });
        else
            done(Once::NotRunRefusal { error });
        return;
    }
    if (!request.mayBeResend && self->dependencies.membership.isQuarantined(contentOf(request))) {
        done(Once::NotRunRefusal { quarantineError() });
        return;
    }
    auto now = Clock::now();
    BookingId id(self->nextId++);
    auto running = std::make_unique<RunningBooking>();
    running->route = std::move(route).value();
    running->admitted = now;
    running->done = std::move(done);
    running->booking.claim = { request.id, request.route, Common::Fingerprint(Common::hash64(request.body)),
        { self->dependencies.self, self->dependencies.lease.incarnation(), id } };
    running->content = contentOf(request);
    running->booking.mayBeResend = request.mayBeResend;
    running->booking.deadline = now + running->route.route.deadline;
    running->request = std::move(request);
    self->bookings.insert(id, std::move(running));
    self->decideAndPerform(id, [](RunningBooking& r, bool mayTakeWork) { return Once::start(r.booking, mayTakeWork); });
    self->bookings.ifPresent(id, [&](std::unique_ptr<RunningBooking>& r) {
        self->runAfter(r->booking.deadline - Clock::now(), [id](Private& p) { p.step(id, Once::DeadlinePassed {}); });
    });
}

size_t BookingEngine::inFlight() const { return m_private->bookings.size(); }

} // namespace Entry
