#pragma once

#include "Common/Error.h"
#include "Storage/Framing.h"

#include <string>
#include <string_view>
#include <vector>

namespace Storage {

enum class RecordKind : uint8_t {
    HardState = 1,
    Truncate = 2, // Removes the entries from the index on.
    Entry = 3,
};

struct Record {
    RecordKind kind { RecordKind::Entry };
    Common::LogIndex index;
    std::string_view bytes;
};

void putRecord(std::string& payload, const Record&);

// One file of the log. Its records point into its bytes.
struct Segment {
    uint64_t number { 0 };
    std::vector<Record> records;
    uint64_t nextSequence { 0 }; // Of the block that follows; 0 if the segment has none.
    size_t validSize { 0 }; // Bytes; what follows is a torn tail.
};

// "log-00000000000000000007".
std::string segmentName(uint64_t number);
// nullopt if the name is not a segment's.
std::optional<uint64_t> parseSegmentName(std::string_view);

// firstSequence is that of the first block, or 0 if any will do. Only the last segment may end in a torn tail: bytes
// after which no whole block follows. Error: Corrupt, with file and offset.
Common::Result<Segment> readSegment(FolderIdentity, const std::string& path, uint64_t number, uint64_t firstSequence,
    bool last, std::string_view bytes);

Common::Error corrupt(const std::string& path, size_t offset, const std::string& what);

} // namespace Storage
