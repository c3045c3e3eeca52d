#include "Once/Booking.h"

#include "Common/Random.h"
#include "Once/Claims.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

using namespace Once;
using Common::Milliseconds;
using Common::Reason;
using Common::TimePoint;

namespace {

constexpr Milliseconds callerDeadline { 400 };
const TimePoint early { Milliseconds(1) };
const TimePoint late { Milliseconds(1'000) };

// Simulates entry instances, one log and one backend server in virtual time. Messages are lost, delayed and duplicated;
// entry instances crash and lose their leases at random. The backend server counts how often it runs each request.
class Simulation {
public:
    explicit Simulation(uint64_t seed)
        : m_random(seed)
        , m_entries(entryCount)
    {
        m_claims.settings.retentionMs = 5'000;
    }

    void run()
    {
        for (int i = 0; i < requestCount; ++i)
            sendRequest(i);
        for (int i = 0; i < requestCount; i += 10)
            at(Milliseconds(i * requestInterval), [this] { injectFault(); });
        while (!m_events.empty()) {
            auto [time, order, run] = m_events.top();
            m_events.pop();
            m_now = time;
            run();
        }
        for (const auto& [id, n] : m_runs)
            EXPECT_LE(n, 1) << id;
        EXPECT_EQ(m_running, 0) << "bookings that did not finish";
        EXPECT_TRUE(m_claims.runningByOwner.empty()) << "claims left running without an owner";
    }

    std::map<std::string, int> answers;
    uint64_t dispatches { 0 };
    uint64_t runs { 0 };

private:
    static constexpr int entryCount = 4;
    static constexpr int requestCount = 300;
    static constexpr double requestInterval = 20;

    struct Entry {
        uint64_t incarnation { 1 };
        uint64_t leaseEnds { 0 }; // The number of lost leases.
        bool hasLease { true };
    };

    struct Running {
        size_t entry { 0 };
        uint64_t incarnation { 1 };
        bool isAlive { true };
        bool ranBefore { false }; // The request had run before this send of it arrived.
        bool answeredNotRun { false };
        int answerCount { 0 };
        Booking booking;
    };
    using RunningPointer = std::shared_ptr<Running>;

    struct ScheduledEvent {
        TimePoint time;
        uint64_t order;
        std::function<void()> run;

        bool operator<(const ScheduledEvent& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void at(Milliseconds delay, std::function<void()> run)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(run) });
    }

    Milliseconds networkDelay()
    {
        return Milliseconds(m_random.chance(0.05) ? m_random.unit() * 600 : m_random.unit() * 8);
    }

    // Sends each request up to four times, each through a random entry instance.
    void sendRequest(int i)
    {
        Common::RequestId id("request-" + std::to_string(i));
        uint64_t sends = 1 + m_random.below(4);
        for (uint64_t n = 0; n < sends; ++n) {
            double resendAfter = m_random.chance(0.1) ? 6'000 : 800;
            at(Milliseconds(i * requestInterval + m_random.unit() * resendAfter), [this, id] { receive(id); });
        }
    }

    void receive(const Common::RequestId& id)
    {
        size_t n = m_random.below(entryCount);
        auto it = std::make_shared<Running>();
        it->entry = n;
        it->incarnation = m_entries[n].incarnation;
        it->ranBefore = m_runs[id.value()] > 0;
        it->booking.claim = { id, Common::RouteName("book"), Common::Fingerprint(1),
            { Common::InstanceId("entry-" + std::to_string(n)), Common::Incarnation(it->incarnation),
                Common::AttemptId(++m_attempts) } };
        it->booking.deadline = m_now + callerDeadline;
        ++m_running;
        m_bookings[n].push_back(it);
        at(callerDeadline, [this, it] { handle(it, DeadlinePassed {}); });
        perform(it, start(it->booking, hasLease(*it)));
    }

    bool hasLease(const Running& it) const { return m_entries[it.entry].hasLease; }

    void handle(const RunningPointer& it, const Event& event)
    {
        if (it->isAlive)
            perform(it, step(it->booking, event, m_now, hasLease(*it)));
    }

    void perform(const RunningPointer& it, const StepResult& next)
    {
        if (next.answer)
            checkAnswer(*it, *next.answer);
        if (std::holds_alternative<Dispatch>(next.action))
            dispatch(it);
        else if (const auto* claim = std::get_if<SendClaim>(&next.action))
            propose(
                it, claim->delay, [this, it] { return ClaimAnswered { apply(m_claims, it->booking.claim) }; },
                ClaimFailed { Common::makeError(Reason::ConnectionLost, "propose", "no answer") });
        else if (const auto* record = std::get_if<SendRecord>(&next.action))
            propose(
                it, record->delay,
                [this, outcome = *it->booking.outcome] { return RecordAnswered { apply(m_claims, outcome) }; },
                RecordFailed { Common::makeError(Reason::ConnectionLost, "propose", "no answer") });
        if (it->isAlive && it->booking.stage == Stage::Finished)
            end(*it);
    }

    void end(Running& it)
    {
        it.isAlive = false;
        --m_running;
        EXPECT_EQ(it.answerCount, 1);
    }

    // Proposes a command that may be lost, applied twice, or applied after its sender stopped waiting.
    void propose(
        const RunningPointer& it, Milliseconds delay, const std::function<Event()>& applyIt, const Event& failed)
    {
        Milliseconds requestDelay = delay + networkDelay();
        Milliseconds answerTime = requestDelay + networkDelay();
        bool isLost = m_random.chance(0.08);
        bool isAnswerLost = m_random.chance(0.08);
        at(requestDelay, [this, it, isLost, isAnswerLost, answerDelay = answerTime - requestDelay, applyIt] {
            if (isLost)
                return;
            Event answer = applyIt();
            if (!isAnswerLost)
                at(answerDelay, [this, it, answer] { handle(it, answer); });
        });
        if (m_random.chance(0.05))
            at(requestDelay + networkDelay(), [applyIt] { applyIt(); });
        if (isLost || isAnswerLost)
            at(Milliseconds(m_random.unit() * 60) + delay, [this, it, failed] { handle(it, failed); });
    }

    void dispatch(const RunningPointer& it)
    {
        ++dispatches;
        double roll = m_random.unit();
        if (roll < 0.15)
            return fail(it, m_random.chance(0.5) ? Reason::ConnectionFailed : Reason::Refused, networkDelay());
        if (roll < 0.2)
            return at(networkDelay(), [this, it] {
                handle(it, DispatchAnswered { RefusedByBackend { 409, "", "taken" } });
            });
        if (roll < 0.25)
            return fail(it, Reason::ConnectionLost, networkDelay());
        bool isAnswerLost = m_random.chance(0.15);
        // The server may run the request long after the entry instance stopped waiting.
        at(networkDelay(), [this, it, isAnswerLost] {
            EXPECT_FALSE(it->answeredNotRun) << it->booking.claim.id << " ran after it was reported as not run";
            Completed answer = runOnBackend(it->booking.claim.id.value());
            if (!isAnswerLost)
                at(networkDelay(), [this, it, answer] { handle(it, DispatchAnswered { answer }); });
        });
        if (isAnswerLost)
            fail(it, m_random.chance(0.5) ? Reason::ConnectionLost : Reason::DeadlineExceeded, networkDelay());
    }

    Completed runOnBackend(const std::string& id)
    {
        ++runs;
        int n = ++m_runs[id];
        return { 200, "text/plain", id + " run " + std::to_string(n), false };
    }

    void fail(const RunningPointer& it, Reason reason, Milliseconds delay)
    {
        auto error = Common::makeError(reason, "dispatch", "failed");
        at(delay, [this, it, error] { handle(it, DispatchFailed { error }); });
    }

    void checkAnswer(Running& it, const Answer& answer)
    {
        ++it.answerCount;
        ++answers[answerCode(answer)];
        const std::string& id = it.booking.claim.id.value();
        EXPECT_LE(m_now, it.booking.deadline) << id;
        it.answeredNotRun = std::holds_alternative<NotRunRefusal>(answer);
        EXPECT_FALSE(it.answeredNotRun && it.ranBefore) << id << " was reported as not run";
        if (const auto* completed = std::get_if<Completed>(&answer)) {
            EXPECT_EQ(m_runs[id], 1) << id;
            EXPECT_EQ(completed->body, id + " run 1");
        }
        if (errorOf(answer))
            return;
        auto [first, isNew] = m_final.try_emplace(id, answer);
        EXPECT_EQ(answerCode(first->second), answerCode(answer)) << id << " got two outcomes";
    }

    void injectFault()
    {
        m_logTime = LogTime(1'700'000'000'000 + static_cast<uint64_t>(m_now.sinceStart().value()));
        apply(m_claims, Expire { m_logTime });
        size_t n = m_random.below(entryCount);
        if (m_random.chance(0.3))
            crash(n);
        else if (m_random.chance(0.3))
            loseLease(n);
    }

    void crash(size_t n)
    {
        Common::Incarnation ended(m_entries[n].incarnation++);
        m_entries[n].hasLease = true;
        for (const RunningPointer& it : m_bookings[n]) {
            if (std::exchange(it->isAlive, false))
                --m_running;
        }
        m_bookings[n].clear();
        orphan(n, ended);
    }

    // The instance continues its bookings in flight, and later accepts new ones as a new incarnation.
    void loseLease(size_t n)
    {
        m_entries[n].hasLease = false;
        orphan(n, Common::Incarnation(m_entries[n].incarnation));
        at(Milliseconds(m_random.unit() * 300), [this, n] {
            m_entries[n].hasLease = true;
            ++m_entries[n].incarnation;
        });
    }

    void orphan(size_t n, Common::Incarnation ended)
    {
        Orphan command { Common::InstanceId("entry-" + std::to_string(n)), ended };
        at(networkDelay(), [this, command] { apply(m_claims, command); });
    }

    Common::Random m_random;
    std::vector<Entry> m_entries;
    Claims m_claims;
    LogTime m_logTime;
    TimePoint m_now;
    std::map<size_t, std::vector<RunningPointer>> m_bookings;
    uint64_t m_order { 0 };
    uint64_t m_attempts { 0 };
    int m_running { 0 };
    std::priority_queue<ScheduledEvent> m_events;
    std::map<std::string, int> m_runs;
    std::map<std::string, Answer> m_final;
};

} // namespace

// Guards against a request that runs twice, or is reported as not run although it ran, under message loss, delay,
// duplication, crashes and lost leases.
TEST(Booking, RunsAtMostOnceAndNeverReportsARunAsNotRun)
{
    std::map<std::string, int> answers;
    uint64_t dispatches = 0;
    uint64_t runs = 0;
    for (uint64_t seed = 1; seed <= 300 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Simulation simulation(seed);
        simulation.run();
        for (const auto& [code, n] : simulation.answers)
            answers[code] += n;
        dispatches += simulation.dispatches;
        runs += simulation.runs;
    }
    for (const auto& [code, n] : answers)
        std::cout << code << " " << n << "\n";
    std::cout << "dispatches " << dispatches << ", runs " << runs << "\n";
    for (const char* code : { "completed", "refused-by-backend", "not-run", "outcome-unknown" })
        EXPECT_GT(answers[code], 100) << code;
}

namespace {

Booking newBooking()
{
    Booking booking;
    booking.claim = { Common::RequestId("id"), Common::RouteName("book"), Common::Fingerprint(1),
        { Common::InstanceId("a"), Common::Incarnation(1), Common::AttemptId(1) } };
    booking.deadline = TimePoint(Milliseconds(100));
    return booking;
}

Booking dispatchedBooking()
{
    Booking booking = newBooking();
    step(booking, ClaimAnswered { Granted {} }, early, true);
    return booking;
}

Event dispatchFailed(Reason reason) { return DispatchFailed { Common::makeError(reason, "dispatch", "failed") }; }

template <typename Kind> bool records(const StepResult& next, const Booking& booking)
{
    return std::holds_alternative<SendRecord>(next.action) && std::holds_alternative<Kind>(booking.outcome->kind);
}

} // namespace

TEST(Booking, WithoutALeaseOnlyAFirstSendIsReportedAsNotRun)
{
    Booking resend = newBooking();
    EXPECT_STREQ(answerCode(*start(resend, false).answer), "outcome-unknown");
    Booking first = newBooking();
    first.mayBeResend = false;
    EXPECT_STREQ(answerCode(*start(first, false).answer), "not-run");
}

TEST(Booking, AClaimGrantedAfterTheLeaseExpiredIsReleasedWithoutADispatch)
{
    Booking booking = newBooking();
    StepResult next = step(booking, ClaimAnswered { Granted {} }, early, false);
    EXPECT_TRUE(records<NotRun>(next, booking));
    next = step(booking, RecordAnswered { RecordResult::Recorded }, early, false);
    EXPECT_EQ(statusOf(*next.answer), 503);
    EXPECT_EQ(retryAfterOf(*next.answer), retryNotRunAfter);
}

TEST(Booking, DispatchesAgainOnlyIfTheRequestProvablyDidNotRun)
{
    for (Reason reason : { Reason::ConnectionFailed, Reason::Refused }) {
        Booking booking = dispatchedBooking();
        EXPECT_TRUE(std::holds_alternative<Dispatch>(step(booking, dispatchFailed(reason), early, true).action));
        EXPECT_TRUE(records<NotRun>(step(booking, dispatchFailed(reason), late, true), booking));
    }
    for (Reason reason : { Reason::ConnectionLost, Reason::DeadlineExceeded, Reason::Cancelled, Reason::Internal }) {
        Booking booking = dispatchedBooking();
        EXPECT_TRUE(records<Unknown>(step(booking, dispatchFailed(reason), early, true), booking));
    }
}

TEST(Booking, ALateOutcomeIsRecordedAfterTheCallerReceivedUnknown)
{
    Booking booking = dispatchedBooking();
    StepResult next = step(booking, DeadlinePassed {}, late, true);
    EXPECT_EQ(statusOf(*next.answer), 504);
    next = step(booking, DispatchAnswered { Completed { 200, "", "slot 7" } }, late, true);
    EXPECT_FALSE(next.answer);
    EXPECT_TRUE(records<Completed>(next, booking));
}

TEST(Booking, AnUnansweredClaimIsBlockedBeforeNotRunIsReported)
{
    Booking booking = newBooking();
    Event lost = ClaimFailed { Common::makeError(Reason::ConnectionLost, "propose", "no answer") };
    EXPECT_TRUE(std::holds_alternative<SendClaim>(step(booking, lost, early, true).action));
    StepResult next = step(booking, lost, late, true);
    EXPECT_TRUE(records<NotRun>(next, booking));
    EXPECT_FALSE(next.answer);
    Booking other = booking;
    EXPECT_STREQ(answerCode(*step(booking, RecordAnswered { RecordResult::Recorded }, late, true).answer), "not-run");
    EXPECT_STREQ(
        answerCode(*step(other, RecordAnswered { RecordResult::Stale }, late, true).answer), "outcome-unknown");
}

TEST(Booking, AClaimInDoubtIsBlockedAfterTheCallerWasAnswered)
{
    Booking booking = newBooking();
    step(booking, ClaimFailed { Common::makeError(Reason::ConnectionLost, "propose", "no answer") }, early, true);
    StepResult next = step(booking, ClaimAnswered { Refused { ClaimRefusal::Full } }, early, true);
    EXPECT_STREQ(answerCode(*next.answer), "not-run");
    EXPECT_TRUE(records<NotRun>(next, booking));
    EXPECT_FALSE(step(booking, RecordAnswered { RecordResult::Recorded }, early, true).answer);
    EXPECT_EQ(booking.stage, Stage::Finished);
}

TEST(Booking, OnlyABadRequestProvesThatTheBackendServerRanNothing)
{
    auto declined = Once::classifyResponse(400, "text/plain", "no");
    EXPECT_TRUE(std::holds_alternative<Once::RefusedByBackend>(declined.outcome));
    for (int status : { 200, 201, 404, 408, 409, 429 }) {
        auto answered = Once::classifyResponse(status, "text/plain", "body");
        auto completed = std::get_if<Once::Completed>(&answered.outcome);
        ASSERT_TRUE(completed) << status;
        EXPECT_EQ(completed->status, status);
        EXPECT_EQ(completed->body, "body");
    }
}
