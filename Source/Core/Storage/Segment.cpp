#include "Storage/Segment.h"

#include <charconv>
#include <cstdio>

namespace Storage {

namespace {

    using Common::Result;

    constexpr std::string_view namePrefix = "log-";
    constexpr int nameDigits = 20;

    std::optional<Record> takeRecord(std::string_view& payload)
    {
        auto kind = takeBytes(payload, 1);
        auto index = takeUint64(payload);
        auto length = takeUint32(payload);
        if (!kind || !index || !length)
            return std::nullopt;
        auto bytes = takeBytes(payload, *length);
        auto number = static_cast<uint8_t>(kind->front());
        if (!bytes || number < static_cast<uint8_t>(RecordKind::HardState)
            || number > static_cast<uint8_t>(RecordKind::Entry))
            return std::nullopt;
        return Record { static_cast<RecordKind>(number), Common::LogIndex(*index), *bytes };
    }

    Result<void> checkHeader(FolderIdentity identity, const std::string& path, uint64_t number, std::string_view bytes)
    {
        auto header = takeFileHeader(bytes);
        if (!header)
            return corruptError(path, 0, "the file header is damaged");
        if (header->version != formatVersion)
            return corruptError(path, 0, "format version " + std::to_string(header->version) + " is not known");
        if (header->kind != FileKind::Log || header->identity != identity || header->number != number)
            return corruptError(path, 0, "the file belongs to another folder or was renamed");
        return Common::success();
    }

} // namespace

Common::Error corruptError(const std::string& path, size_t offset, const std::string& what)
{
    return Common::makeError(
        Common::Reason::Corrupt, "recover-log", path + " at offset " + std::to_string(offset) + ": " + what);
}

void putRecord(std::string& payload, const Record& record)
{
    payload.push_back(static_cast<char>(record.kind));
    putUint64(payload, record.index.value());
    putUint32(payload, static_cast<uint32_t>(record.bytes.size()));
    payload += record.bytes;
}

std::string segmentName(uint64_t number)
{
    std::string digits = std::to_string(number);
    return std::string(namePrefix) + std::string(static_cast<size_t>(nameDigits) - digits.size(), '0') + digits;
}

std::optional<uint64_t> parseSegmentName(std::string_view name)
{
    if (!name.starts_with(namePrefix))
        return std::nullopt;
    name.remove_prefix(namePrefix.size());
    uint64_t number = 0;
    auto [end, ec] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (ec != std::errc() || end != name.data() + name.size())
        return std::nullopt;
    return number;
}

Result<Segment> readSegment(FolderIdentity identity, const std::string& path, uint64_t number, uint64_t firstSequence,
    bool isLast, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(checkHeader(identity, path, number, bytes));
    Segment segment { .number = number, .nextSequence = firstSequence, .validSize = fileHeaderSize };
    while (segment.validSize < bytes.size()) {
        auto block = readBlock(identity, bytes.substr(segment.validSize));
        if (!block) {
            if (!isLast || containsBlock(identity, bytes.substr(segment.validSize + 1)))
                return corruptError(path, segment.validSize, "a block is damaged");
            break;
        }
        if (segment.nextSequence && block->sequence != segment.nextSequence)
            return corruptError(path, segment.validSize, "a block is missing");
        while (!block->payload.empty()) {
            auto record = takeRecord(block->payload);
            if (!record)
                return corruptError(path, segment.validSize, "a record is not valid");
            segment.records.push_back(*record);
        }
        segment.nextSequence = block->sequence + 1;
        segment.validSize += block->size;
    }
    return segment;
}

} // namespace Storage
