#include "Relay/Query.h"

#include "Relay/Merge.h"

#include <algorithm>
#include <utility>

namespace Relay {

using Common::AttemptId;
using Common::Error;
using Common::Milliseconds;
using Common::Reason;
using Common::TimePoint;

namespace {

    // Sends allowed beyond the route's attempts, for requests that the servers did not run.
    constexpr int maximumExtraSends = 2;
    // How long after its delivery a bundle can be resumed: the round trip between two instances, and some time for the
    // other bundles.
    constexpr Milliseconds resumeWindow { 60 };
    // A new wake-up time this close to the one that is set does not replace it.
    constexpr Milliseconds wakeTolerance { 0.5 };
    // A machine with a tenth of a core may run a timer this late.
    constexpr Milliseconds overdueAfter { 100 };

    bool isStopped(const Query& query, TimePoint now) { return query.stopAt && now >= *query.stopAt; }

    TimePoint deadlineOf(const Query& query)
    {
        return std::min(query.times.deadline, query.stopAt.value_or(query.times.deadline));
    }

    TimePoint objectiveOf(const Query& query)
    {
        return std::min(query.times.objective, query.stopAt.value_or(query.times.objective));
    }

    Error endError(const Query& query, TimePoint now)
    {
        return isStopped(query, now) ? Common::makeError(Reason::Unavailable, "relay", "this instance is stopping")
                                     : Common::makeError(Reason::DeadlineExceeded, "relay", "no answer in time");
    }

    bool isIdempotent(const Query& query) { return query.route->idempotency == Routes::Idempotency::Idempotent; }

    bool isKnownNotRun(const Query& query)
    {
        return std::all_of(query.parts.begin(), query.parts.end(), [](const Part& part) {
            bool isPending = std::any_of(part.attempts.begin(), part.attempts.end(),
                [](const Attempt& attempt) { return attempt.sentAt.has_value(); });
            return !part.mayHaveRun && !isPending && part.state != Part::State::Answered;
        });
    }

    Part* findPart(Query& query, AttemptId id, size_t& index)
    {
        for (Part& part : query.parts) {
            for (size_t i = 0; i < part.attempts.size(); ++i) {
                if (part.attempts[i].id == id) {
                    index = i;
                    return &part;
                }
            }
        }
        return nullptr;
    }

    void abandonAll(Query& query, Effects& effects)
    {
        for (Part& part : query.parts) {
            for (const Attempt& attempt : part.attempts)
                effects.emplace_back(Abandon { attempt.id });
            part.attempts.clear();
        }
    }

    // Merges the answers that have not been delivered yet.
    Merged takeMerged(Query& query)
    {
        Merged merged;
        std::vector<const std::string*> bodies;
        for (size_t i = 0; i < query.parts.size(); ++i) {
            Part& part = query.parts[i];
            if (std::exchange(part.isDelivered, part.state == Part::State::Answered))
                continue;
            if (part.state != Part::State::Answered) {
                merged.missing.push_back({ i, part.state == Part::State::Open });
                continue;
            }
            merged.signatures.push_back(std::move(part.answer->signature));
            bodies.push_back(&part.answer->body);
        }
        merged.body = greatestRecords(bodies, query.route->fanOut->topRecords);
        return merged;
    }

    Answer takeSuccess(Query& query)
    {
        if (!query.route->fanOut)
            return Forwarded { std::move(*query.parts.front().answer) };
        return takeMerged(query);
    }

    // A failed answer from the server is forwarded unchanged if there is no better one.
    Answer takeFailure(Query& query)
    {
        if (!query.route->fanOut && query.parts.front().answer)
            return Forwarded { std::move(*query.parts.front().answer) };
        bool notRun = isKnownNotRun(query);
        return Refusal { query.lastError, notRun, notRun ? query.retryAfter : Milliseconds(0) };
    }

    void finish(Query& query, Answer answer, Effects& effects)
    {
        query.finished = true;
        abandonAll(query, effects);
        effects.emplace_back(Finish { std::move(answer) });
    }

    AttemptId addAttempt(Query& query, size_t index, Purpose purpose, bool needsRetryBudget, Effects& effects)
    {
        Part& part = query.parts[index];
        ++part.sends;
        Attempt attempt;
        attempt.id = AttemptId(query.nextAttempt++);
        attempt.purpose = purpose;
        part.attempts.push_back(attempt);
        effects.emplace_back(Send { attempt.id, index, purpose, needsRetryBudget, part.usedServers });
        return attempt.id;
    }

