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

    constexpr int attemptBits = 8; // The low bits of an attempt's id number it inside its part.
    constexpr int attemptCeiling = 16; // For maximumAttempts, so that numbers fit in the bits.
    constexpr int spareAsks = 6; // How often an extra that found no budget is asked for again.
    constexpr double askAgainAfter = 0.5; // Hedge delays; doubles with each time.

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

    void ask(Query& query, Part& part, Purpose purpose, Effects& effects)
    {
        auto i = static_cast<uint64_t>(&part - query.parts.data());
        AttemptId id((i << attemptBits) | part.asked++);
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

    void explain(Part& part, Reason reason, std::string detail)
    {
        part.reason = reason;
        part.detail = std::move(detail);
    }

    void close(Query& query, Part& part, Part::State state)
    {
        CORIANDERLOCK_INVARIANT(part.state == Part::State::Open, "a part closed twice");
        part.state = state;
        --query.openParts;
    }

    bool mayAskExtra(const Query& query, const Part& part)
    {
        return query.options.mayRetry && part.sent < query.options.maximumAttempts && part.asksLeft > 0;
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

    // An attempt has ended without an answer: wait for the others, try elsewhere, or give up.
    void afterLoss(Query& query, Part& part, Effects& effects)
    {
        if (!part.attempts.empty())
            return;
        if (!mayAskExtra(query, part)) {
            close(query, part, Part::State::Missing);
            return;
        }
        --part.asksLeft;
        ask(query, part, Purpose::Retry, effects);
    }

    void fireTimer(Query& query, Part& part, Effects& effects)
    {
        if (part.state != Part::State::Open)
            return;
        if (part.attempts.empty()) {
            afterLoss(query, part, effects);
            return;
        }
        bool waiting = std::any_of(part.attempts.begin(), part.attempts.end(), [](auto& a) { return !a.started; });
        if (waiting || part.hedged || !mayAskExtra(query, part))
            return;
        --part.asksLeft;
        ask(query, part, Purpose::Hedge, effects);
    }

    MissingPart describeMissing(Part& part)
    {
        if (part.state == Part::State::Open && part.detail.empty()) {
            if (part.sent)
                explain(part, Reason::DeadlineExceeded,
                    "no answer in time" + (part.usedServers.empty() ? "" : " from " + part.usedServers.back().value()));
            else
                explain(part, Reason::Overloaded, "no slot in time");
        }
        return { part.shard.id, part.shard.range, part.reason, std::move(part.detail) };
    }

    void addMissing(Query& query, Answer& answer)
    {
        Common::KeyRangeSet named = query.merged;
        for (Part& part : query.parts) {
            if (part.state == Part::State::Merged)
                continue;
            if (query.merged.contains(part.shard.range))
                continue;
            named.add(part.shard.range);
            answer.missing.push_back(describeMissing(part));
        }
        for (const Common::KeyRange& range : named.gaps())
            answer.missing.push_back({ {}, range, Reason::NotFound, "no shard of the index version has it" });
    }

    bool saysNothingSent(Reason reason)
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
        if (!saysNothingSent(first))
            return first;
        return now >= subRequestDeadline(query) ? Reason::DeadlineExceeded : Reason::ConnectionLost;
    }

    void refuseIfTooLittle(const Query& query, Answer& answer, TimePoint now)
    {
        if (answer.coverage.value() > 0 && answer.coverage >= query.options.minimumCoverage)
            return;
        std::string detail = answer.missing.empty() ? "" : ": " + answer.missing.front().detail;
        answer.refusal = Common::makeError(refusalReason(query, answer, now), "gather",
            "coverage " + std::to_string(answer.coverage.value()) + " of at least "
                + std::to_string(query.options.minimumCoverage.value()) + detail);
        answer.results.clear();
    }

    uint64_t mergedPoints(const Query& query)
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
        refuseIfTooLittle(query, answer, now);
        CORIANDERLOCK_INVARIANT(answer.complete == answer.missing.empty(), "complete with a part missing");
        CORIANDERLOCK_INVARIANT(query.merged.size() <= mergedPoints(query), "coverage above what was merged");
        return answer;
    }

    void finish(Query& query, TimePoint now, Effects& effects)
    {
        CORIANDERLOCK_INVARIANT(!query.finished, "a query answered twice");
        query.finished = true;
        effects.emplace_back(Finish { makeAnswer(query, now) });
        for (Part& part : query.parts)
            cancelAttempts(part, effects);
    }

    void finishIfOver(Query& query, TimePoint now, Effects& effects)
    {
        if (query.openParts == 0 || now >= subRequestDeadline(query))
            finish(query, now, effects);
    }

    // A server that said it did not run the request may be asked again; routing knows that it sheds.
    void forgetSend(Part& part, const Attempt& attempt)
    {
        auto it = std::find(part.usedServers.begin(), part.usedServers.end(), attempt.server);
        if (it == part.usedServers.end())
            return;
        part.usedDomains.erase(part.usedDomains.begin() + (it - part.usedServers.begin()));
        part.usedServers.erase(it);
        --part.sent;
    }

    void fail(Query& query, Part& part, AttemptId id, const Common::Error& error, TimePoint now, Effects& effects)
    {
        explain(part, error.reason, describe(error));
        removeAttempt(part, id);
        afterLoss(query, part, effects);
        finishIfOver(query, now, effects);
    }

    void merge(Query& query, Part& part, Common::IndexVersion version, std::vector<Item> items)
    {
        CORIANDERLOCK_INVARIANT(version == query.plan.version, "a sub-answer from another index version");
        query.merged.add(part.shard.range);
        query.results.insert(
            query.results.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
        close(query, part, Part::State::Merged);
    }

    Common::Error mismatch(const Query& query, const Part& part, AttemptId id, Common::IndexVersion version,
        Common::ShardId shard, Common::KeyRange range)
    {
        auto attempt = std::find_if(part.attempts.begin(), part.attempts.end(), [&](auto& a) { return a.id == id; });
        auto text = [](Common::IndexVersion v, Common::ShardId s, Common::KeyRange r) {
            return "version " + std::to_string(v.value()) + " shard " + std::to_string(s.value()) + " ["
                + std::to_string(r.begin) + ", " + std::to_string(r.end) + ")";
        };
        return Common::makeError(Reason::Conflict, "merge",
            "answer from " + text(version, shard, range) + ", asked for "
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
    query.options.maximumAttempts = std::clamp(options.maximumAttempts, 1, attemptCeiling);
    return query;
}

Effects start(Query& query, TimePoint now, Common::Milliseconds hedgeDelay)
{
    CORIANDERLOCK_INVARIANT(query.parts.empty() && !query.finished, "a query started twice");
    Effects effects;
    query.hedgeDelay = hedgeDelay;
    query.openParts = query.plan.shards.size();
    query.parts.resize(query.openParts);
    for (size_t i = 0; i < query.parts.size(); ++i) {
        query.parts[i].shard = query.plan.shards[i];
        query.parts[i].asksLeft = static_cast<uint8_t>(query.options.maximumAttempts - 1 + spareAsks);
    }
    query.plan.shards = {};
    finishIfOver(query, now, effects);
    if (query.finished)
        return effects;
    effects.reserve(query.parts.size() + 1);
    for (Part& part : query.parts)
        ask(query, part, Purpose::First, effects);
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
    if (!part->hedged && mayAskExtra(query, *part))
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
    if (purpose != Purpose::First && error.reason == Reason::Overloaded && mayAskExtra(query, *part)) {
        // The budget fills with other queries' first sends: ask again while there is time.
        setTimer(query, *part, now + query.hedgeDelay * askAgainAfter * std::exp2(part->refusals++), effects);
    } else if (part->attempts.empty()) {
        // The reason of an attempt that was sent says more than that of an extra that was not.
        if (part->detail.empty())
            explain(*part, error.reason, describe(error));
        close(query, *part, Part::State::Missing);
    }
    finishIfOver(query, now, effects);
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
        fail(query, *part, id, mismatch(query, *part, id, version, shard, range), now, effects);
        return effects;
    }
    removeAttempt(*part, id);
    merge(query, *part, version, std::move(items));
    cancelAttempts(*part, effects);
    finishIfOver(query, now, effects);
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
        forgetSend(*part, *attempt);
    fail(query, *part, id, error, now, effects);
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
    finishIfOver(query, now, effects);
    return effects;
}

void forbidRetries(Query& query) { query.options.mayRetry = false; }

} // namespace Gather
