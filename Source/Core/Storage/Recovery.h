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

// The recovered content of a folder.
struct Content {
    FolderIdentity identity;
    std::string hardState; // Encoded; empty if none was written.
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // Without gaps; the first one is at most the snapshot's successor.
    size_t tornBytes { 0 }; // Removed from the end; they were never acknowledged as durable.
};

struct SegmentInfo {
    uint64_t number { 0 };
    Common::LogIndex highestIndex; // The highest index of its entries.
};

struct Recovery {
    Content content;
    std::vector<SegmentInfo> segments; // The last one is open for appending.
    FileHandle file;
    size_t fileSize { 0 };
    uint64_t nextSequence { 1 };
};

// Recovers the content of the folder, or initializes an empty one with newIdentity. Truncates a torn tail and removes
// temporary files and outdated snapshots.
// Errors: StorageFailed; Corrupt, with file and offset.
Common::Result<Recovery> recover(const Files&, const std::string& folder, FolderIdentity newIdentity);

// Creates a segment whose first block holds the hard state. Sets size to the size of the file.
Common::Result<FileHandle> createSegment(const Files&, const std::string& folder, FolderIdentity, uint64_t number,
    uint64_t sequence, std::string_view hardState, size_t& size);

} // namespace Storage
