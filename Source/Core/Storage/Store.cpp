#include "Storage/Store.h"

#include "Storage/Segment.h"

#include <algorithm>
#include <utility>

namespace Storage {

using Common::LogIndex;
using Common::Result;

namespace {

    constexpr std::string_view lockName = "lock";

} // namespace

class Store::Private {
public:
    Private(Files files, std::string folder, StoreOptions options, FileHandle lock, Recovery recovery)
        : m_files(std::move(files))
        , m_folder(std::move(folder))
        , m_options(options)
        , m_lock(lock)
        , m_recovery(std::move(recovery))
        , m_hardState(m_recovery.content.hardState)
    {
    }

    ~Private()
    {
        m_files.close(m_recovery.file);
        m_files.close(m_lock);
    }

    FolderIdentity identity() const { return m_recovery.content.identity; }

    Content takeContent()
    {
        Content content = std::move(m_recovery.content);
        m_recovery.content = {};
        m_recovery.content.identity = content.identity;
        return content;
    }

    Result<void> write(const std::vector<Batch>& batches)
    {
        if (m_failed)
            return Common::makeError(Common::Reason::StorageFailed, "write-log", "an earlier write failed", m_folder);
        Result<void> done = writeAll(batches);
        m_failed = !done;
        return done;
    }

private:
    Result<void> writeAll(const std::vector<Batch>& batches)
    {
        for (const Batch& batch : batches) {
            putHardStateAndTruncation(batch);
            if (batch.snapshot) {
                BOOST_OUTCOME_TRY(writeSnapshotAndTruncateLog(*batch.snapshot));
            }
            for (const LogEntry& entry : batch.entries) {
                putRecord(m_payload, { RecordKind::Entry, entry.index, entry.bytes });
                m_recovery.segments.back().highestIndex
                    = std::max(m_recovery.segments.back().highestIndex, entry.index);
            }
        }
        BOOST_OUTCOME_TRY(flush());
        if (m_recovery.fileSize > m_options.segmentSize)
            return startSegment();
        return Common::success();
    }

    void putHardStateAndTruncation(const Batch& batch)
    {
        if (batch.hardState) {
            m_hardState = *batch.hardState;
            putRecord(m_payload, { RecordKind::HardState, LogIndex(0), m_hardState });
        }
        if (batch.truncateFrom)
            putRecord(m_payload, { RecordKind::Truncate, *batch.truncateFrom, {} });
    }

    Result<void> flush()
    {
        if (m_payload.empty())
            return Common::success();
        std::string block = encodeBlock(identity(), m_recovery.nextSequence, m_payload);
        m_payload.clear();
        BOOST_OUTCOME_TRY(m_files.append(m_recovery.file, block));
        BOOST_OUTCOME_TRY(m_files.sync(m_recovery.file));
        ++m_recovery.nextSequence;
        m_recovery.fileSize += block.size();
        return Common::success();
    }

    // Makes a truncation durable before the snapshot, so that after a crash no entries that conflict with the snapshot
    // follow it.
    Result<void> writeSnapshotAndTruncateLog(const Snapshot& snapshot)
    {
        BOOST_OUTCOME_TRY(flush());
        BOOST_OUTCOME_TRY(writeSnapshot(m_files, m_folder, identity(), snapshot));
        BOOST_OUTCOME_TRY(startSegment());
        BOOST_OUTCOME_TRY(removeSegments(snapshot.index));
        return removeSnapshotsBelow(snapshot.index);
    }

    Result<void> startSegment()
    {
        uint64_t number = m_recovery.segments.back().number + 1;
        BOOST_OUTCOME_TRY(file,
            createSegment(
                m_files, m_folder, identity(), number, m_recovery.nextSequence, m_hardState, m_recovery.fileSize));
        m_files.close(m_recovery.file);
        m_recovery.file = file;
        ++m_recovery.nextSequence;
        m_recovery.segments.push_back({ number, {} });
        return Common::success();
    }

    Result<void> removeSegments(LogIndex upTo)
    {
        std::vector<SegmentInfo>& segments = m_recovery.segments;
        while (segments.size() > 1 && segments.front().highestIndex <= upTo) {
            BOOST_OUTCOME_TRY(m_files.remove(pathOf(m_folder, segmentName(segments.front().number))));
            // A sync per file keeps the segment numbers free of gaps after a crash.
            BOOST_OUTCOME_TRY(m_files.syncFolder(m_folder));
            segments.erase(segments.begin());
        }
        return Common::success();
    }

    Result<void> removeSnapshotsBelow(LogIndex index)
    {
        BOOST_OUTCOME_TRY(names, m_files.list(m_folder));
        for (const std::string& name : names) {
            auto found = parseSnapshotName(name);
            if (found && *found < index) {
                BOOST_OUTCOME_TRY(m_files.remove(pathOf(m_folder, name)));
            }
        }
        return Common::success();
    }

    Files m_files;
    std::string m_folder;
    StoreOptions m_options;
    FileHandle m_lock;
    Recovery m_recovery;
    std::string m_hardState; // The latest one, written at the start of each segment.
    std::string m_payload; // Records of the next block.
    bool m_failed { false };
};

Store::Store(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

Store::~Store() = default;

Result<std::unique_ptr<Store>> Store::open(
    Files files, const std::string& folder, FolderIdentity newIdentity, StoreOptions options)
{
    BOOST_OUTCOME_TRY(files.createFolder(folder));
    BOOST_OUTCOME_TRY(lock, files.lock(pathOf(folder, lockName)));
    Result<Recovery> recovery = recover(files, folder, newIdentity);
    if (!recovery) {
        files.close(lock);
        return recovery.error();
    }
    auto p = std::make_unique<Private>(std::move(files), folder, options, lock, std::move(recovery.value()));
    return std::unique_ptr<Store>(new Store(std::move(p)));
}

FolderIdentity Store::identity() const { return m_private->identity(); }

Content Store::takeContent() { return m_private->takeContent(); }

Result<void> Store::write(const std::vector<Batch>& batches) { return m_private->write(batches); }

} // namespace Storage
