#include "Replica/LogShard.h"

#include "Common/Hash.h"
#include "Consensus/Step.h"
#include "Replica/PendingRequests.h"
#include "Replica/StorageConversion.h"
#include "Storage/Store.h"
#include "Wire/ConsensusCodec.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace Replica {

using Common::Clock;
using Common::LogIndex;
using Common::Milliseconds;
using Common::Result;
using Common::Term;
using Common::TimePoint;

namespace {

    // Messages to send and callbacks to call once the lock is released.
    struct Outbox {
        std::vector<Consensus::Message> messages;
        Callbacks callbacks;
    };

    struct WriteJob {
        std::optional<Consensus::Write> write;
        std::vector<Consensus::Message> messagesAfter;
    };

    struct ApplyJob {
        Consensus::SnapshotRef restore; // Restored before the entries are applied.
        std::vector<Consensus::EntryRef> entries;
    };

    using AppliedEntries = std::vector<std::pair<Consensus::EntryRef, std::string>>; // Entries and their results.

    struct LeadershipChange {
        bool leading { false };
        Term term;
    };

    // Work for the worker thread, in the order in which the consensus state requested it.
    struct Jobs {
        std::vector<WriteJob> writes;
        std::vector<ApplyJob> applies;
        std::vector<LeadershipChange> leadershipChanges;

        bool empty() const { return writes.empty() && applies.empty() && leadershipChanges.empty(); }
    };

    Storage::FolderIdentity makeIdentity()
    {
        std::random_device device;
        uint64_t n = 0;
        while (!n)
            n = (uint64_t { device() } << 32) | device();
        return Storage::FolderIdentity(n);
    }

    // Mixes in the instance id, so that members with equal seeds get different election timeouts.
    uint64_t timerSeed(const Options& options)
    {
        return Common::hash64(options.self.value(), options.seed + options.shard.value());
    }

    Role roleOf(const Consensus::State& state)
    {
        if (!isSelfVoter(state))
            return Role::Learner;
        switch (state.role) {
        case Consensus::Role::Follower:
            return Role::Follower;
        case Consensus::Role::PreCandidate:
        case Consensus::Role::Candidate:
            return Role::Candidate;
        case Consensus::Role::Leader:
            return Role::Leader;
        }
        return Role::Follower;
    }

} // namespace

class LogShard::Private {
public:
    Private(Options options, Hooks hooks, std::unique_ptr<Storage::Store> store, Consensus::State state)
        : m_options(std::move(options))
        , m_hooks(std::move(hooks))
        , m_store(std::move(store))
        , m_state(std::move(state))
        , m_applied(m_state.delivered)
        , m_snapshotIndex(m_state.delivered)
    {
    }

    void start()
    {
        m_worker = std::thread([this] { runWorker(); });
        m_timer = std::thread([this] { runTimer(); });
    }

    void receive(const Common::InstanceId& from, std::string_view bytes)
    {
        Result<Consensus::Message> message = Wire::decodeConsensusMessage(bytes);
        if (!message || message.value().from.instance != from)
            return;
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
            handleEvent(Consensus::Receive { std::move(message.value()) }, outbox);
        }
        post(outbox);
    }

    void propose(std::string command, ProposeDone done)
    {
        {
            std::lock_guard lock(m_mutex);
            if (!m_stopping && isLeading(m_state)) {
                m_pending.queuedProposals.push_back({ std::move(command), std::move(done) });
                m_workerWake.notify_one();
                return;
            }
        }
        done(notLeaderError());
    }

    void confirmRead(ReadDone done)
    {
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping || !isLeading(m_state)) {
                outbox.callbacks.push_back([done = std::move(done)] { done(notLeaderError()); });
            } else {
                m_pending.queuedReads.push_back(std::move(done));
                startReadRound(outbox);
            }
        }
        post(outbox);
    }

    Status status() const
    {
        std::lock_guard lock(m_mutex);
        Status status;
        status.role = roleOf(m_state);
        status.term = m_state.hard.term;
        if (m_state.leader)
            status.leader = m_state.leader->instance;
        status.commit = m_state.commit;
        status.applied = m_applied;
        status.lastIndex = lastIndex(m_state.log);
        status.snapshotIndex = m_state.snapshot ? m_state.snapshot->meta.index : LogIndex(0);
        for (const Consensus::Member& member : membership(m_state).members)
            (member.voter ? status.voters : status.learners).push_back(member.id.instance);
        status.currentAt = m_currentAt;
        if (!m_state.pendingWrites.empty())
            status.oldestWriteAt = m_state.pendingWrites.front().requestedAt;
        status.storageFailed = m_state.storageFailed;
        return status;
    }

    void setContacts(std::vector<Common::InstanceId> contacts)
    {
        std::lock_guard lock(m_mutex);
        m_state.options.contacts = std::move(contacts);
    }

    void transferLeadership()
    {
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping || !isLeading(m_state))
                return;
            handleEvent(Consensus::TransferLeadership {}, outbox);
        }
        post(outbox);
        std::unique_lock lock(m_mutex);
        m_leadershipLost.wait_for(
            lock, Clock::toChrono(m_options.electionTimeout), [this] { return m_stopping || !isLeading(m_state); });
    }

    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_workerWake.notify_all();
        m_timerWake.notify_all();
        m_leadershipLost.notify_all();
        if (m_worker.joinable())
            m_worker.join();
        if (m_timer.joinable())
            m_timer.join();
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            failAll(outbox.callbacks);
        }
        post(outbox);
    }

