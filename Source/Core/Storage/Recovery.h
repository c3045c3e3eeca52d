#pragma once

#include "Common/Error.h"
#include "Storage/Files.h"
#include "Storage/Framing.h"
#include "Storage/SnapshotFile.h"

#include <optional>
#include <string>
#include <vector>

namespace Storage {

struct LogEntry {
    Common::LogIndex index;
    std::string bytes;
};

// What a folder holds.
struct Content {
    FolderIdentity identity;
    std::string hard; // "" if none was written.
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // Without gaps; the first one follows the snapshot or is below it.
    size_t tornBytes { 0 }; // Cut off the end: nobody was told that they were durable.
};

struct SegmentInfo {
    uint64_t number { 0 };
    Common::LogIndex highest; // The highest index of an entry in it.
};

struct Recovery {
    Content content;
    std::vector<SegmentInfo> segments; // The last one is open for appending.
    FileHandle file;
    size_t fileSize { 0 };
    uint64_t nextSequence { 1 };
};

// Reads the folder, or gives it this identity if it is empty. Cuts a torn tail, removes what a crash left over.
// Errors: StorageFailed; Corrupt, with file and offset.
Common::Result<Recovery> recover(const Files&, const std::string& folder, FolderIdentity newIdentity);

// Starts a segment whose first block holds the hard state.
Common::Result<FileHandle> createSegment(const Files&, const std::string& folder, FolderIdentity, uint64_t number,
    uint64_t sequence, std::string_view hard, size_t& size);

} // namespace Storage
