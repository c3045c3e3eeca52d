#pragma once

#include "Entry/QueryEngine.h"

#include "Entry/GroupStatistics.h"
#include "Entry/WaitingAttempts.h"
#include "Gather/Query.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

// What the sources of QueryEngine share: QueryEngine.cpp has a query's admission and end, QueryAttempts.cpp its
// attempts.
namespace Entry {

// A request that was sent and has not come back.
struct Sent {
    Backend::CallId call;
    bool cancelled { false };
};

struct RunningQuery {
    Gather::Query query;
    Common::RequestId id;
    ResolvedRoute route;
    std::string text;
    std::string wireId;
    Common::Fingerprint fingerprint;
    std::shared_ptr<const CandidateSet> candidates;
    QueryEngine::Done done;
    Common::TimePoint admitted;
    std::unordered_map<Common::AttemptId, Sent> sent;
    std::unordered_map<Common::AttemptId, Gather::StartAttempt>
        waiting; // Whoever takes one out answers for its budget.
    std::optional<Common::TimerId> timer;
    bool lossReported { false }; // One run counts as one loss, however many servers went with it.
    size_t unreached { 0 }; // First sends that reached no server and have not been made again.
};

// An attempt for which a slot was taken.
struct Beginning {
    Common::QueryId query;
    Gather::StartAttempt start; // Of a queued attempt, the id and the shard only.
    bool wasQueued { false };
    const Common::GroupName& group;
    const Membership::Candidate& server;
};

// What is needed to send one attempt, copied out of the query's lock.
struct Sending {
    Common::QueryId query;
    Common::AttemptId attempt;
    Gather::Purpose purpose { Gather::Purpose::First };
    Backend::Target target;
    Common::Incarnation incarnation;
    Backend::SearchRequest request;
    Common::TimePoint sentAt;
};

struct QueryEngine::Private : std::enable_shared_from_this<QueryEngine::Private> {
    explicit Private(QueryDependencies d)
        : dependencies(d)
        , waiting(d.servers)
    {
    }

    QueryDependencies dependencies;
    std::atomic<uint64_t> nextId { 1 };
    Common::ShardedMap<Common::QueryId, std::unique_ptr<RunningQuery>> queries;
    GroupStatisticsMap groups;
    WaitingAttempts waiting;

    Common::Result<std::unique_ptr<RunningQuery>> admit(QueryRequest&, Done&);
    Common::Result<void> checkLoad(const RunningQuery&);
    template <typename Function> void drive(Common::QueryId, Function&&);
    void perform(Common::QueryId, const Gather::StartAttempt&);
    void perform(Common::QueryId, const Gather::CancelAttempt&, RunningQuery* finished);
    void wakeAt(Common::QueryId, Common::TimePoint);
    void finish(std::unique_ptr<RunningQuery>, Gather::Answer);

    bool takeExtra(const Common::GroupName&);
    void returnExtra(const Common::GroupName&, Gather::Purpose);
    Placed place(const Gather::StartAttempt&, const CandidateSet&, const PlaceOptions&);
    void notStarted(Common::QueryId, Common::AttemptId, const Common::Error&);
    void wait(Common::QueryId, const Gather::StartAttempt&, const QueueKey&);
    void begin(const Beginning&);
    bool claim(RunningQuery&, const Beginning&, Sending&, Gather::Effects&);
    void send(Sending);
    void answered(const Sending&, Common::Result<Backend::SearchAnswer>);
    void connectionLost(const Sending&, const Common::Error&);
    void failed(const Sending&, const Common::Error&);
    void launch(std::unique_ptr<RunningQuery>);
    void tryOneShard(std::unique_ptr<RunningQuery>);
    void drain(const QueueKey&);
    void drainAfterRelease(const Sending&, const Common::GroupName&);
    void watchQueue(const QueueKey&);
};

// Runs a decision on a query under its lock, then carries out the effects without it.
template <typename Function> void QueryEngine::Private::drive(Common::QueryId id, Function&& decide)
{
    Gather::Effects effects;
    queries.ifPresent(id, [&](std::unique_ptr<RunningQuery>& running) { effects = decide(*running); });
    std::unique_ptr<RunningQuery> finished;
    auto isFinish = [](const Gather::Effect& effect) { return std::holds_alternative<Gather::Finish>(effect); };
    if (std::any_of(effects.begin(), effects.end(), isFinish)) {
        auto taken = queries.take(id);
        finished = taken ? std::move(*taken) : nullptr;
    }
    for (Gather::Effect& effect : effects) {
        if (auto start = std::get_if<Gather::StartAttempt>(&effect))
            perform(id, *start);
        else if (auto cancel = std::get_if<Gather::CancelAttempt>(&effect))
            perform(id, *cancel, finished.get());
        else if (auto wake = std::get_if<Gather::WakeAt>(&effect); wake && !finished)
            wakeAt(id, wake->when);
    }
    if (!finished)
        return;
    for (Gather::Effect& effect : effects) {
        if (auto end = std::get_if<Gather::Finish>(&effect)) {
            finish(std::move(finished), std::move(end->answer));
            return;
        }
    }
}

} // namespace Entry
