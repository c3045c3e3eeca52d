#pragma once

#include "Entry/QueryEngine.h"

#include "Entry/GroupStatistics.h"
#include "Entry/WaitingAttempts.h"
#include "Gather/Query.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

// Shared by the sources of QueryEngine: QueryEngine.cpp holds admission and completion of queries, QueryAttempts.cpp
// their attempts.
namespace Entry {

// An attempt that was sent and has no answer yet.
struct SentAttempt {
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
    std::unordered_map<Common::AttemptId, SentAttempt> sent;
    std::unordered_map<Common::AttemptId, Gather::StartAttempt>
        waiting; // Queued attempts. Code that removes one starts it or returns its retry token.
    std::optional<Common::TimerId> timer;
    bool lossReported { false }; // A query is reported once, however many servers it lost.
    size_t unreachedFirstSends { 0 }; // First sends that reached no server and were not repeated yet.
};

// An attempt that holds a slot at a server.
struct PlacedAttempt {
    Common::QueryId query;
    Gather::StartAttempt start; // For a queued attempt, only id and shard are set.
    bool wasQueued { false };
    const Common::GroupName& group;
    const Membership::Candidate& server;
};

// The data to send one attempt, copied under the query's lock and used without it.
struct SubRequest {
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
    template <typename Function> void decideAndPerform(Common::QueryId, Function&&);
    void perform(Common::QueryId, const Gather::StartAttempt&);
    void perform(Common::QueryId, const Gather::CancelAttempt&, RunningQuery* finished);
    void scheduleWake(Common::QueryId, Common::TimePoint);
    void finish(std::unique_ptr<RunningQuery>, Gather::Answer);

    bool tryTakeRetry(const Common::GroupName&);
    void returnRetry(const Common::GroupName&, Gather::Purpose);
    PlacementResult place(const Gather::StartAttempt&, const CandidateSet&, const PlacementOptions&);
    void reportNotStarted(Common::QueryId, Common::AttemptId, const Common::Error&);
    void enqueue(Common::QueryId, const Gather::StartAttempt&, const QueueKey&);
    void startPlaced(const PlacedAttempt&);
    bool prepareSubRequest(RunningQuery&, const PlacedAttempt&, SubRequest&, Gather::Effects&);
    void send(SubRequest);
    void onAnswer(const SubRequest&, Common::Result<Backend::SearchAnswer>);
    void onConnectionLost(const SubRequest&, const Common::Error&);
    void onFailure(const SubRequest&, const Common::Error&);
    void launch(std::unique_ptr<RunningQuery>);
    void tryOneShard(std::unique_ptr<RunningQuery>);
    void drain(const QueueKey&);
    void drainAfterRelease(const SubRequest&, const Common::GroupName&);
    void scheduleQueuePoll(const QueueKey&);
};

// Runs decide on the query under its lock, then performs the effects without the lock.
template <typename Function> void QueryEngine::Private::decideAndPerform(Common::QueryId id, Function&& decide)
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
            scheduleWake(id, wake->when);
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
