#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Storage {

// The only format version that this program reads and writes.
inline constexpr uint32_t formatVersion = 1;

// A random number generated with the data folder. It seeds the checksums, so neither bytes within a command nor blocks
// of another folder are mistaken for a block.
using FolderIdentity = Common::StrongId<struct FolderIdentityTag, uint64_t>;

// Numbers in files are little-endian and unaligned.
void putUint32(std::string&, uint32_t);
void putUint64(std::string&, uint64_t);
// Removes a number, or a string of n bytes, from the front; nullopt if there are too few bytes.
std::optional<uint32_t> takeUint32(std::string_view&);
std::optional<uint64_t> takeUint64(std::string_view&);
std::optional<std::string_view> takeBytes(std::string_view&, size_t n);

enum class FileKind : uint32_t {
    Identity = 1,
    Log = 2,
    Snapshot = 3,
    Journal = 4,
};

// Each file starts with a header: magic, format version, kind, folder identity, file number, checksum.
struct FileHeader {
    uint32_t version { formatVersion };
    FileKind kind { FileKind::Log };
    FolderIdentity identity;
    uint64_t number { 0 };
};

inline constexpr size_t fileHeaderSize = 40; // Bytes.
std::string encodeFileHeader(const FileHeader&);
// nullopt if the bytes do not start with a valid header.
std::optional<FileHeader> takeFileHeader(std::string_view&);

// The unit that one sync makes durable: magic, length, sequence number, checksum, payload.
struct Block {
    uint64_t sequence { 0 };
    std::string_view payload;
    size_t size { 0 }; // In bytes, including the header.
};

std::string encodeBlock(FolderIdentity, uint64_t sequence, std::string_view payload);
// Reads the block at the front of the bytes; nullopt if it is incomplete or damaged.
std::optional<Block> readBlock(FolderIdentity, std::string_view);
// Whether a complete, valid block starts anywhere in the bytes.
bool containsBlock(FolderIdentity, std::string_view);

} // namespace Storage
