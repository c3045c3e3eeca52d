#include "Storage/Recovery.h"

#include "Storage/Segment.h"

#include <algorithm>
#include <utility>

namespace Storage {

namespace {

    using Common::LogIndex;
    using Common::Result;

    constexpr std::string_view identityName = "identity";
    constexpr uint64_t firstSegment = 1;
    constexpr LogIndex one { 1 };

    // The files of a folder by kind.
    struct Listing {
        bool hasIdentity { false };
        std::vector<uint64_t> segments; // Sorted.
        std::vector<LogIndex> snapshots; // Sorted.
    };

    Result<Listing> listFolder(const Files& files, const std::string& folder)
    {
        BOOST_OUTCOME_TRY(names, files.list(folder));
        Listing listing;
        for (const std::string& name : names) {
            if (name.ends_with(temporarySuffix)) {
                BOOST_OUTCOME_TRY(files.remove(pathOf(folder, name)));
            } else if (name == identityName) {
                listing.hasIdentity = true;
            } else if (auto number = parseSegmentName(name)) {
                listing.segments.push_back(*number);
            } else if (auto index = parseSnapshotName(name)) {
                listing.snapshots.push_back(*index);
            }
        }
        std::sort(listing.segments.begin(), listing.segments.end());
        std::sort(listing.snapshots.begin(), listing.snapshots.end());
        return listing;
    }

    // The identity file is written last, so a folder without one was never used and holds at most the first segment.
    Result<Recovery> initializeFolder(
        const Files& files, const std::string& folder, FolderIdentity identity, const Listing& listing)
    {
        bool used = !listing.snapshots.empty() || listing.segments.size() > 1
            || (!listing.segments.empty() && listing.segments.front() != firstSegment);
        if (used)
            return corruptError(pathOf(folder, identityName), 0, "the file is missing");
        Recovery recovery;
        recovery.content.identity = identity;
        BOOST_OUTCOME_TRY(
            file, createSegment(files, folder, identity, firstSegment, recovery.nextSequence, {}, recovery.fileSize));
        recovery.file = file;
        ++recovery.nextSequence;
        recovery.segments.push_back({ firstSegment, {} });
        std::string bytes = encodeFileHeader({ .kind = FileKind::Identity, .identity = identity });
        BOOST_OUTCOME_TRY(written, createAtomically(files, folder, std::string(identityName), bytes));
        files.close(written);
        return recovery;
    }

    Result<FolderIdentity> readIdentity(const Files& files, const std::string& folder)
    {
        std::string path = pathOf(folder, identityName);
        BOOST_OUTCOME_TRY(bytes, files.read(path));
        std::string_view rest = bytes;
        auto header = takeFileHeader(rest);
        if (!header || header->kind != FileKind::Identity)
            return corruptError(path, 0, "the file header is damaged");
        if (header->version != formatVersion)
            return corruptError(path, 0, "format version " + std::to_string(header->version) + " is not known");
        return header->identity;
    }

    Result<void> replayEntry(Content& content, const Record& record, const std::string& path)
    {
        std::vector<LogEntry>& entries = content.entries;
        LogIndex snapshotIndex = content.snapshot ? content.snapshot->index : LogIndex(0);
        if (!entries.empty() && record.index != entries.back().index + one) {
            // A snapshot from the leader replaced the entries that the log lacks here.
            if (entries.back().index > snapshotIndex || record.index < entries.back().index)
                return corruptError(path, 0, "entry " + std::to_string(record.index.value()) + " is out of order");
            entries.clear();
        }
        if (entries.empty() && record.index > snapshotIndex + one)
            return corruptError(path, 0, "entries before " + std::to_string(record.index.value()) + " are missing");
        entries.push_back({ record.index, std::string(record.bytes) });
        return Common::success();
    }