private:
    // The lock is held in the functions from here to hasWork().

    void handleEvent(const Consensus::Event& event, Outbox& outbox)
    {
        bool wasLeading = isLeading(m_state);
        Consensus::Effects effects = step(m_state, event, Clock::now());
        recordLeadershipChange(wasLeading, outbox);
        queueEffects(effects, outbox);
        updateCurrentAt();
        if (nextTick(m_state) < m_timerDue)
            m_timerWake.notify_one();
        if (!m_jobs.empty())
            m_workerWake.notify_one();
    }

    // Waits for one commit report after the other, since under load a newer one arrives before each is reached.
    void updateCurrentAt()
    {
        auto isReached = [&] { return m_awaitedCommit && m_applied >= m_awaitedCommit->index; };
        if (m_awaitedCommit && !isReached())
            return;
        if (isReached())
            m_currentAt = m_awaitedCommit->at;
        m_awaitedCommit = m_state.groupCommit;
        if (isReached())
            m_currentAt = m_awaitedCommit->at;
    }

    void queueEffects(Consensus::Effects& effects, Outbox& outbox)
    {
        std::move(effects.messages.begin(), effects.messages.end(), std::back_inserter(outbox.messages));
        if (effects.write || !effects.messagesAfterWrites.empty())
            m_jobs.writes.push_back({ std::move(effects.write), std::move(effects.messagesAfterWrites) });
        if (effects.restore || !effects.deliver.empty())
            m_jobs.applies.push_back({ std::move(effects.restore), std::move(effects.deliver) });
        for (const auto& [id, index] : effects.confirmedReads)
            Replica::confirmRead(m_pending, id, index);
        for (Consensus::ReadId id : effects.failedReads)
            failRead(m_pending, id, outbox.callbacks);
        completeReadsUpTo(m_pending, m_applied, outbox.callbacks);
        startReadRound(outbox);
        m_firstAcceptedIndex = effects.accepted;
    }

    void recordLeadershipChange(bool wasLeading, Outbox& outbox)
    {
        bool leading = isLeading(m_state);
        if (leading == wasLeading)
            return;
        m_jobs.leadershipChanges.push_back({ leading, m_state.hard.term });
        if (leading)
            return;
        failProposalsAbove(m_pending, m_state.delivered, outbox.callbacks);
        failQueuedProposals(m_pending, outbox.callbacks);
        failReads(m_pending, outbox.callbacks);
        m_leadershipLost.notify_all();
    }

    // Reads that arrive during a round of heartbeats share the next round.
    void startReadRound(Outbox& outbox)
    {
        if (m_pending.queuedReads.empty() || !m_pending.reads.empty())
            return;
        Consensus::ReadId id(++m_lastReadId);
        m_pending.reads[id] = std::move(m_pending.queuedReads);
        m_pending.queuedReads.clear();
        handleEvent(Consensus::ConfirmRead { id }, outbox);
    }

    void submitQueued(Outbox& outbox)
    {
        if (m_pending.queuedProposals.empty())
            return;
        std::vector<QueuedProposal> queued = std::move(m_pending.queuedProposals);
        m_pending.queuedProposals.clear();
        Consensus::Propose propose;
        for (QueuedProposal& it : queued)
            propose.commands.push_back(std::move(it.command));
        m_firstAcceptedIndex.reset();
        handleEvent(propose, outbox);
        std::optional<LogIndex> index = m_firstAcceptedIndex;
        for (QueuedProposal& it : queued) {
            if (!index) {
                outbox.callbacks.push_back([done = std::move(it.done)] { done(notLeaderError()); });
                continue;
            }
            m_pending.proposals[*index] = { m_state.hard.term, std::move(it.done) };
            *index += LogIndex(1);
        }
    }

    void failAll(Callbacks& callbacks)
    {
        failProposalsAbove(m_pending, LogIndex(0), callbacks);
        failQueuedProposals(m_pending, callbacks);
        failReads(m_pending, callbacks);
    }

    bool hasWork() const { return !m_jobs.empty() || !m_pending.queuedProposals.empty(); }

    // The lock is not held in the functions from here on.

    void post(const Outbox& outbox)
    {
        for (const Consensus::Message& message : outbox.messages)
            m_hooks.send(message.to.instance, Wire::encode(message));
        for (const auto& call : outbox.callbacks)
            call();
    }

    void handleEventAndPost(const Consensus::Event& event)
    {
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            handleEvent(event, outbox);
        }
        post(outbox);
    }

    void runWorker()
    {
        while (true) {
            Outbox outbox;
            Jobs jobs;
            {
                std::unique_lock lock(m_mutex);
                m_workerWake.wait(lock, [this] { return m_stopping || hasWork(); });
                if (m_stopping)
                    return;
                submitQueued(outbox);
                std::swap(jobs, m_jobs);
            }
            post(outbox);
            for (const LeadershipChange& it : jobs.leadershipChanges) {
                if (m_hooks.leadershipChanged)
                    m_hooks.leadershipChanged(it.leading, it.term);
            }
            if (!writeAll(jobs.writes) || !applyAll(jobs.applies))
                stopAfterStorageFailure();
        }
    }

    // Makes all writes that were requested during the previous sync durable with one sync.
    bool writeAll(const std::vector<WriteJob>& jobs)
    {
        std::vector<Storage::Batch> batches;
        Consensus::WriteNumber last;
        for (const WriteJob& job : jobs) {
            if (!job.write)
                continue;
            batches.push_back(toBatch(*job.write));
            last = job.write->number;
        }
        if (!batches.empty() && !m_store->write(batches))
            return false;
        Outbox outbox;
        for (const WriteJob& job : jobs)
            outbox.messages.insert(outbox.messages.end(), job.messagesAfter.begin(), job.messagesAfter.end());
        post(outbox);
        if (!batches.empty())
            handleEventAndPost(Consensus::Persisted { last });
        return true;
    }

    bool applyAll(const std::vector<ApplyJob>& jobs)
    {
        for (const ApplyJob& job : jobs) {
            if (job.restore) {
                if (!m_hooks.restore(job.restore->data))
                    return false;
                m_snapshotIndex = job.restore->meta.index;
                recordApplied(m_snapshotIndex, {});
            }
            if (!job.entries.empty())
                applyEntries(job.entries);
        }
        return true;
    }

    void applyEntries(const std::vector<Consensus::EntryRef>& entries)
    {
        AppliedEntries results;
        for (const Consensus::EntryRef& entry : entries) {
            if (entry->kind == Consensus::EntryKind::Command)
                results.emplace_back(entry, m_hooks.apply(entry->index, entry->command));
        }
        LogIndex applied = entries.back()->index;
        recordApplied(applied, results);
        if ((applied - m_snapshotIndex).value() < m_options.snapshotEvery)
            return;
        m_snapshotIndex = applied;
        handleEventAndPost(Consensus::SnapshotTaken { applied, m_hooks.snapshot() });
    }

    void recordApplied(LogIndex applied, const AppliedEntries& results)
    {
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            m_applied = applied;
            updateCurrentAt();
            for (const auto& [entry, result] : results)
                completeProposal(m_pending, *entry, result, outbox.callbacks);
            completeReadsUpTo(m_pending, applied, outbox.callbacks);
        }
        post(outbox);
    }

    // After a failed write or restore, this member must not acknowledge anything.
    void stopAfterStorageFailure()
    {
        Outbox outbox;
        {
            std::lock_guard lock(m_mutex);
            handleEvent(Consensus::StorageFailed {}, outbox);
            failAll(outbox.callbacks);
            m_jobs = {};
        }
        post(outbox);
    }

    void runTimer()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            TimePoint now = Clock::now();
            m_timerDue = nextTick(m_state);
            if (m_state.storageFailed) {
                m_timerWake.wait(lock);
                continue;
            }
            if (m_timerDue > now) {
                m_timerWake.wait_for(lock, Clock::toChrono(m_timerDue - now) + std::chrono::microseconds(1));
                continue;
            }
            Outbox outbox;
            handleEvent(Consensus::Tick {}, outbox);
            lock.unlock();
            post(outbox);
            lock.lock();
        }
    }

    const Options m_options;
    const Hooks m_hooks;
    std::unique_ptr<Storage::Store> m_store; // Used by the worker thread alone.
    mutable std::mutex m_mutex; // Guards the members below, except where noted.
    std::condition_variable m_workerWake;
    std::condition_variable m_timerWake;
    std::condition_variable m_leadershipLost;
    Consensus::State m_state;
    Jobs m_jobs;
    PendingRequests m_pending;
    std::optional<LogIndex> m_firstAcceptedIndex; // Of the commands proposed in the latest step.
    uint64_t m_lastReadId { 0 };
    LogIndex m_applied;
    std::optional<Consensus::CommitReport> m_awaitedCommit; // The report that m_applied has to reach next.
    std::optional<TimePoint> m_currentAt;
    TimePoint m_timerDue;
    bool m_stopping { false };
    LogIndex m_snapshotIndex; // Used by the worker thread alone.
    std::thread m_worker;
    std::thread m_timer;
};

