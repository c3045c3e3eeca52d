#pragma once

#include "Common/Error.h"
#include "Storage/Framing.h"

#include <string>
#include <string_view>
#include <vector>

namespace Storage {

enum class RecordKind : uint8_t {
    HardState = 1,
    Truncate = 2, // Removes the entries at the index and above.
    Entry = 3,
};

struct Record {
    RecordKind kind { RecordKind::Entry };
    Common::LogIndex index;
    std::string_view bytes;
};

void putRecord(std::string& payload, const Record&);

// The content of one log file. The records refer to the bytes that were read.
struct Segment {
    uint64_t number { 0 };
    std::vector<Record> records;
    uint64_t nextSequence { 0 }; // The sequence number of the next block; 0 if any is accepted.
    size_t validSize { 0 }; // In bytes; the bytes after it are a torn tail.
};

// "log-00000000000000000007".
std::string segmentName(uint64_t number);
// nullopt if the name is not a segment's.
std::optional<uint64_t> parseSegmentName(std::string_view);

// firstSequence is the expected sequence number of the first block; 0 accepts any. Only the last segment may end in a
// torn tail, that is, bytes that contain no complete block. Error: Corrupt, with file and offset.
Common::Result<Segment> readSegment(FolderIdentity, const std::string& path, uint64_t number, uint64_t firstSequence,
    bool isLast, std::string_view bytes);

Common::Error corruptError(const std::string& path, size_t offset, const std::string& what);

} // namespace Storage