    Result<void> replay(Content& content, SegmentInfo& info, const Segment& segment, const std::string& path)
    {
        for (const Record& record : segment.records) {
            switch (record.kind) {
            case RecordKind::HardState:
                content.hardState = record.bytes;
                break;
            case RecordKind::Truncate:
                while (!content.entries.empty() && content.entries.back().index >= record.index)
                    content.entries.pop_back();
                break;
            case RecordKind::Entry:
                BOOST_OUTCOME_TRY(replayEntry(content, record, path));
                info.highestIndex = std::max(info.highestIndex, record.index);
                break;
            }
        }
        return Common::success();
    }

    // Rewrites the last segment without its torn tail. After a failed sync the system may return bytes that never
    // reached the disk, so the bytes read here are made durable before they are used.
    Result<void> reopenLast(const Files& files, const std::string& folder, Recovery& recovery, const Segment& segment,
        std::string_view bytes)
    {
        recovery.content.tornBytes = bytes.size() - segment.validSize;
        recovery.fileSize = segment.validSize;
        BOOST_OUTCOME_TRY(
            file, createAtomically(files, folder, segmentName(segment.number), bytes.substr(0, segment.validSize)));
        recovery.file = file;
        return Common::success();
    }

    Result<void> readSegments(const Files& files, const std::string& folder, const Listing& listing, Recovery& recovery)
    {
        uint64_t sequence = 0;
        for (size_t i = 0; i < listing.segments.size(); ++i) {
            uint64_t number = listing.segments[i];
            std::string path = pathOf(folder, segmentName(number));
            if (i && number != listing.segments[i - 1] + 1)
                return corruptError(path, 0, "the previous file is missing");
            BOOST_OUTCOME_TRY(bytes, files.read(path));
            bool isLast = i + 1 == listing.segments.size();
            BOOST_OUTCOME_TRY(segment, readSegment(recovery.content.identity, path, number, sequence, isLast, bytes));
            recovery.segments.push_back({ number, {} });
            BOOST_OUTCOME_TRY(replay(recovery.content, recovery.segments.back(), segment, path));
            sequence = segment.nextSequence;
            if (isLast) {
                BOOST_OUTCOME_TRY(reopenLast(files, folder, recovery, segment, bytes));
            }
        }
        recovery.nextSequence = sequence;
        return Common::success();
    }

    Result<void> readSnapshots(const Files& files, const std::string& folder, const Listing& listing, Content& content)
    {
        if (listing.snapshots.empty())
            return Common::success();
        BOOST_OUTCOME_TRY(snapshot, readSnapshot(files, folder, content.identity, listing.snapshots.back()));
        content.snapshot = std::move(snapshot);
        for (LogIndex index : listing.snapshots) {
            if (index != content.snapshot->index) {
                BOOST_OUTCOME_TRY(files.remove(pathOf(folder, snapshotName(index))));
            }
        }
        return Common::success();
    }

} // namespace

Result<Recovery> recover(const Files& files, const std::string& folder, FolderIdentity newIdentity)
{
    BOOST_OUTCOME_TRY(listing, listFolder(files, folder));
    if (!listing.hasIdentity)
        return initializeFolder(files, folder, newIdentity, listing);
    if (listing.segments.empty())
        return corruptError(folder, 0, "the log is missing");
    Recovery recovery;
    BOOST_OUTCOME_TRY(identity, readIdentity(files, folder));
    recovery.content.identity = identity;
    BOOST_OUTCOME_TRY(readSnapshots(files, folder, listing, recovery.content));
    BOOST_OUTCOME_TRY(readSegments(files, folder, listing, recovery));
    return recovery;
}

Result<FileHandle> createSegment(const Files& files, const std::string& folder, FolderIdentity identity,
    uint64_t number, uint64_t sequence, std::string_view hardState, size_t& size)
{
    std::string payload;
    putRecord(payload, { RecordKind::HardState, LogIndex(0), hardState });
    std::string bytes = encodeFileHeader({ .kind = FileKind::Log, .identity = identity, .number = number });
    bytes += encodeBlock(identity, sequence, payload);
    size = bytes.size();
    return createAtomically(files, folder, segmentName(number), bytes);
}

} // namespace Storage
