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

    // One search or booking, from its admission to its end.
    struct Work {
        std::function<void(Verdict)> finish;
        std::function<void()> started;
        Treatment treatment;
        std::string searchKey; // "" for bookings.
        std::atomic<bool> finished { false };
        std::atomic<bool> holdsSlot { false };
    };

    using WorkPtr = std::shared_ptr<Work>;

    struct Admission {
        Verdict verdict { Verdict::Done };
        bool hasSlot { false }; // The caller is to start it; otherwise it waits for a slot.
    };

    std::string searchKey(const QueryName& query, Common::ShardId shard)
    {
        return query.value() + '/' + std::to_string(shard.value());
    }

    // The range that a search may look at, or why there is none.
    struct Lookup {
        Verdict verdict { Verdict::Done };
        Common::KeyRange range;
    };

    Lookup lookUp(const std::vector<ReplicaSet>& replicas, const SearchRequest& request)
    {
        auto it = std::find_if(replicas.begin(), replicas.end(),
            [&](const ReplicaSet& set) { return set.indexVersion == request.indexVersion; });
        if (it == replicas.end())
            return { Verdict::WrongVersion, {} };
        if (std::find(it->shards.begin(), it->shards.end(), request.shard) == it->shards.end())
            return { Verdict::WrongShard, {} };
        Common::KeyRange range = shardRange(request.shard, it->shardCount);
        if (request.range)
            range = overlap(range, *request.range);
        return { range.size() ? Verdict::Done : Verdict::WrongShard, range };
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
        , coldSince(Common::Clock::now())
    {
    }

    Admission admit(const WorkPtr&, std::string_view text, Common::Milliseconds service);
    void start(const WorkPtr&);
    void finish(const WorkPtr&, Verdict);
    void releaseSlot();
    void leaveQueue(const WorkPtr&);
    void finishLater(const WorkPtr&, Common::Milliseconds, Verdict);

    const BackendOptions options;
    const DataSet& data;
    Common::Timers& timers;
    RunLog& runLog;
    Common::ShardedMap<std::string, WorkPtr> searches;

    mutable std::mutex mutex; // Guards all below.
    Common::Random random;
    Faults faults;
    std::vector<ReplicaSet> replicas;
    Common::TimePoint coldSince;
    std::optional<Common::TimePoint> leftAt;
    int64_t running { 0 };
    std::deque<WorkPtr> waiting;
    BackendCounters counters;
    LoadSample lastSample;
    std::optional<Common::TimePoint> lastSampledAt;
};

// Decides whether the work may run, and takes a slot or a place in the queue for it.
Admission Backend::Private::admit(const WorkPtr& work, std::string_view text, Common::Milliseconds service)
{
    const Common::TimePoint now = Common::Clock::now();
    std::lock_guard lock(mutex);
    if (leftAt && now - *leftAt > leavingGrace)
        ++counters.lateAfterLeaving;
    work->treatment = treat(faults, service, text, now - coldSince, random);
    Verdict verdict = Verdict::Done;
    if (faults.draining)
        verdict = Verdict::Draining;
    else if (work->treatment.shed)
        verdict = Verdict::Shedding;
    else if (running >= options.slots.value() && waiting.size() >= options.queueLimit)
        verdict = Verdict::NoSlots;
    if (verdict != Verdict::Done) {
        ++counters.refused;
        return { verdict, false };
    }
    const bool hasSlot = running < options.slots.value();
    if (hasSlot) {
        ++running;
        work->holdsSlot = true;
    } else
        waiting.push_back(work);
    counters.peakRequests = std::max<uint64_t>(counters.peakRequests, running + waiting.size());
    return { Verdict::Done, hasSlot };
}

// The work holds a slot.
void Backend::Private::start(const WorkPtr& work)
{
    work->started();
    if (work->treatment.crash)
        options.crash();
    finishLater(work, work->treatment.duration, work->treatment.drop ? Verdict::NeverAnswered : Verdict::Done);
}

void Backend::Private::finishLater(const WorkPtr& work, Common::Milliseconds delay, Verdict verdict)
{
    timers.after(delay, [self = shared_from_this(), work, verdict] { self->finish(work, verdict); });
}

// The first end of a piece of work counts: its answer, its cancellation or its deadline. The slot is free before the
// answer goes out, or a caller that counts slots would be refused the one that it was just given back.
void Backend::Private::finish(const WorkPtr& work, Verdict verdict)
{
    if (work->finished.exchange(true))
        return;
    if (!work->searchKey.empty())
        searches.take(work->searchKey);
    if (work->holdsSlot.exchange(false))
        releaseSlot();
    else
        leaveQueue(work);
    work->finish(verdict);
    work->finish = nullptr;
}

void Backend::Private::leaveQueue(const WorkPtr& work)
{
    std::lock_guard lock(mutex);
    std::erase(waiting, work);
}

void Backend::Private::releaseSlot()
{
    WorkPtr next;
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
    // Between the check above and this one a deadline or a cancellation may have ended it without seeing the slot.
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
    const Lookup found = lookUp(replicas(), request);
    if (found.verdict != Verdict::Done)
        return done({ found.verdict, {} });
    auto work = std::make_shared<Work>();
    work->started = [d] {
        std::lock_guard lock(d->mutex);
        ++d->counters.searches;
    };
    work->finish = [d, request, range = found.range, done](Verdict verdict) {
        SearchOutcome outcome { verdict, {} };
        if (verdict == Verdict::Done)
            outcome.answer
                = findRecords(d->data, request.indexVersion, request.shard, range, request.text, request.limit);
        done(std::move(outcome));
    };
    // Listed before it is admitted: from then on other threads may end it.
    work->searchKey = searchKey(request.query, request.shard);
    d->searches.withValue(work->searchKey, [&](WorkPtr& entry) { entry = work; });
    const Admission admission = d->admit(work, request.text, d->options.searchTime);
    if (admission.verdict != Verdict::Done) {
        d->searches.take(work->searchKey);
        return done({ admission.verdict, {} });
    }
    if (request.deadline)
        d->finishLater(work, *request.deadline, Verdict::DeadlinePassed);
    if (admission.hasSlot)
        d->start(work);
}

void Backend::run(const RunRequest& request, const RunDone& done)
{
    auto d = m_private;
    auto work = std::make_shared<Work>();
    work->started = [d, request] {
        d->runLog.append(request.request, request.body);
        std::lock_guard lock(d->mutex);
        ++d->counters.runs;
    };
    work->finish = done;
    const Admission admission = d->admit(work, request.body, d->options.runTime);
    if (admission.verdict != Verdict::Done)
        return done(admission.verdict);
    if (admission.hasSlot)
        d->start(work);
}

bool Backend::cancel(const QueryName& query, Common::ShardId shard)
{
    auto work = m_private->searches.take(searchKey(query, shard));
    if (!work || (*work)->finished)
        return false;
    {
        std::lock_guard lock(m_private->mutex);
        ++m_private->counters.cancelled;
    }
    m_private->finish(*work, Verdict::Cancelled);
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
        m_private->coldSince = Common::Clock::now();
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
