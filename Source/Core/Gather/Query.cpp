#include "Gather/Query.h"

#include "Common/Assert.h"

#include <algorithm>
#include <cmath>
#include <utility>

using Common::AttemptId;
using Common::Reason;
using Common::TimePoint;

namespace Gather {

namespace {

    constexpr int attemptBits = 8; // The low bits of an attempt's id number it within its part.
    constexpr int maximumAttemptsCeiling = 16; // Attempt numbers must fit in attemptBits.
    constexpr int spareRetryRequests = 6; // Repeated requests for retries and hedges that got no budget or slot.
    constexpr double initialDenialBackoff = 0.5; // In hedge delays; doubles with each denial.

    size_t partIndex(AttemptId id) { return static_cast<size_t>(id.value() >> attemptBits); }

    Part* partOf(Query& query, AttemptId id)
    {
        size_t i = partIndex(id);
        return i < query.parts.size() ? &query.parts[i] : nullptr;
    }

    Attempt* findAttempt(Part& part, AttemptId id)
    {
        auto it = std::find_if(part.attempts.begin(), part.attempts.end(), [&](auto& a) { return a.id == id; });
        return it == part.attempts.end() ? nullptr : &*it;
    }

    void removeAttempt(Part& part, AttemptId id)
    {
        std::erase_if(part.attempts, [&](const Attempt& a) { return a.id == id; });
    }

    void requestAttempt(Query& query, Part& part, Purpose purpose, Effects& effects)
    {
        auto i = static_cast<uint64_t>(&part - query.parts.data());
        AttemptId id((i << attemptBits) | part.requested++);
        part.attempts.push_back({ id, purpose, false, {} });
        effects.emplace_back(
            StartAttempt { id, part.shard.id, part.shard.range, purpose, part.usedServers, part.usedDomains });
    }

    void cancelAttempts(Part& part, Effects& effects)
    {
        for (Attempt& attempt : part.attempts)
            effects.emplace_back(CancelAttempt { attempt.id, std::move(attempt.server) });
        part.attempts.clear();
    }

    void setReason(Part& part, Reason reason, std::string detail)
    {
        part.reason = reason;
        part.detail = std::move(detail);
    }

    void closePart(Query& query, Part& part, Part::State state)
    {
        CORIANDERLOCK_INVARIANT(part.state == Part::State::Open, "a part was closed twice");
        part.state = state;
        --query.openParts;
    }

    bool mayRequestRetry(const Query& query, const Part& part)
    {
        return query.options.mayRetry && part.sent < query.options.maximumAttempts && part.retryRequestsLeft > 0;
    }

    bool isLater(const Query::Timer& a, const Query::Timer& b) { return a.when > b.when; }

    void setTimer(Query& query, const Part& part, TimePoint when, Effects& effects)
    {
        query.timers.push_back({ when, static_cast<size_t>(&part - query.parts.data()) });
        std::push_heap(query.timers.begin(), query.timers.end(), isLater);
        if (when >= query.nextWake)
            return;
        query.nextWake = when;
        effects.emplace_back(WakeAt { when });
    }

    size_t takeTimer(Query& query)
    {
        std::pop_heap(query.timers.begin(), query.timers.end(), isLater);
        size_t part = query.timers.back().part;
        query.timers.pop_back();
        return part;
    }

    // An attempt has ended without an answer: wait for the other attempts, retry on another server, or give up.
    void retryOrGiveUp(Query& query, Part& part, Effects& effects)
    {
        if (!part.attempts.empty())
            return;
        if (!mayRequestRetry(query, part)) {
            closePart(query, part, Part::State::Missing);
            return;
        }
        --part.retryRequestsLeft;
        requestAttempt(query, part, Purpose::Retry, effects);
    }

