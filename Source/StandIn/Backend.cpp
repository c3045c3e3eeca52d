#include "StandIn/Backend.h"

#include "Common/Assert.h"
#include "Common/Random.h"
#include "Common/ShardedMap.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace StandIn {

namespace {

    constexpr int crashExitCode = 70;

    // A search or booking, from admission to completion.
    struct WorkItem {
        std::function<void(WorkStatus)> finish;
        std::function<void()> started;
        FaultDecision decision;
        std::string searchKey; // Empty for bookings.
        std::atomic<bool> finished { false };
        std::atomic<bool> holdsSlot { false };
    };

    using WorkItemPtr = std::shared_ptr<WorkItem>;

    struct Admission {
        WorkStatus status { WorkStatus::Done };
        bool hasSlot { false }; // If set, the caller starts the work; otherwise it is queued for a slot.
    };

    std::string searchKey(const CallerQueryId& query, Common::ShardId shard)
    {
        return query.value() + '/' + std::to_string(shard.value());
    }

    // The key range of a search, or the reason for refusing it.
    struct RangeResult {
        WorkStatus status { WorkStatus::Done };
        Common::KeyRange range;
    };

    RangeResult findRange(const std::vector<ReplicaSet>& replicas, const SearchRequest& request)
    {
        auto it = std::find_if(replicas.begin(), replicas.end(),
            [&](const ReplicaSet& set) { return set.indexVersion == request.indexVersion; });
        if (it == replicas.end())
            return { WorkStatus::WrongVersion, {} };
        if (std::find(it->shards.begin(), it->shards.end(), request.shard) == it->shards.end())
            return { WorkStatus::WrongShard, {} };
        Common::KeyRange range = shardRange(request.shard, it->shardCount);
        if (request.range)
            range = overlap(range, *request.range);
        return { range.size() ? WorkStatus::Done : WorkStatus::WrongShard, range };
    }

} // namespace

struct Backend::Private : std::enable_shared_from_this<Backend::Private> {
    Private(BackendOptions o, const DataSet& d, Common::Timers& t, RunLog& l)
        : options(std::move(o))
        , data(d)
        , timers(t)
        , runLog(l)
        , random(options.seed)
        , faults(options.faults)
        , replicas(options.replicas)
        , coldStartedAt(Common::Clock::now())
    {
    }

    Admission admit(const WorkItemPtr&, std::string_view text, Common::Milliseconds service);
    void start(const WorkItemPtr&);
    void finish(const WorkItemPtr&, WorkStatus);
    void releaseSlot();
    void removeFromQueue(const WorkItemPtr&);
    void finishAfter(const WorkItemPtr&, Common::Milliseconds, WorkStatus);

    const BackendOptions options;
    const DataSet& data;
    Common::Timers& timers;
    RunLog& runLog;
    Common::ShardedMap<std::string, WorkItemPtr> searches;

    mutable std::mutex mutex; // Guards all below.
    Common::Random random;
    Faults faults;
    std::vector<ReplicaSet> replicas;
    Common::TimePoint coldStartedAt;
    std::optional<Common::TimePoint> leftAt;
    int64_t running { 0 };
    std::deque<WorkItemPtr> waiting;
    BackendCounters counters;
    LoadSample lastSample;
    std::optional<Common::TimePoint> lastSampledAt;
};

// Refuses the work, or takes a slot or a place in the queue for it.
Admission Backend::Private::admit(const WorkItemPtr& work, std::string_view text, Common::Milliseconds service)
{
    const Common::TimePoint now = Common::Clock::now();
    std::lock_guard lock(mutex);
    if (leftAt && now - *leftAt > leavingGrace)
        ++counters.lateAfterLeaving;
    work->decision = decideFaults(faults, service, text, now - coldStartedAt, random);
    WorkStatus status = WorkStatus::Done;
    if (faults.draining)
        status = WorkStatus::Draining;
    else if (work->decision.shed)
        status = WorkStatus::Shedding;
    else if (running >= options.slots.value() && waiting.size() >= options.queueLimit)
        status = WorkStatus::NoSlots;
    if (status != WorkStatus::Done) {
        ++counters.refused;
        return { status, false };
    }
    const bool hasSlot = running < options.slots.value();
    if (hasSlot) {
        ++running;
        work->holdsSlot = true;
    } else
        waiting.push_back(work);
    counters.peakRequests = std::max<uint64_t>(counters.peakRequests, running + waiting.size());
    return { WorkStatus::Done, hasSlot };
}

// Requires that the work holds a slot.
void Backend::Private::start(const WorkItemPtr& work)
{
    work->started();
    if (work->decision.crash)
        options.crash();
    finishAfter(work, work->decision.duration, work->decision.drop ? WorkStatus::ResponseDropped : WorkStatus::Done);
}

void Backend::Private::finishAfter(const WorkItemPtr& work, Common::Milliseconds delay, WorkStatus status)
{
    timers.after(delay, [self = shared_from_this(), work, status] { self->finish(work, status); });
}

