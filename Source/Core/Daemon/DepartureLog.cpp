#include "Daemon/DepartureLog.h"

#include "Observe/EventLog.h"
#include "Roster/DepartureRecords.h"
#include "Storage/Journal.h"
#include "Wire/RosterCodec.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

using Common::Clock;
using Common::Milliseconds;
using Common::Result;
using Roster::Departure;

namespace Daemon {

namespace {

    constexpr const char* fileName = "departures";
    // The file is rewritten without the expired departures when it exceeds this size, and twice its size after the last
    // rewrite.
    constexpr size_t minimumRewriteSize = 64 << 10;

    std::string encodeRecord(const Departure& departure)
    {
        return Wire::encode(Roster::Request(Roster::DepartureReport { departure }));
    }

    // Differs from those of earlier processes.
    Storage::FolderIdentity newIdentity()
    {
        return Storage::FolderIdentity(static_cast<uint64_t>(Clock::wallClock().value() * 1'000));
    }

} // namespace

struct DepartureLog::Private {
    struct Pending {
        std::optional<Departure> departure; // Empty if an earlier record covers it.
        Done done;
    };

    Private(const Storage::Files& files, const std::string& folder, Milliseconds keptFor)
        : retention(keptFor)
        , journal(files, folder, fileName, newIdentity())
    {
        recover(files, folder);
        writer = std::thread([this] { run(); });
    }

    void recover(const Storage::Files&, const std::string& folder);
    void run();
    bool write(const std::vector<Pending>&);
    Result<void> rewrite();
    void reportFailure(const Common::Error&);

    const Milliseconds retention;
    std::vector<Departure> recovered;

    std::mutex mutex; // Guards the members down to isStopping.
    std::condition_variable changed;
    Roster::DepartureRecords records; // Those in the queue included.
    std::vector<Pending> queue;
    bool isStopping { false };

    Storage::Journal journal; // Of the writer's thread, like what follows.
    size_t sizeAfterRewrite { 0 };
    bool hasFailed { false };
    std::thread writer;
};

void DepartureLog::Private::recover(const Storage::Files& files, const std::string& folder)
{
    auto content = Storage::readJournal(files, folder, fileName);
    if (!content) {
        reportFailure(content.error());
        return;
    }
    auto now = Clock::now();
    for (const std::string& record : content.value().records) {
        auto request = Wire::decodeRosterRequest(record);
        if (auto report = request ? std::get_if<Roster::DepartureReport>(&request.value()) : nullptr)
            Roster::add(records, report->departure, now);
    }
    for (auto& [server, entry] : records.entries)
        recovered.push_back(entry.departure);
    if (!recovered.empty() || content.value().unreadable)
        Observe::logEvent(Observe::Part::Roster, Observe::Event::DeparturesRecovered,
            { { "departures", std::to_string(recovered.size()) },
                { "unreadable_bytes", std::to_string(content.value().unreadable) } });
}

void DepartureLog::Private::run()
{
    for (;;) {
        std::vector<Pending> batch;
        {
            std::unique_lock lock(mutex);
            changed.wait(lock, [this] { return isStopping || !queue.empty(); });
            if (isStopping)
                return;
            batch.swap(queue);
        }
        bool isDurable = write(batch);
        for (const Pending& pending : batch) {
            if (pending.done)
                pending.done(isDurable);
        }
    }
}

bool DepartureLog::Private::write(const std::vector<Pending>& batch)
{
    std::vector<std::string> added;
    for (const Pending& pending : batch) {
        if (pending.departure)
            added.push_back(encodeRecord(*pending.departure));
    }
    bool isLarge = journal.size() > std::max(minimumRewriteSize, 2 * sizeAfterRewrite);
    Result<void> done = Common::success();
    // After a failure, all records are written again: the file may lack any of them.
    if (!journal.isIntact() || isLarge)
        done = rewrite();
    else if (!added.empty())
        done = journal.append(added);
    if (!done)
        reportFailure(done.error());
    hasFailed = !done;
    return bool(done);
}

Result<void> DepartureLog::Private::rewrite()
{
    std::vector<std::string> all;
    {
        std::lock_guard lock(mutex);
        Roster::forgetBefore(records, Clock::now() - retention);
        for (auto& [server, entry] : records.entries)
            all.push_back(encodeRecord(entry.departure));
    }
    BOOST_OUTCOME_TRYV(journal.rewrite(all));
    sizeAfterRewrite = journal.size();
    return Common::success();
}

// Logs the first of several failures in a row.
void DepartureLog::Private::reportFailure(const Common::Error& error)
{
    if (!std::exchange(hasFailed, true))
        Observe::logEvent(
            Observe::Part::Roster, Observe::Event::DeparturesNotStored, { { "why", Common::describe(error) } });
}

DepartureLog::DepartureLog(const Storage::Files& files, const std::string& folder, Milliseconds retention)
    : m_private(std::make_unique<Private>(files, folder, retention))
{
}

DepartureLog::~DepartureLog() { stop(); }

void DepartureLog::stop()
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->isStopping = true;
    }
    m_private->changed.notify_one();
    if (m_private->writer.joinable())
        m_private->writer.join();
}

const std::vector<Departure>& DepartureLog::recovered() const { return m_private->recovered; }

void DepartureLog::record(const Departure& departure, Done done)
{
    {
        std::lock_guard lock(m_private->mutex);
        bool isNew = Roster::add(m_private->records, departure, Clock::now());
        if (!isNew && !done)
            return;
        m_private->queue.push_back({ isNew ? std::optional(departure) : std::nullopt, std::move(done) });
    }
    m_private->changed.notify_one();
}

} // namespace Daemon