    void fireTimer(Query& query, Part& part, Effects& effects)
    {
        if (part.state != Part::State::Open)
            return;
        if (part.attempts.empty()) {
            retryOrGiveUp(query, part, effects);
            return;
        }
        bool waiting = std::any_of(part.attempts.begin(), part.attempts.end(), [](auto& a) { return !a.started; });
        if (waiting || part.hedged || !mayRequestRetry(query, part))
            return;
        --part.retryRequestsLeft;
        requestAttempt(query, part, Purpose::Hedge, effects);
    }

    MissingPart describeMissing(Part& part)
    {
        if (part.state == Part::State::Open && part.detail.empty()) {
            if (part.sent)
                setReason(part, Reason::DeadlineExceeded,
                    "no answer in time" + (part.usedServers.empty() ? "" : " from " + part.usedServers.back().value()));
            else
                setReason(part, Reason::Overloaded, "no slot in time");
        }
        return { part.shard.id, part.shard.range, part.reason, std::move(part.detail) };
    }

    void addMissing(Query& query, Answer& answer)
    {
        Common::KeyRangeSet accountedFor = query.merged;
        for (Part& part : query.parts) {
            if (part.state == Part::State::Merged)
                continue;
            if (query.merged.contains(part.shard.range))
                continue;
            accountedFor.add(part.shard.range);
            answer.missing.push_back(describeMissing(part));
        }
        for (const Common::KeyRange& range : accountedFor.gaps())
            answer.missing.push_back({ {}, range, Reason::NotFound, "no shard of the index version covers it" });
    }

    bool meansNothingSent(Reason reason)
    {
        return reason == Reason::Overloaded || reason == Reason::Unavailable || reason == Reason::Refused
            || reason == Reason::ConnectionFailed;
    }

    Reason refusalReason(const Query& query, const Answer& answer, TimePoint now)
    {
        bool sent = query.counts.firstSends + query.counts.retries + query.counts.hedges > 0;
        Reason first = answer.missing.empty() ? Reason::Unavailable : answer.missing.front().reason;
        if (!sent)
            return first == Reason::NotFound ? Reason::Unavailable : first;
        if (!meansNothingSent(first))
            return first;
        return now >= subRequestDeadline(query) ? Reason::DeadlineExceeded : Reason::ConnectionLost;
    }

    void refuseBelowMinimum(const Query& query, Answer& answer, TimePoint now)
    {
        if (answer.coverage.value() > 0 && answer.coverage >= query.options.minimumCoverage)
            return;
        std::string detail = answer.missing.empty() ? "" : ": " + answer.missing.front().detail;
        answer.refusal = Common::makeError(refusalReason(query, answer, now), "gather",
            "coverage " + std::to_string(answer.coverage.value()) + " of at least "
                + std::to_string(query.options.minimumCoverage.value()) + detail);
        answer.results.clear();
    }

    uint64_t mergedKeySpaceSize(const Query& query)
    {
        uint64_t n = 0;
        for (const Part& part : query.parts)
            n += part.state == Part::State::Merged ? part.shard.range.size() : 0;
        return n;
    }

    Answer makeAnswer(Query& query, TimePoint now)
    {
        Answer answer;
        answer.complete = query.merged.isWhole();
        answer.coverage = query.merged.coverage();
        answer.snapshot = query.plan.version;
        answer.counts = query.counts;
        answer.results = std::move(query.results);
        std::sort(answer.results.begin(), answer.results.end());
        answer.results.erase(std::unique(answer.results.begin(), answer.results.end()), answer.results.end());
        addMissing(query, answer);
        refuseBelowMinimum(query, answer, now);
        CORIANDERLOCK_INVARIANT(answer.complete == answer.missing.empty(), "complete although a part is missing");
        CORIANDERLOCK_INVARIANT(
            query.merged.size() <= mergedKeySpaceSize(query), "coverage above the merged key space");
        return answer;
    }

    void finish(Query& query, TimePoint now, Effects& effects)
    {
        CORIANDERLOCK_INVARIANT(!query.finished, "a query was answered twice");
        query.finished = true;
        effects.emplace_back(Finish { makeAnswer(query, now) });
        for (Part& part : query.parts)
            cancelAttempts(part, effects);
    }

