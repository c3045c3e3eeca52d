#include "Storage/Framing.h"

#include "Common/Hash.h"

namespace Storage {

namespace {

    constexpr std::string_view fileMagic = "corilock"; // 8 bytes.
    constexpr std::string_view blockMagic = "CLB1"; // 4 bytes.
    constexpr size_t blockHeaderSize = 24;

    uint64_t blockChecksum(FolderIdentity identity, uint64_t sequence, std::string_view payload)
    {
        std::string start;
        putUint64(start, sequence);
        putUint64(start, payload.size());
        return Common::hash64(payload, Common::hash64(start, identity.value()));
    }

    template <typename Number> void put(std::string& out, Number n)
    {
        for (size_t i = 0; i < sizeof(Number); ++i)
            out.push_back(static_cast<char>(n >> (8 * i)));
    }

    template <typename Number> std::optional<Number> take(std::string_view& in)
    {
        if (in.size() < sizeof(Number))
            return std::nullopt;
        Number n = 0;
        for (size_t i = 0; i < sizeof(Number); ++i)
            n |= static_cast<Number>(static_cast<unsigned char>(in[i])) << (8 * i);
        in.remove_prefix(sizeof(Number));
        return n;
    }

} // namespace

void putUint32(std::string& out, uint32_t n) { put(out, n); }

void putUint64(std::string& out, uint64_t n) { put(out, n); }

std::optional<uint32_t> takeUint32(std::string_view& in) { return take<uint32_t>(in); }

std::optional<uint64_t> takeUint64(std::string_view& in) { return take<uint64_t>(in); }

std::optional<std::string_view> takeBytes(std::string_view& in, size_t n)
{
    if (in.size() < n)
        return std::nullopt;
    std::string_view bytes = in.substr(0, n);
    in.remove_prefix(n);
    return bytes;
}

std::string encodeFileHeader(const FileHeader& header)
{
    std::string out(fileMagic);
    putUint32(out, header.version);
    putUint32(out, static_cast<uint32_t>(header.kind));
    putUint64(out, header.identity.value());
    putUint64(out, header.number);
    putUint64(out, Common::hash64(out));
    return out;
}

std::optional<FileHeader> takeFileHeader(std::string_view& in)
{
    auto bytes = takeBytes(in, fileHeaderSize);
    if (!bytes || !bytes->starts_with(fileMagic))
        return std::nullopt;
    std::string_view checked = bytes->substr(0, fileHeaderSize - sizeof(uint64_t));
    std::string_view rest = bytes->substr(fileMagic.size());
    FileHeader header;
    header.version = *takeUint32(rest);
    header.kind = static_cast<FileKind>(*takeUint32(rest));
    header.identity = FolderIdentity(*takeUint64(rest));
    header.number = *takeUint64(rest);
    if (*takeUint64(rest) != Common::hash64(checked))
        return std::nullopt;
    return header;
}

std::string encodeBlock(FolderIdentity identity, uint64_t sequence, std::string_view payload)
{
    std::string out;
    out.reserve(blockHeaderSize + payload.size());
    out += blockMagic;
    putUint32(out, static_cast<uint32_t>(payload.size()));
    putUint64(out, sequence);
    putUint64(out, blockChecksum(identity, sequence, payload));
    out += payload;
    return out;
}

std::optional<Block> readBlock(FolderIdentity identity, std::string_view in)
{
    if (in.size() < blockHeaderSize || !in.starts_with(blockMagic))
        return std::nullopt;
    std::string_view rest = in.substr(blockMagic.size());
    uint32_t length = *takeUint32(rest);
    Block block;
    block.sequence = *takeUint64(rest);
    uint64_t checksum = *takeUint64(rest);
    auto payload = takeBytes(rest, length);
    if (!payload || checksum != blockChecksum(identity, block.sequence, *payload))
        return std::nullopt;
    block.payload = *payload;
    block.size = blockHeaderSize + length;
    return block;
}

bool containsBlock(FolderIdentity identity, std::string_view in)
{
    for (size_t at = in.find(blockMagic); at != std::string_view::npos; at = in.find(blockMagic, at + 1)) {
        if (readBlock(identity, in.substr(at)))
            return true;
    }
    return false;
}

} // namespace Storage