// Work finishes once, with its answer, cancellation or deadline, whichever comes first. The slot is released before the
// answer is sent: otherwise a caller that tracks free slots could be refused when it reuses this one immediately.
void Backend::Private::finish(const WorkItemPtr& work, WorkStatus status)
{
    if (work->finished.exchange(true))
        return;
    if (!work->searchKey.empty())
        searches.take(work->searchKey);
    if (work->holdsSlot.exchange(false))
        releaseSlot();
    else
        removeFromQueue(work);
    work->finish(status);
    work->finish = nullptr;
}

void Backend::Private::removeFromQueue(const WorkItemPtr& work)
{
    std::lock_guard lock(mutex);
    std::erase(waiting, work);
}

void Backend::Private::releaseSlot()
{
    WorkItemPtr next;
    {
        std::lock_guard lock(mutex);
        --running;
        CORIANDERLOCK_INVARIANT(running >= 0, "a slot is released once");
        while (!waiting.empty() && !next) {
            next = std::move(waiting.front());
            waiting.pop_front();
            if (next->finished)
                next = nullptr;
        }
        if (!next)
            return;
        ++running;
        next->holdsSlot = true;
    }
    // A deadline or cancellation may have finished the work after the check above, before holdsSlot was set. The slot
    // must then be released here.
    if (next->finished) {
        if (next->holdsSlot.exchange(false))
            releaseSlot();
        return;
    }
    start(next);
}

Backend::Backend(BackendOptions options, const DataSet& data, Common::Timers& timers, RunLog& runLog)
{
    if (!options.crash)
        options.crash = [] { std::_Exit(crashExitCode); };
    m_private = std::make_shared<Private>(std::move(options), data, timers, runLog);
}

Backend::~Backend() = default;

void Backend::search(const SearchRequest& request, const SearchDone& done)
{
    auto d = m_private;
    const RangeResult found = findRange(replicas(), request);
    if (found.status != WorkStatus::Done)
        return done({ found.status, {} });
    auto work = std::make_shared<WorkItem>();
    work->started = [d] {
        std::lock_guard lock(d->mutex);
        ++d->counters.searches;
    };
    work->finish = [d, request, range = found.range, done](WorkStatus status) {
        SearchResult result { status, {} };
        if (status == WorkStatus::Done)
            result.answer
                = findRecords(d->data, request.indexVersion, request.shard, range, request.text, request.limit);
        done(std::move(result));
    };
    // Registered before admission, because other threads may cancel the work as soon as it is admitted.
    work->searchKey = searchKey(request.query, request.shard);
    d->searches.withValue(work->searchKey, [&](WorkItemPtr& entry) { entry = work; });
    const Admission admission = d->admit(work, request.text, d->options.searchTime);
    if (admission.status != WorkStatus::Done) {
        d->searches.take(work->searchKey);
        return done({ admission.status, {} });
    }
    if (request.deadline)
        d->finishAfter(work, *request.deadline, WorkStatus::DeadlinePassed);
    if (admission.hasSlot)
        d->start(work);
}

void Backend::run(const RunRequest& request, const RunDone& done)
{
    auto d = m_private;
    auto work = std::make_shared<WorkItem>();
    work->started = [d, request] {
        d->runLog.append(request.request, request.body);
        std::lock_guard lock(d->mutex);
        ++d->counters.runs;
    };
    work->finish = done;
    const Admission admission = d->admit(work, request.body, d->options.runTime);
    if (admission.status != WorkStatus::Done)
        return done(admission.status);
    if (admission.hasSlot)
        d->start(work);
}

bool Backend::cancel(const CallerQueryId& query, Common::ShardId shard)
{
    auto work = m_private->searches.take(searchKey(query, shard));
    if (!work || (*work)->finished)
        return false;
    {
        std::lock_guard lock(m_private->mutex);
        ++m_private->counters.cancelled;
    }
    m_private->finish(*work, WorkStatus::Cancelled);
    return true;
}

LoadSample Backend::reportedLoad()
{
    auto& d = *m_private;
    const Common::TimePoint now = Common::Clock::now();
    std::lock_guard lock(d.mutex);
    if (d.faults.mislead)
        return { true, Common::Slots(0), d.options.slots };
    if (!d.lastSampledAt || now - *d.lastSampledAt >= d.faults.healthLag) {
        d.lastSample = { !d.faults.draining && !d.leftAt, Common::Slots(d.running), d.options.slots };
        d.lastSampledAt = now;
    }
    return d.lastSample;
}

uint64_t Backend::pending() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->running + m_private->waiting.size();
}

Faults Backend::faults() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->faults;
}

void Backend::setFaults(Faults faults)
{
    std::lock_guard lock(m_private->mutex);
    if (faults.cold != m_private->faults.cold)
        m_private->coldStartedAt = Common::Clock::now();
    m_private->faults = std::move(faults);
}

std::vector<ReplicaSet> Backend::replicas() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->replicas;
}

void Backend::setReplicas(std::vector<ReplicaSet> replicas)
{
    std::lock_guard lock(m_private->mutex);
    m_private->replicas = std::move(replicas);
}

void Backend::leave()
{
    std::lock_guard lock(m_private->mutex);
    if (!m_private->leftAt)
        m_private->leftAt = Common::Clock::now();
}

bool Backend::isLeaving() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->leftAt.has_value();
}

BackendCounters Backend::counters() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->counters;
}

const BackendOptions& Backend::options() const { return m_private->options; }

} // namespace StandIn