    // A first send needs the budget only if another instance may have sent before.
    AttemptId sendPart(Query& query, size_t index, Purpose purpose, Effects& effects)
    {
        const Part& part = query.parts[index];
        bool needsRetryBudget = purpose == Purpose::First ? part.mayHaveRun > 0 : part.mayHaveArrived > 0;
        return addAttempt(query, index, purpose, needsRetryBudget, effects);
    }

    void fail(Query& query, Part& part)
    {
        part.state = Part::State::Failed;
        --query.openParts;
    }

    void hold(Query& query, Part& part, Purpose purpose)
    {
        part.held = purpose;
        ++query.heldParts;
    }

    // Sends the held parts if the trial was answered, drops them if its server was lost, and otherwise makes the next
    // one the trial.
    void settleHeld(Query& query, Effects& effects)
    {
        for (size_t i = 0; i < query.parts.size() && query.heldParts && !query.trial; ++i) {
            Part& part = query.parts[i];
            if (!part.held)
                continue;
            Purpose purpose = *std::exchange(part.held, std::nullopt);
            --query.heldParts;
            if (query.hasCrashed) {
                fail(query, part);
                continue;
            }
            AttemptId id = sendPart(query, i, purpose, effects);
            if (!query.isHarmless)
                query.trial = id;
        }
    }

    enum class Ending {
        Answered, // By a server that ran the request.
        Lost,
        Other,
    };

    void endTrial(Query& query, AttemptId id, Ending ending)
    {
        if (query.trial != id)
            return;
        query.trial.reset();
        query.isHarmless = query.isHarmless || ending == Ending::Answered;
        query.hasCrashed = query.hasCrashed || ending == Ending::Lost;
    }

    bool canRetry(const Query& query, const Part& part, TimePoint now)
    {
        if (now >= deadlineOf(query) || part.sends >= query.route->maximumAttempts + maximumExtraSends)
            return false;
        if (query.hasCrashed)
            return false;
        return part.mayHaveRun == 0 || (isIdempotent(query) && part.mayHaveRun < query.route->maximumAttempts);
    }

    size_t undeliveredAnswers(const Query& query)
    {
        return static_cast<size_t>(std::count_if(query.parts.begin(), query.parts.end(),
            [](const Part& part) { return part.state == Part::State::Answered && !part.isDelivered; }));
    }

    TimePoint resumeDeadline(const Query& query) { return objectiveOf(query) + resumeWindow; }

    // A bundle is delivered at the latency objective, and ends when no further answer can arrive.
    void concludeBundle(Query& query, TimePoint now, Effects& effects)
    {
        bool isPastDeadline = now >= deadlineOf(query);
        if (query.isDelivered && !query.isResumed) {
            if (!isPastDeadline && now < resumeDeadline(query))
                return;
            query.finished = true;
            abandonAll(query, effects);
            effects.emplace_back(Expire {});
            return;
        }
        bool isDue = query.isResumed && undeliveredAnswers(query) >= query.needed;
        if (!query.openParts || isPastDeadline || isDue) {
            bool isRefused = !query.isDelivered && isKnownNotRun(query);
            if (isStopped(query, now))
                query.lastError = endError(query, now);
            finish(query, isRefused ? takeFailure(query) : takeMerged(query), effects);
            return;
        }
        if (!query.isResumed && now >= objectiveOf(query)) {
            query.isDelivered = true;
            effects.emplace_back(Deliver { takeMerged(query) });
        }
    }

    // Finishes the query if its answer cannot improve or is due.
    void concludeIfDue(Query& query, TimePoint now, Effects& effects)
    {
        if (query.finished)
            return;
        if (query.isBundle) {
            concludeBundle(query, now, effects);
            return;
        }
        bool isEnough = query.answeredParts >= query.needed;
        bool cannotSucceed = query.answeredParts + query.openParts < query.needed;
        bool isPastDeadline = now >= deadlineOf(query);
        if (isEnough && (!query.openParts || now >= objectiveOf(query))) {
            finish(query, takeSuccess(query), effects);
        } else if (cannotSucceed || isPastDeadline) {
            if (isPastDeadline)
                query.lastError = endError(query, now);
            finish(query, takeFailure(query), effects);
        }
    }