    void finishIfDone(Query& query, TimePoint now, Effects& effects)
    {
        if (query.openParts == 0 || now >= subRequestDeadline(query))
            finish(query, now, effects);
    }

    // The server did not run the request, so a retry may go there again: routing accounts for its shedding.
    void undoSend(Part& part, const Attempt& attempt)
    {
        auto it = std::find(part.usedServers.begin(), part.usedServers.end(), attempt.server);
        if (it == part.usedServers.end())
            return;
        part.usedDomains.erase(part.usedDomains.begin() + (it - part.usedServers.begin()));
        part.usedServers.erase(it);
        --part.sent;
    }

    void failAttempt(
        Query& query, Part& part, AttemptId id, const Common::Error& error, TimePoint now, Effects& effects)
    {
        setReason(part, error.reason, describe(error));
        removeAttempt(part, id);
        retryOrGiveUp(query, part, effects);
        finishIfDone(query, now, effects);
    }

    void merge(Query& query, Part& part, Common::IndexVersion version, std::vector<Item> items)
    {
        CORIANDERLOCK_INVARIANT(version == query.plan.version, "a sub-answer from another index version");
        query.merged.add(part.shard.range);
        query.results.insert(
            query.results.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
        closePart(query, part, Part::State::Merged);
    }

    Common::Error mismatchError(const Query& query, const Part& part, AttemptId id, Common::IndexVersion version,
        Common::ShardId shard, Common::KeyRange range)
    {
        auto attempt = std::find_if(part.attempts.begin(), part.attempts.end(), [&](auto& a) { return a.id == id; });
        auto text = [](Common::IndexVersion v, Common::ShardId s, Common::KeyRange r) {
            return "version " + std::to_string(v.value()) + " shard " + std::to_string(s.value()) + " ["
                + std::to_string(r.begin) + ", " + std::to_string(r.end) + ")";
        };
        return Common::makeError(Reason::Conflict, "merge",
            "answer from " + text(version, shard, range) + ", expected "
                + text(query.plan.version, part.shard.id, part.shard.range),
            attempt->server.value());
    }

    void countSend(SendCounts& counts, Purpose purpose)
    {
        switch (purpose) {
        case Purpose::First:
            ++counts.firstSends;
            break;
        case Purpose::Retry:
            ++counts.retries;
            break;
        case Purpose::Hedge:
            ++counts.hedges;
            break;
        }
    }

} // namespace

TimePoint subRequestDeadline(const Query& query) { return query.options.deadline - query.options.returnMargin; }

Query makeQuery(Plan plan, QueryOptions options)
{
    Query query;
    query.plan = std::move(plan);
    query.options = options;
    query.options.maximumAttempts = std::clamp(options.maximumAttempts, 1, maximumAttemptsCeiling);
    return query;
}

Effects start(Query& query, TimePoint now, Common::Milliseconds hedgeDelay)
{
    CORIANDERLOCK_INVARIANT(query.parts.empty() && !query.finished, "a query was started twice");
    Effects effects;
    query.hedgeDelay = hedgeDelay;
    query.openParts = query.plan.shards.size();
    query.parts.resize(query.openParts);
    for (size_t i = 0; i < query.parts.size(); ++i) {
        query.parts[i].shard = query.plan.shards[i];
        query.parts[i].retryRequestsLeft = static_cast<uint8_t>(query.options.maximumAttempts - 1 + spareRetryRequests);
    }
    query.plan.shards = {};
    finishIfDone(query, now, effects);
    if (query.finished)
        return effects;
    effects.reserve(query.parts.size() + 1);
    for (Part& part : query.parts)
        requestAttempt(query, part, Purpose::First, effects);
    query.nextWake = subRequestDeadline(query);
    effects.emplace_back(WakeAt { query.nextWake });
    return effects;
}

Effects attemptStarted(Query& query, AttemptId id, const Common::BackendServerId& server,
    const Common::FailureDomain& domain, TimePoint now)
{
    Effects effects;
    Part* part = partOf(query, id);
    Attempt* attempt = part ? findAttempt(*part, id) : nullptr;
    if (query.finished || !attempt) {
        effects.emplace_back(CancelAttempt { id, server });
        return effects;
    }
    if (attempt->started)
        return effects;
    attempt->started = true;
    attempt->server = server;
    countSend(query.counts, attempt->purpose);
    part->hedged = part->hedged || attempt->purpose == Purpose::Hedge;
    ++part->sent;
    CORIANDERLOCK_INVARIANT(part->sent <= query.options.maximumAttempts, "more attempts than allowed");
    part->usedServers.push_back(server);
    part->usedDomains.push_back(domain);
    if (!part->hedged && mayRequestRetry(query, *part))
        setTimer(query, *part, now + query.hedgeDelay, effects);
    return effects;
}

Effects attemptNotStarted(Query& query, AttemptId id, const Common::Error& error, TimePoint now)
{
    Effects effects;
    Part* part = partOf(query, id);
    Attempt* attempt = part ? findAttempt(*part, id) : nullptr;
    if (query.finished || !attempt)
        return effects;
    Purpose purpose = attempt->purpose;
    removeAttempt(*part, id);
    if (purpose != Purpose::First && error.reason == Reason::Overloaded && mayRequestRetry(query, *part)) {
        // The first sends of other queries refill the budget: request it again while there is time.
        setTimer(
            query, *part, now + query.hedgeDelay * initialDenialBackoff * std::exp2(part->deniedRetries++), effects);
    } else if (part->attempts.empty()) {
        // Keep the reason of an earlier attempt that was sent: it is more specific than that of one that was not.
        if (part->detail.empty())
            setReason(*part, error.reason, describe(error));
        closePart(query, *part, Part::State::Missing);
    }
    finishIfDone(query, now, effects);
    return effects;
}

Effects subAnswer(Query& query, AttemptId id, Common::IndexVersion version, Common::ShardId shard,
    Common::KeyRange range, std::vector<Item> items, TimePoint now)
{
    Effects effects;
    Part* part = partOf(query, id);
    if (query.finished || !part || !findAttempt(*part, id))
        return effects;
    if (version != query.plan.version || shard != part->shard.id || range != part->shard.range) {
        failAttempt(query, *part, id, mismatchError(query, *part, id, version, shard, range), now, effects);
        return effects;
    }
    removeAttempt(*part, id);
    merge(query, *part, version, std::move(items));
    cancelAttempts(*part, effects);
    finishIfDone(query, now, effects);
    return effects;
}

Effects attemptFailed(Query& query, AttemptId id, const Common::Error& error, TimePoint now)
{
    Effects effects;
    Part* part = partOf(query, id);
    Attempt* attempt = part ? findAttempt(*part, id) : nullptr;
    if (query.finished || !attempt)
        return effects;
    if (error.reason == Reason::Refused)
        undoSend(*part, *attempt);
    failAttempt(query, *part, id, error, now, effects);
    return effects;
}

Effects wake(Query& query, TimePoint now)
{
    Effects effects;
    if (query.finished)
        return effects;
    if (now >= subRequestDeadline(query)) {
        finish(query, now, effects);
        return effects;
    }
    while (!query.timers.empty() && query.timers.front().when <= now)
        fireTimer(query, query.parts[takeTimer(query)], effects);
    query.nextWake = subRequestDeadline(query);
    if (!query.timers.empty())
        query.nextWake = std::min(query.nextWake, query.timers.front().when);
    effects.emplace_back(WakeAt { query.nextWake });
    finishIfDone(query, now, effects);
    return effects;
}

void forbidRetries(Query& query) { query.options.mayRetry = false; }

} // namespace Gather
