#include "Storage/SnapshotFile.h"

#include "Storage/Segment.h"

#include <charconv>

namespace Storage {

namespace {

    using Common::LogIndex;
    using Common::Result;

    constexpr std::string_view namePrefix = "snapshot-";
    constexpr uint64_t snapshotBlockSequence = 1;

} // namespace

std::string snapshotName(LogIndex index) { return std::string(namePrefix) + std::to_string(index.value()); }

std::optional<LogIndex> parseSnapshotName(std::string_view name)
{
    if (!name.starts_with(namePrefix))
        return std::nullopt;
    name.remove_prefix(namePrefix.size());
    uint64_t index = 0;
    auto [end, ec] = std::from_chars(name.data(), name.data() + name.size(), index);
    if (ec != std::errc() || end != name.data() + name.size())
        return std::nullopt;
    return LogIndex(index);
}

Result<void> writeSnapshot(
    const Files& files, const std::string& folder, FolderIdentity identity, const Snapshot& snapshot)
{
    std::string payload;
    putUint64(payload, snapshot.index.value());
    putUint32(payload, static_cast<uint32_t>(snapshot.meta.size()));
    payload += snapshot.meta;
    payload += snapshot.data;
    std::string bytes
        = encodeFileHeader({ .kind = FileKind::Snapshot, .identity = identity, .number = snapshot.index.value() });
    bytes += encodeBlock(identity, snapshotBlockSequence, payload);
    BOOST_OUTCOME_TRY(file, createAtomically(files, folder, snapshotName(snapshot.index), bytes));
    files.close(file);
    return Common::success();
}

Result<Snapshot> readSnapshot(const Files& files, const std::string& folder, FolderIdentity identity, LogIndex index)
{
    std::string path = pathOf(folder, snapshotName(index));
    BOOST_OUTCOME_TRY(bytes, files.read(path));
    std::string_view rest = bytes;
    auto header = takeFileHeader(rest);
    if (!header)
        return corruptError(path, 0, "the file header is damaged");
    if (header->version != formatVersion)
        return corruptError(path, 0, "format version " + std::to_string(header->version) + " is not known");
    if (header->kind != FileKind::Snapshot || header->identity != identity || header->number != index.value())
        return corruptError(path, 0, "the file belongs to another folder or was renamed");
    auto block = readBlock(identity, rest);
    if (!block || block->size != rest.size())
        return corruptError(path, fileHeaderSize, "the snapshot is damaged");
    std::string_view payload = block->payload;
    auto number = takeUint64(payload);
    auto metaSize = takeUint32(payload);
    auto meta = metaSize ? takeBytes(payload, *metaSize) : std::nullopt;
    if (!meta || *number != index.value())
        return corruptError(path, fileHeaderSize, "the snapshot is damaged");
    return Snapshot { index, std::string(*meta), std::string(payload) };
}

} // namespace Storage