    // Sets the timer to the next hedge or the next time at which the answer may be due.
    void setWake(Query& query, TimePoint now, Effects& effects)
    {
        if (query.finished)
            return;
        TimePoint next = deadlineOf(query);
        if (objectiveOf(query) > now)
            next = std::min(next, objectiveOf(query));
        if (query.isDelivered && !query.isResumed)
            next = std::min(next, resumeDeadline(query));
        for (const Part& part : query.parts) {
            if (part.state == Part::State::Open && part.hedgeAt && !part.hedged)
                next = std::min(next, *part.hedgeAt);
        }
        if (query.wakeAt > now && query.wakeAt <= next && next - query.wakeAt < wakeTolerance)
            return;
        query.wakeAt = next;
        effects.emplace_back(WakeAt { next });
    }

    // Retries a part whose last attempt ended without a usable answer, or marks it as failed.
    void retryOrFail(Query& query, Part& part, Ending ending, TimePoint now, Effects& effects)
    {
        if (!part.attempts.empty() || part.state != Part::State::Open)
            return;
        size_t index = static_cast<size_t>(&part - query.parts.data());
        if (!canRetry(query, part, now)) {
            fail(query, part);
            return;
        }
        if (ending != Ending::Lost || query.isHarmless)
            sendPart(query, index, Purpose::Retry, effects);
        else
            hold(query, part, Purpose::Retry);
    }

    Effects concludeAndSetWake(Query& query, TimePoint now, Effects effects)
    {
        concludeIfDue(query, now, effects);
        setWake(query, now, effects);
        return effects;
    }

    void acceptAnswer(Query& query, Part& part, SubAnswer answer, Effects& effects)
    {
        part.state = Part::State::Answered;
        part.answer = std::move(answer);
        --query.openParts;
        ++query.answeredParts;
        for (const Attempt& other : part.attempts)
            effects.emplace_back(Abandon { other.id });
        part.attempts.clear();
    }

} // namespace

bool isOverdue(const Times& times, TimePoint now) { return now > times.deadline + overdueAfter; }

size_t neededGroups(const Routes::FanOut& fanOut, size_t groups)
{
    size_t needed = 1;
    // Counts up instead of rounding up a product, which floating-point error may put on either side of a whole number.
    while (
        needed < groups && static_cast<double>(needed) / static_cast<double>(groups) < fanOut.minimumCoverage.value())
        ++needed;
    return needed;
}

size_t allowedMissing(const Routes::FanOut& fanOut, size_t groups) { return groups - neededGroups(fanOut, groups); }

Query makeQuery(Routes::TablePtr table, const Routes::Route& route, const std::vector<Common::GroupName>& groups,
    size_t needed, bool isBundle, const Times& times)
{
    Query query;
    query.needed = needed;
    query.isBundle = isBundle;
    query.table = std::move(table);
    query.route = &route;
    query.times = times;
    query.lastError = Common::makeError(Reason::Unavailable, "relay", "nothing was sent");
    for (const Common::GroupName& group : groups) {
        Part part;
        part.group = group;
        query.parts.push_back(std::move(part));
    }
    query.openParts = query.parts.size();
    return query;
}

Effects start(Query& query, TimePoint now, const StartOptions& options)
{
    Effects effects;
    for (size_t i = 0; i < query.parts.size(); ++i) {
        Part& part = query.parts[i];
        part.mayHaveRun = options.mayHaveBeenSent ? 1 : 0;
        if (part.mayHaveRun >= query.route->maximumAttempts)
            fail(query, part);
        else if (options.isSuspect)
            hold(query, part, Purpose::First);
        else
            sendPart(query, i, Purpose::First, effects);
    }
    settleHeld(query, effects);
    if (!query.openParts)
        return concludeAndSetWake(query, now, std::move(effects));
    setWake(query, now, effects);
    return effects;
}

Effects resume(Query& query, size_t needed, TimePoint now)
{
    if (query.finished || !query.isDelivered)
        return {};
    query.isResumed = true;
    query.needed = needed;
    return concludeAndSetWake(query, now, {});
}

bool sent(Query& query, AttemptId id, const Common::BackendServerId& server, TimePoint now,
    std::optional<Milliseconds> hedgeDelay)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return false;
    part->attempts[index].sentAt = now;
    part->attempts[index].server = server;
    part->usedServers.push_back(server);
    if (hedgeDelay && !part->hedged && isIdempotent(query))
        part->hedgeAt = now + *hedgeDelay;
    return true;
}

