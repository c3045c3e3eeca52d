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

    // Sends that the servers did not run are made again so often beyond the route's attempts.
    constexpr int extraSends = 2;
    // So long after its delivery a bundle can be resumed: two ways between instances, and some time for the other
    // bundles.
    constexpr Milliseconds resumeTime { 60 };
    // Wakes closer than that to the one that is set are left out.
    constexpr Milliseconds wakeSlack { 0.5 };

    bool mayRepeat(const Query& query) { return query.route->idempotency == Routes::Idempotency::Idempotent; }

    bool hasRunNowhere(const Query& query)
    {
        return std::all_of(query.parts.begin(), query.parts.end(), [](const Part& part) {
            bool isPending = std::any_of(part.attempts.begin(), part.attempts.end(),
                [](const Attempt& attempt) { return attempt.sentAt.has_value(); });
            return !part.mayHaveRun && !isPending && part.state != Part::State::In;
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

    // What is in and was not delivered before.
    Merged mergedOf(Query& query)
    {
        Merged merged;
        std::vector<const std::string*> bodies;
        for (size_t i = 0; i < query.parts.size(); ++i) {
            Part& part = query.parts[i];
            if (std::exchange(part.isDelivered, part.state == Part::State::In))
                continue;
            if (part.state != Part::State::In) {
                merged.missing.push_back({ i, part.state == Part::State::Open });
                continue;
            }
            merged.signatures.push_back(std::move(part.answer->signature));
            bodies.push_back(&part.answer->body);
        }
        merged.body = greatestRecords(bodies, query.route->fanOut->topRecords);
        return merged;
    }

    Answer successOf(Query& query)
    {
        if (!query.route->fanOut)
            return Forwarded { std::move(*query.parts.front().answer) };
        return mergedOf(query);
    }

    // A failure that a server answered with goes to the caller as it came, if there is nothing better.
    Answer failureOf(Query& query)
    {
        if (!query.route->fanOut && query.parts.front().answer)
            return Forwarded { std::move(*query.parts.front().answer) };
        bool notRun = hasRunNowhere(query);
        return Refusal { query.lastError, notRun, notRun ? refusedRetryAfter : Milliseconds(0) };
    }

    void finish(Query& query, Answer answer, Effects& effects)
    {
        query.finished = true;
        abandonAll(query, effects);
        effects.emplace_back(Finish { std::move(answer) });
    }

    void ask(Query& query, size_t index, Purpose purpose, bool isRepeat, Effects& effects)
    {
        Part& part = query.parts[index];
        ++part.asked;
        Attempt attempt;
        attempt.id = AttemptId(query.nextAttempt++);
        attempt.purpose = purpose;
        part.attempts.push_back(attempt);
        effects.emplace_back(Send { attempt.id, index, purpose, isRepeat, part.used });
    }

    bool canAskAgain(const Query& query, const Part& part, TimePoint now)
    {
        if (now >= query.times.end || part.asked >= query.route->maximumAttempts + extraSends)
            return false;
        return part.mayHaveRun == 0 || (mayRepeat(query) && part.mayHaveRun < query.route->maximumAttempts);
    }

    size_t undelivered(const Query& query)
    {
        return static_cast<size_t>(std::count_if(query.parts.begin(), query.parts.end(),
            [](const Part& part) { return part.state == Part::State::In && !part.isDelivered; }));
    }

    TimePoint resumeBy(const Query& query) { return query.times.aim + resumeTime; }

    // A bundle ends when nothing more can come, and is delivered at the aim.
    void concludeBundle(Query& query, TimePoint now, Effects& effects)
    {
        bool isOver = now >= query.times.end;
        if (query.isDelivered && !query.isResumed) {
            if (!isOver && now < resumeBy(query))
                return;
            query.finished = true;
            abandonAll(query, effects);
            effects.emplace_back(Forget {});
            return;
        }
        bool isDue = query.isResumed && undelivered(query) >= query.needed;
        if (!query.open || isOver || isDue) {
            finish(query, mergedOf(query), effects);
            return;
        }
        if (!query.isResumed && now >= query.times.aim) {
            query.isDelivered = true;
            effects.emplace_back(Deliver { mergedOf(query) });
        }
    }

    // Answers if the answer can't get better, or must not wait.
    void concludeIfDue(Query& query, TimePoint now, Effects& effects)
    {
        if (query.finished)
            return;
        if (query.isBundle) {
            concludeBundle(query, now, effects);
            return;
        }
        bool isEnough = query.in >= query.needed;
        bool isHopeless = query.in + query.open < query.needed;
        bool isOver = now >= query.times.end;
        if (isEnough && (!query.open || now >= query.times.aim)) {
            finish(query, successOf(query), effects);
        } else if (isHopeless || isOver) {
            if (isOver)
                query.lastError = Common::makeError(Reason::DeadlineExceeded, "relay", "no answer in time");
            finish(query, failureOf(query), effects);
        }
    }

    // Sets the wake for the next hedge or the next time at which the answer may have to go out.
    void setWake(Query& query, TimePoint now, Effects& effects)
    {
        if (query.finished)
            return;
        TimePoint next = query.times.end;
        if (query.times.aim > now)
            next = std::min(next, query.times.aim);
        if (query.isDelivered && !query.isResumed)
            next = std::min(next, resumeBy(query));
        for (const Part& part : query.parts) {
            if (part.state == Part::State::Open && part.hedgeAt && !part.hedged)
                next = std::min(next, *part.hedgeAt);
        }
        if (query.wakeAt > now && query.wakeAt <= next && next - query.wakeAt < wakeSlack)
            return;
        query.wakeAt = next;
        effects.emplace_back(WakeAt { next });
    }

    // After an attempt ended without an answer that can be used.
    void goOn(Query& query, Part& part, TimePoint now, Effects& effects)
    {
        if (!part.attempts.empty() || part.state != Part::State::Open)
            return;
        size_t index = static_cast<size_t>(&part - query.parts.data());
        if (canAskAgain(query, part, now)) {
            ask(query, index, Purpose::Retry, part.arrived > 0, effects);
            return;
        }
        part.state = Part::State::Lost;
        --query.open;
    }

    Effects settle(Query& query, TimePoint now, Effects effects)
    {
        concludeIfDue(query, now, effects);
        setWake(query, now, effects);
        return effects;
    }

    void takeIn(Query& query, Part& part, SubAnswer answer, Effects& effects)
    {
        part.state = Part::State::In;
        part.answer = std::move(answer);
        --query.open;
        ++query.in;
        for (const Attempt& other : part.attempts)
            effects.emplace_back(Abandon { other.id });
        part.attempts.clear();
    }

} // namespace

size_t neededGroups(const Routes::FanOut& fanOut, size_t groups)
{
    size_t needed = 1;
    // Counted up, since a product may round to either side of a whole number.
    while (
        needed < groups && static_cast<double>(needed) / static_cast<double>(groups) < fanOut.minimumCoverage.value())
        ++needed;
    return needed;
}

size_t mayMiss(const Routes::FanOut& fanOut, size_t groups) { return groups - neededGroups(fanOut, groups); }

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
    query.open = query.parts.size();
    return query;
}

Effects start(Query& query, TimePoint now, bool areRepeats)
{
    Effects effects;
    for (size_t i = 0; i < query.parts.size(); ++i) {
        query.parts[i].mayHaveRun = areRepeats ? 1 : 0;
        ask(query, i, Purpose::First, areRepeats, effects);
    }
    setWake(query, now, effects);
    return effects;
}

Effects resume(Query& query, size_t needed, TimePoint now)
{
    if (query.finished || !query.isDelivered)
        return {};
    query.isResumed = true;
    query.needed = needed;
    return settle(query, now, {});
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
    part->used.push_back(server);
    if (hedgeDelay && !part->hedged && mayRepeat(query))
        part->hedgeAt = now + *hedgeDelay;
    return true;
}

Effects notSent(Query& query, AttemptId id, const Error& error, TimePoint now)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return {};
    Effects effects;
    query.lastError = error;
    part->attempts.erase(part->attempts.begin() + static_cast<std::ptrdiff_t>(index));
    if (part->attempts.empty()) {
        part->state = Part::State::Lost;
        --query.open;
    }
    return settle(query, now, std::move(effects));
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
    ++part->arrived;
    switch (answer.outcome) {
    case SubAnswer::Outcome::Success:
        ++part->mayHaveRun;
        takeIn(query, *part, std::move(answer), effects);
        return settle(query, now, std::move(effects));
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
    goOn(query, *part, now, effects);
    return settle(query, now, std::move(effects));
}

Effects lost(Query& query, AttemptId id, Loss loss, const Error& error, TimePoint now)
{
    size_t index = 0;
    Part* part = findPart(query, id, index);
    if (!part || query.finished)
        return {};
    Effects effects;
    query.lastError = error;
    part->attempts.erase(part->attempts.begin() + static_cast<std::ptrdiff_t>(index));
    part->arrived += loss == Loss::NoConnection ? 0 : 1;
    part->mayHaveRun += loss == Loss::Unknown ? 1 : 0;
    goOn(query, *part, now, effects);
    return settle(query, now, std::move(effects));
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
        // What a bundle gets after the aim is late in any case.
        if (query.isBundle && now >= query.times.aim)
            continue;
        int mayRun = part.mayHaveRun + static_cast<int>(part.attempts.size());
        if (mayRun < query.route->maximumAttempts && part.asked < query.route->maximumAttempts + extraSends)
            ask(query, i, Purpose::Hedge, true, effects);
    }
    return settle(query, now, std::move(effects));
}

Effects callerGone(Query& query, TimePoint)
{
    if (query.finished)
        return {};
    Effects effects;
    finish(query, CallerGone {}, effects);
    return effects;
}

} // namespace Relay