LogShard::LogShard(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

LogShard::~LogShard() { stop(); }

Result<std::unique_ptr<LogShard>> LogShard::open(Options options, Hooks hooks)
{
    return open(std::move(options), std::move(hooks), Storage::systemFiles());
}

Result<std::unique_ptr<LogShard>> LogShard::open(Options options, Hooks hooks, const Storage::Files& files)
{
    if (options.voters.empty() && options.contacts.empty())
        return Common::makeError(Common::Reason::InvalidInput, "open-log-shard", "voters: expected at least one");
    BOOST_OUTCOME_TRY(store, Storage::Store::open(files, options.folder, makeIdentity()));
    BOOST_OUTCOME_TRY(recovered, toRecovered(store->takeContent()));
    if (recovered.snapshot) {
        BOOST_OUTCOME_TRY(hooks.restore(recovered.snapshot->data));
    }
    Consensus::Options consensus;
    consensus.self = { options.self, Consensus::StorageId(store->identity().value()) };
    consensus.initialVoters = options.voters;
    consensus.contacts = options.contacts;
    consensus.targetVoters = options.targetVoters;
    consensus.minimumCopies = options.minimumCopies;
    consensus.keptEntries = options.keptEntries;
    consensus.electionTimeout = options.electionTimeout;
    consensus.heartbeat = options.heartbeat;
    Consensus::State state = makeState(std::move(consensus), std::move(recovered), timerSeed(options), Clock::now());
    auto p = std::make_unique<Private>(std::move(options), std::move(hooks), std::move(store), std::move(state));
    p->start();
    return std::unique_ptr<LogShard>(new LogShard(std::move(p)));
}

void LogShard::receive(const Common::InstanceId& from, std::string_view bytes) { m_private->receive(from, bytes); }

void LogShard::propose(std::string command, ProposeDone done)
{
    m_private->propose(std::move(command), std::move(done));
}

void LogShard::confirmRead(ReadDone done) { m_private->confirmRead(std::move(done)); }

Status LogShard::status() const { return m_private->status(); }

void LogShard::setContacts(std::vector<Common::InstanceId> contacts) { m_private->setContacts(std::move(contacts)); }

void LogShard::transferLeadership() { m_private->transferLeadership(); }

void LogShard::stop() { m_private->stop(); }

} // namespace Replica