Effects notSent(Query& query, AttemptId id, const Error& error, TimePoint now, std::optional<Milliseconds> retryAfter)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return {};
    Effects effects;
    query.lastError = error;
    if (retryAfter)
        query.retryAfter = std::max(query.retryAfter, *retryAfter);
    part->attempts.erase(part->attempts.begin() + static_cast<std::ptrdiff_t>(index));
    endTrial(query, id, Ending::Other);
    if (part->attempts.empty())
        fail(query, *part);
    settleHeld(query, effects);
    return concludeAndSetWake(query, now, std::move(effects));
}

Effects answered(Query& query, AttemptId id, SubAnswer answer, TimePoint now)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return {};
    Effects effects;
    Common::BackendServerId server = part->attempts[index].server;
    part->attempts.erase(part->attempts.begin() + static_cast<std::ptrdiff_t>(index));
    ++part->mayHaveArrived;
    bool hasRun = answer.outcome == SubAnswer::Outcome::Success || answer.outcome == SubAnswer::Outcome::Failure;
    endTrial(query, id, hasRun ? Ending::Answered : Ending::Other);
    switch (answer.outcome) {
    case SubAnswer::Outcome::Success:
        ++part->mayHaveRun;
        acceptAnswer(query, *part, std::move(answer), effects);
        settleHeld(query, effects);
        return concludeAndSetWake(query, now, std::move(effects));
    case SubAnswer::Outcome::NotRun:
    case SubAnswer::Outcome::OtherServer:
        query.lastError
            = Common::makeError(Reason::Overloaded, "relay", "status " + std::to_string(answer.status), server.value());
        break;
    case SubAnswer::Outcome::Failure:
    case SubAnswer::Outcome::Unusable:
        ++part->mayHaveRun;
        query.lastError
            = Common::makeError(Reason::Internal, "relay", "status " + std::to_string(answer.status), server.value());
        if (answer.outcome == SubAnswer::Outcome::Failure && !query.route->fanOut)
            part->answer = std::move(answer);
        break;
    }
    retryOrFail(query, *part, Ending::Other, now, effects);
    settleHeld(query, effects);
    return concludeAndSetWake(query, now, std::move(effects));
}

Effects sendFailed(Query& query, AttemptId id, SendFailure failure, const Error& error, TimePoint now)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return {};
    Effects effects;
    query.lastError = error;
    part->attempts.erase(part->attempts.begin() + static_cast<std::ptrdiff_t>(index));
    part->mayHaveArrived += failure == SendFailure::NoConnection ? 0 : 1;
    part->mayHaveRun += failure == SendFailure::Unknown ? 1 : 0;
    Ending ending = failure == SendFailure::Unknown ? Ending::Lost : Ending::Other;
    endTrial(query, id, ending);
    retryOrFail(query, *part, ending, now, effects);
    settleHeld(query, effects);
    return concludeAndSetWake(query, now, std::move(effects));
}

Effects wake(Query& query, TimePoint now)
{
    if (query.finished)
        return {};
    Effects effects;
    for (size_t i = 0; i < query.parts.size(); ++i) {
        Part& part = query.parts[i];
        bool isDue = part.state == Part::State::Open && part.hedgeAt && !part.hedged && now >= *part.hedgeAt;
        if (!isDue)
            continue;
        part.hedged = true;
        // An answer that a bundle receives after the objective is late anyway.
        if (query.isBundle && now >= query.times.objective)
            continue;
        if (query.trial || part.held || query.hasCrashed)
            continue;
        int mayRun = part.mayHaveRun + static_cast<int>(part.attempts.size());
        if (mayRun < query.route->maximumAttempts && part.sends < query.route->maximumAttempts + maximumExtraSends)
            addAttempt(query, i, Purpose::Hedge, true, effects);
    }
    return concludeAndSetWake(query, now, std::move(effects));
}

std::optional<Purpose> purposeOf(const Query& query, AttemptId id)
{
    for (const Part& part : query.parts) {
        for (const Attempt& attempt : part.attempts) {
            if (attempt.id == id)
                return attempt.purpose;
        }
    }
    return std::nullopt;
}

Effects callerGone(Query& query, TimePoint)
{
    if (query.finished)
        return {};
    Effects effects;
    finish(query, CallerGone {}, effects);
    return effects;
}

Effects stopBy(Query& query, TimePoint stopAt, TimePoint now)
{
    query.stopAt = stopAt;
    return concludeAndSetWake(query, now, {});
}

} // namespace Relay
